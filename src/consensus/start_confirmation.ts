import { getMajority, isVoter, type Member } from "./member.ts";
import type { LogPosition } from "./peer_state.ts";

/** The durable state with which this process started. */
export type OwnStart = LogPosition & { readonly term: number };

/** What a {@link StartConfirmation} begins with. */
export interface StartConfirmationOptions {
  readonly start: OwnStart;
  /** Whether the identity was made in this start. */
  readonly isNewIdentity: boolean;
  readonly nowMilliseconds: number;
  /** Time after which a majority suffices, in milliseconds. */
  readonly waitMilliseconds: number;
}

/** The group as a start is judged by it. */
export interface ConfirmingGroup {
  readonly members: readonly Member[];
  readonly ownId: string;
  /** Whether the data folder was copied to another address. */
  readonly isMoved: boolean;
  readonly nowMilliseconds: number;
}

/** Collects the confirmations that the disk of this start is not too old. */
export class StartConfirmation {
  readonly start: OwnStart;
  readonly #startedAt: number;
  readonly #waitMilliseconds: number;
  readonly #confirmedBy = new Set<string>();
  #isConfirmed: boolean;
  #nextQuestionAt = 0;

  /** @param options The start. */
  constructor(options: StartConfirmationOptions) {
    this.start = options.start;
    this.#startedAt = options.nowMilliseconds;
    this.#waitMilliseconds = options.waitMilliseconds;
    // An identity that was made in this start has no past to fall behind.
    this.#isConfirmed = options.isNewIdentity;
  }

  /** Reports whether enough voters confirmed this start. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  /** Records that a member confirmed this start. */
  add(id: string): void {
    this.#confirmedBy.add(id);
  }

  /** Reports whether a member confirmed this start. */
  has(id: string): boolean {
    return this.#confirmedBy.has(id);
  }

  /**
   * Reports whether members should be asked now, once in each interval.
   * @param nowMilliseconds Monotonic time.
   * @param intervalMilliseconds Time between two questions.
   */
  takeQuestion(
    nowMilliseconds: number,
    intervalMilliseconds: number,
  ): boolean {
    if (nowMilliseconds < this.#nextQuestionAt) {
      return false;
    }
    this.#nextQuestionAt = nowMilliseconds + intervalMilliseconds;
    return true;
  }

  /**
   * Decides whether the confirmations suffice.
   * @param group The members, and the time.
   * @returns How many of the other voters confirmed when they now suffice,
   * otherwise `undefined`.
   */
  decide(
    group: ConfirmingGroup,
  ): { confirmed: number; others: number } | undefined {
    const { members, ownId } = group;
    const others = members.filter((each) => each.isVoter && each.id !== ownId);
    const own = isVoter(members, ownId) ? 1 : 0;
    const confirmed = others.filter((each) => this.has(each.id)).length;
    const hasWaited =
      group.nowMilliseconds - this.#startedAt >= this.#waitMilliseconds;
    // Only the leader that counted an acknowledgement remembers it. A copied
    // folder may be older than that, so it needs the confirmation of every voter.
    const suffices = confirmed + own >= getMajority(members) &&
      (confirmed === others.length || (hasWaited && !group.isMoved));
    if (this.#isConfirmed || !suffices) {
      return undefined;
    }
    this.#isConfirmed = true;
    return { confirmed, others: others.length };
  }
}
