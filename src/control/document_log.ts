import type { Clock, Log, LogFields } from "../common/mod.ts";
import type { ConsensusStatus, ReplicatedLog } from "../consensus/mod.ts";
import type {
  ControlStateMachine,
  StateChange,
} from "./control_state_machine.ts";

/** Number of characters of an id or a digest in a log line. */
const shortIdLength = 12;

/** Options of {@link DocumentLog}. */
export interface DocumentLogOptions {
  readonly stateMachine: ControlStateMachine;
  readonly log: Pick<ReplicatedLog, "getStatus">;
  readonly eventLog: Log;
  readonly clock: Clock;
}

/**
 * Logs which documents this instance holds: at its start, when it has applied
 * what was on its disk, and for each change. It relates revisions to indexes of
 * the replicated log, so that a lost document can be traced through restarts.
 */
export class DocumentLog {
  readonly #options: DocumentLogOptions;
  readonly #startedMilliseconds: number;
  readonly #initialLastIndex: number;
  /** Fields of the latest change by environment, until it is logged. */
  readonly #changes = new Map<string, LogFields>();
  readonly #knownRevisions = new Map<string, number>();
  #isRecovered = false;

  /**
   * Logs the state that was loaded from the disk.
   * @param options The replicated log, its state and the destination.
   */
  constructor(options: DocumentLogOptions) {
    this.#options = options;
    this.#startedMilliseconds = options.clock.monotonicMilliseconds();
    const status = options.log.getStatus();
    this.#initialLastIndex = status.lastIndex;
    const { history } = options.stateMachine;
    for (const environment of history.getEnvironments()) {
      this.#updateRevision(environment);
    }
    options.eventLog.info("state loaded", {
      boot: status.bootCount,
      term: status.term,
      snapshot: status.snapshotIndex,
      applied: status.appliedIndex,
      lastIndex: status.lastIndex,
      members: status.members.length,
      revisions: this.#formatRevisions(),
    });
    options.stateMachine.subscribe((change) => this.#onChange(change));
  }

  /**
   * Logs once that what was on the disk at the start, and what the group has
   * committed since, is applied.
   */
  checkRecovery(): void {
    if (this.#isRecovered) {
      return;
    }
    const { log, eventLog, clock } = this.#options;
    const status = log.getStatus();
    const recoveredIndex = Math.max(
      1,
      this.#initialLastIndex,
      status.commitIndex,
    );
    if (status.leader === undefined || status.appliedIndex < recoveredIndex) {
      return;
    }
    this.#isRecovered = true;
    eventLog.info("state recovered", {
      role: status.role,
      leader: status.leader.address,
      term: status.term,
      snapshot: status.snapshotIndex,
      applied: status.appliedIndex,
      lastIndex: status.lastIndex,
      lastIndexAtStart: this.#initialLastIndex,
      revisions: this.#formatRevisions(),
      milliseconds: Math.round(
        clock.monotonicMilliseconds() - this.#startedMilliseconds,
      ),
    });
  }

  /** Logs the changes of one turn of the event loop together. */
  #onChange(change: StateChange): void {
    if (change.kind === "quarantine") {
      return;
    }
    const { stateMachine } = this.#options;
    const environments = change.environment === undefined
      ? stateMachine.history.getEnvironments()
      : [change.environment];
    for (const environment of environments) {
      if (this.#updateRevision(environment)) {
        if (this.#changes.size === 0) {
          setImmediate(() => this.#logChanges());
        }
        this.#changes.set(environment, this.#describeChange(environment));
      }
    }
  }

  /** Updates the known revision, and reports whether it has changed. */
  #updateRevision(environment: string): boolean {
    const { history } = this.#options.stateMachine;
    const revision = history.getCurrent(environment)?.revision ?? 0;
    if (revision === (this.#knownRevisions.get(environment) ?? 0)) {
      return false;
    }
    this.#knownRevisions.set(environment, revision);
    return true;
  }

  #describeChange(environment: string): LogFields {
    const { stateMachine, log } = this.#options;
    const { index, history } = stateMachine;
    const current = history.getCurrent(environment);
    const status = log.getStatus();
    return {
      environment,
      revision: current?.revision,
      changeId: current?.changeId.slice(0, shortIdLength),
      digest: current?.digest.slice(0, shortIdLength),
      index,
      term: status.term,
      role: status.role,
      onDisk: formatHolders(status, index),
    };
  }

  #logChanges(): void {
    for (const fields of this.#changes.values()) {
      this.#options.eventLog.info("document recorded", fields);
    }
    this.#changes.clear();
  }

  #formatRevisions(): string | undefined {
    return formatRevisions(this.#options.stateMachine.history);
  }
}

/** Formats the current revision of each environment; `undefined` for none. */
export function formatRevisions(
  history: ControlStateMachine["history"],
): string | undefined {
  const revisions = history.getEnvironments().map((environment) =>
    `${environment}:${history.getCurrent(environment)?.revision ?? 0}`
  );
  return revisions.length === 0 ? undefined : revisions.join(",");
}

/**
 * Formats the addresses of the members that hold an index on their disks, as far
 * as the leader knows.
 * @param status Status of this instance.
 * @param index Index in the replicated log.
 * @returns The addresses; `undefined` when this instance is not the leader.
 */
function formatHolders(
  { role, members, matchIndexes }: ConsensusStatus,
  index: number,
): string | undefined {
  if (role !== "leader") {
    return undefined;
  }
  return members.filter(({ id }) => (matchIndexes.get(id) ?? 0) >= index)
    .map(({ address }) => address).join(",");
}
