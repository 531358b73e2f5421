import { getMajority, isVoter, type Member } from "./member.ts";
import type { LogPosition } from "./peer_state.ts";

/** Durable state with which this process started. */
export type OwnStartState = LogPosition & { readonly term: number };

/** Settings of a {@link StartConfirmation}. */
export interface StartConfirmationOptions {
  readonly start: OwnStartState;
  /** Whether the identity was created in this start. */
  readonly isNewIdentity: boolean;
  readonly nowMilliseconds: number;
  /** Time after which a majority is sufficient, in milliseconds. */
  readonly majorityWaitMilliseconds: number;
}

/** State of the group that decides how many confirmations are required. */
export interface ConfirmationContext {
  readonly members: readonly Member[];
  readonly ownId: string;
  /** Whether the data folder may be a copy. */
  readonly isMoved: boolean;
  readonly nowMilliseconds: number;
}

/**
 * Collects confirmations that this instance did not start with an older disk,
 * that is, with a state from before votes or acknowledgements that it sent.
 */
export class StartConfirmation {
  readonly start: OwnStartState;
  readonly #startedAt: number;
  readonly #majorityWaitMilliseconds: number;
  readonly #confirmedBy = new Set<string>();
  #isConfirmed: boolean;
  #nextRequestRoundAt = 0;

  /** @param options State at the start, and times. */
  constructor(options: StartConfirmationOptions) {
    this.start = options.start;
    this.#startedAt = options.nowMilliseconds;
    this.#majorityWaitMilliseconds = options.majorityWaitMilliseconds;
    // An identity that was created in this start has sent no vote and no
    // acknowledgement yet, so there is nothing to confirm.
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
   * Starts a round of confirmation requests unless the last one is too recent.
   * @param nowMilliseconds Monotonic time.
   * @param intervalMilliseconds Minimum time between two rounds.
   * @returns Whether requests are to be sent now.
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
   * Marks the start as confirmed when there are enough confirmations.
   * @param group The members, and the time.
   * @returns The numbers of other voters and of their confirmations if this
   * call confirmed the start; `undefined` otherwise.
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
    // An acknowledgement is recorded only by the leader that counted it, and a
    // majority need not include that leader. A folder that may be an older copy
    // therefore needs the confirmations of all voters.
    const isSufficient = confirmed + own >= getMajority(members) &&
      (confirmed === others.length || (hasWaited && !group.isMoved));
    if (this.#isConfirmed || !isSufficient) {
      return undefined;
    }
    this.#isConfirmed = true;
    return { confirmed, others: others.length };
  }
}
