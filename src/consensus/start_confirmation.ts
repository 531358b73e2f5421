import { getMajority, isVoter, type Member } from "./member.ts";
import type { LogPosition } from "./peer_state.ts";

/** The durable state with which this process started. */
export type OwnStartState = LogPosition & { readonly term: number };

/** What a {@link StartConfirmation} begins with. */
export interface StartConfirmationOptions {
  readonly start: OwnStartState;
  /** Whether the identity was made in this start. */
  readonly isNewIdentity: boolean;
  readonly nowMilliseconds: number;
  /** Time after which a majority suffices, in milliseconds. */
  readonly majorityWaitMilliseconds: number;
}

/** The group as a start is judged by it. */
export interface ConfirmationContext {
  readonly members: readonly Member[];
  readonly ownId: string;
  /** Whether the data folder was copied to another address. */
  readonly isMoved: boolean;
  readonly nowMilliseconds: number;
}

/** Collects the confirmations that the disk of this start is not too old. */
export class StartConfirmation {
  readonly start: OwnStartState;
  readonly #startedAt: number;
  readonly #majorityWaitMilliseconds: number;
  readonly #confirmedBy = new Set<string>();
  #isConfirmed: boolean;
  #nextRequestRoundAt = 0;

  /** @param options The start. */
  constructor(options: StartConfirmationOptions) {
    this.start = options.start;
    this.#startedAt = options.nowMilliseconds;
    this.#majorityWaitMilliseconds = options.majorityWaitMilliseconds;
    // An identity that was made in this start has no past to fall behind.
    this.#isConfirmed = options.isNewIdentity;
  }

  /** Reports whether enough voters confirmed this start. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  /** Records that a member confirmed this start. */
  recordConfirmation(id: string): void {
    this.#confirmedBy.add(id);
  }

  /** Reports whether a member confirmed this start. */
  hasConfirmationFrom(id: string): boolean {
    return this.#confirmedBy.has(id);
  }

  /**
   * Reports whether members should be asked now, once in each interval.
   * @param nowMilliseconds Monotonic time.
   * @param intervalMilliseconds Time between two questions.
   */
  tryStartRequestRound(
    nowMilliseconds: number,
    intervalMilliseconds: number,
  ): boolean {
    if (nowMilliseconds < this.#nextRequestRoundAt) {
      return false;
    }
    this.#nextRequestRoundAt = nowMilliseconds + intervalMilliseconds;
    return true;
  }

  /**
   * Decides whether the confirmations suffice.
   * @param group The members, and the time.
   * @returns How many of the other voters confirmed when they now suffice,
   * otherwise `undefined`.
   */
  tryConfirm(
    group: ConfirmationContext,
  ): { confirmed: number; others: number } | undefined {
    const { members, ownId } = group;
    const others = members.filter((each) => each.isVoter && each.id !== ownId);
    const own = isVoter(members, ownId) ? 1 : 0;
    const confirmed =
      others.filter((each) => this.hasConfirmationFrom(each.id)).length;
    const hasWaited =
      group.nowMilliseconds - this.#startedAt >= this.#majorityWaitMilliseconds;
    // Only the leader that counted an acknowledgement remembers it. A copied
    // folder may be older than that, so it needs the confirmation of every voter.
    const isSufficient = confirmed + own >= getMajority(members) &&
      (confirmed === others.length || (hasWaited && !group.isMoved));
    if (this.#isConfirmed || !isSufficient) {
      return undefined;
    }
    this.#isConfirmed = true;
    return { confirmed, others: others.length };
  }
}
