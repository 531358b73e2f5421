import type { Clock, Log } from "../common/mod.ts";
import type { ConsensusStatus, ReplicatedLog } from "../consensus/mod.ts";

/** Age of the applied state from which an instance is said to be behind. */
const behindMilliseconds = 1000;
const repeatMilliseconds = 5000;

/** Options of {@link StateAgeLog}. */
export interface StateAgeLogOptions {
  readonly log: Pick<ReplicatedLog, "getStatus">;
  readonly eventLog: Log;
  readonly clock: Clock;
  /** Gets the revisions of the documents that this instance has applied. */
  getRevisions(): string | undefined;
}

/**
 * Logs while this instance lacks what the group has committed and, on the leader,
 * while another member does.
 */
export class StateAgeLog {
  readonly #options: StateAgeLogOptions;
  #behindSince: number | undefined;
  #loggedAt = -Infinity;
  /** Members that are behind, with the time since when and of the last line. */
  readonly #membersBehind = new Map<
    string,
    { readonly since: number; loggedAt: number }
  >();

  /** @param options The replicated log and the destination. */
  constructor(options: StateAgeLogOptions) {
    this.#options = options;
  }

  /** Logs what has changed; to be called periodically. */
  check(): void {
    const status = this.#options.log.getStatus();
    const now = this.#options.clock.monotonicMilliseconds();
    this.#checkOwnState(status, now);
    this.#checkMembers(status, now);
  }

  #checkOwnState(status: ConsensusStatus, now: number): void {
    const { eventLog, getRevisions } = this.#options;
    const { stateAgeMilliseconds, appliedIndex, commitIndex } = status;
    const fields = { applied: appliedIndex, revisions: getRevisions() };
    if (stateAgeMilliseconds <= behindMilliseconds) {
      if (this.#behindSince !== undefined) {
        eventLog.info("state current", {
          ...fields,
          milliseconds: Math.round(now - this.#behindSince),
        });
        this.#behindSince = undefined;
        this.#loggedAt = -Infinity;
      }
      return;
    }
    this.#behindSince ??= now;
    if (now - this.#loggedAt >= repeatMilliseconds) {
      this.#loggedAt = now;
      eventLog.warn("state outdated", {
        ...fields,
        commitIndex,
        lastIndex: status.lastIndex,
        ageMilliseconds: Number.isFinite(stateAgeMilliseconds)
          ? Math.round(stateAgeMilliseconds)
          : undefined,
        role: status.role,
        leader: status.leader?.address,
        isolated: status.isolated,
      });
    }
  }

  #checkMembers(status: ConsensusStatus, now: number): void {
    const { eventLog } = this.#options;
    const { matchIndexes, members, commitIndex } = status;
    for (const { id, address } of members) {
      const matchIndex = matchIndexes.get(id);
      if (matchIndex === undefined || matchIndex >= commitIndex) {
        this.#membersBehind.delete(id);
        continue;
      }
      const behind = this.#membersBehind.get(id) ??
        { since: now, loggedAt: -Infinity };
      this.#membersBehind.set(id, behind);
      if (
        now - behind.since >= behindMilliseconds &&
        now - behind.loggedAt >= repeatMilliseconds
      ) {
        behind.loggedAt = now;
        eventLog.warn("member behind", {
          address,
          matchIndex,
          commitIndex,
          milliseconds: Math.round(now - behind.since),
          lastContactMilliseconds: Math.round(
            status.lastContactAgesMilliseconds.get(id) ?? 0,
          ),
        });
      }
    }
  }
}
