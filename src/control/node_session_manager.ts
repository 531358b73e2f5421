import type { Interceptor } from "@grpc/grpc-js";
import {
  formatFinding,
  type Log,
  type Metrics,
  systemClock,
} from "../common/mod.ts";
import type { QuotaTerms } from "../quotas/mod.ts";
import type { ReplicatedLog } from "../consensus/mod.ts";
import { environments } from "../configuration/mod.ts";
import {
  type Availability,
  type ControlState,
  SessionHost,
} from "../session_server/mod.ts";
import {
  type DocumentParser,
  ParsedDocumentCache,
} from "./parsed_document_cache.ts";
import type {
  ControlStateMachine,
  StateChange,
} from "./control_state_machine.ts";
import type { Proposer } from "./proposer.ts";
import {
  type QuarantineChange,
  type QuarantineRecord,
  SuspectCoordinator,
} from "./suspect_coordinator.ts";

/** Duration of a quarantine while its environment has no document. */
const defaultQuarantineSeconds = 3600;
/**
 * Duration of the first quarantine of a request. A sound request may run alone at
 * a target that crashes for another reason.
 */
const firstQuarantineSeconds = 60;

/** Options of {@link NodeSessionManager}. */
export interface NodeSessionManagerOptions {
  readonly stateMachine: ControlStateMachine;
  readonly log: ReplicatedLog;
  readonly proposer: Proposer;
  readonly eventLog: Log;
  readonly metrics: Metrics;
  /** Address of this instance. */
  readonly address: string;
  readonly parseDocument: DocumentParser;
  readonly interceptors: readonly Interceptor[];
  /** How far tenants may exceed their quotas; not at all by default. */
  readonly quotaTerms: QuotaTerms | undefined;
}

/**
 * Serves the sessions of nodes from the replicated state, and notifies the nodes
 * of its changes.
 */
export class NodeSessionManager {
  readonly sessionHost: SessionHost;
  readonly #options: NodeSessionManagerOptions;
  readonly #documents: ParsedDocumentCache;
  readonly #suspectCoordinator: SuspectCoordinator;
  /** Environments with changes that are not yet published to the nodes. */
  readonly #changedEnvironments = new Set<string>();
  /** Quarantine that was last published to the nodes of each environment. */
  readonly #publishedQuarantine = new Map<string, string>();
  #availability: Availability;
  #isStopping = false;

  constructor(options: NodeSessionManagerOptions) {
    this.#options = options;
    const { stateMachine, log, eventLog, interceptors } = options;
    this.#documents = new ParsedDocumentCache({
      history: stateMachine.history,
      parse: options.parseDocument,
      onUnreadable: (environment, revision, findings) => {
        eventLog.error("document unreadable", {
          environment,
          revision,
          reason: findings.map(formatFinding).join("; "),
        });
        options.metrics.increment("documents.unreadable", { environment });
      },
    });
    this.#suspectCoordinator = new SuspectCoordinator({
      clock: systemClock,
      isLeader: () => log.getStatus().role === "leader",
      getRecord: (environment, fingerprint) =>
        this.#getRecord(environment, fingerprint),
      publishQuarantine: () => this.checkQuarantine(),
      propose: (change, environment, fingerprint) =>
        this.#propose(change, environment, fingerprint),
      publishSuspects: (environment, change) =>
        this.sessionHost.publishSuspects(environment, change),
    });
    const { id, bootCount } = log.getStatus();
    this.sessionHost = new SessionHost({
      instanceId: id,
      address: options.address,
      boot: bootCount,
      state: this.#createState(),
      clock: systemClock,
      log: eventLog,
      metrics: options.metrics,
      interceptors,
      ...(options.quotaTerms !== undefined &&
        { quotaTerms: options.quotaTerms }),
    });
    this.#availability = this.#getAvailability();
    stateMachine.subscribe((change) => this.#onStateChange(change));
  }

  /**
   * Checks whether the availability of this instance changed. If so, the session
   * host redirects nodes to other instances or accepts them again.
   */
  checkAvailability(): void {
    const availability = this.#getAvailability();
    if (availability !== this.#availability) {
      this.#availability = availability;
      this.#options.eventLog.warn("availability changed", {
        availability,
        sessions: this.sessionHost.sessionCount,
      });
      this.sessionHost.onAvailabilityChanged();
    }
  }

  /** Publishes the quarantine if entries were added, were cleared or expired. */
  checkQuarantine(): void {
    for (const environment of environments) {
      const quarantined = this.#getQuarantined(environment).join("\n");
      if (quarantined !== (this.#publishedQuarantine.get(environment) ?? "")) {
        this.#publishedQuarantine.set(environment, quarantined);
        // A node must not admit a request between its quarantine and its trial.
        const trials = this.#getTrials(environment);
        if (trials.length > 0) {
          this.sessionHost.publishSuspects(environment, {
            suspects: trials,
            cleared: [],
          });
        }
        this.sessionHost.onQuarantineChanged(environment);
      }
    }
  }

  /** Redirects the nodes to other instances and ends their sessions. */
  stop(): void {
    this.#isStopping = true;
    this.checkAvailability();
    this.#suspectCoordinator.stop();
    this.sessionHost.stop();
  }

  #createState(): ControlState {
    const { stateMachine, log } = this.#options;
    return {
      getAcceptedDocument: (environment) => this.#documents.get(environment),
      isDocumentReadable: (environment) =>
        this.#documents.isReadable(environment),
      getAvailability: () => this.#getAvailability(),
      getQuarantined: (environment) => this.#getQuarantined(environment),
      getSuspects: (environment) => [
        ...this.#suspectCoordinator.getSuspects(environment),
        ...this.#getTrials(environment),
      ],
      getLedgerIndex: () => stateMachine.index,
      getPeers: () => {
        const { id, members } = log.getStatus();
        return members.filter((each) => each.id !== id)
          .map((each) => ({ instanceId: each.id, address: each.address }));
      },
      onCrashReport: (environment, report) =>
        this.#suspectCoordinator.onCrashReport(environment, report),
      onSuspectCleared: (environment, fingerprint) =>
        this.#suspectCoordinator.onCleared(environment, fingerprint),
    };
  }

  #getAvailability(): Availability {
    const { isolated, outdated, failure } = this.#options.log.getStatus();
    if (this.#isStopping) {
      return "stopping";
    }
    if (isolated || failure !== undefined) {
      return "isolated";
    }
    return outdated ? "outdated" : "available";
  }

  #getQuarantined(environment: string): string[] {
    const fingerprints = new Set(
      this.#options.stateMachine.quarantine
        .getEntries(environment, systemClock.now())
        .map((each) => each.fingerprint),
    );
    const changes = this.#suspectCoordinator.getPendingChanges(environment);
    for (const [fingerprint, change] of changes) {
      if (change === "quarantine") {
        fingerprints.add(fingerprint);
      } else {
        fingerprints.delete(fingerprint);
      }
    }
    return [...fingerprints];
  }

  /** Gets the fingerprints that are on trial after their first quarantine. */
  #getTrials(environment: string): string[] {
    const changes = this.#suspectCoordinator.getPendingChanges(environment);
    return this.#options.stateMachine.quarantine
      .getTrials(environment, systemClock.now())
      .map((each) => each.fingerprint)
      .filter((each) => !changes.has(each));
  }

  #getRecord(environment: string, fingerprint: string): QuarantineRecord {
    const { quarantine } = this.#options.stateMachine;
    const now = systemClock.now();
    const isSame = (each: { fingerprint: string }): boolean =>
      each.fingerprint === fingerprint;
    if (quarantine.getEntries(environment, now).some(isSame)) {
      return "quarantined";
    }
    return quarantine.getTrials(environment, now).some(isSame)
      ? "on-trial"
      : "none";
  }

  async #propose(
    change: QuarantineChange,
    environment: string,
    fingerprint: string,
  ): Promise<boolean> {
    const { log, proposer, eventLog, metrics } = this.#options;
    const { address } = log.getStatus();
    const proposed = await proposer.propose(
      change === "quarantine"
        ? {
          $case: "quarantine",
          quarantine: {
            environment,
            fingerprint,
            seconds:
              this.#documents.get(environment)?.document.quarantineSeconds ??
                defaultQuarantineSeconds,
            firstSeconds: firstQuarantineSeconds,
            reason: "crash",
            reportedBy: address,
          },
        }
        : {
          $case: "clearQuarantine",
          clearQuarantine: { environment, fingerprint, operator: address },
        },
    );
    const isRecorded = proposed.kind === "ok";
    const event = change === "quarantine"
      ? "quarantine"
      : "quarantine cleared by a completion";
    eventLog.warn(event, { environment, fingerprint, isRecorded });
    if (isRecorded) {
      metrics.increment("quarantine.changes", { environment, change });
    }
    return isRecorded;
  }

  /**
   * Publishes all changes of this turn of the event loop together. A restart
   * replays hundreds of revisions, and the nodes need only the last one.
   */
  #onStateChange(change: StateChange): void {
    if (this.#changedEnvironments.size === 0) {
      setImmediate(() => this.#publishChanges());
    }
    const { history } = this.#options.stateMachine;
    const environments = change.environment === undefined
      ? history.getEnvironments()
      : [change.environment];
    environments.forEach((each) => this.#changedEnvironments.add(each));
  }

  #publishChanges(): void {
    const environments = [...this.#changedEnvironments];
    this.#changedEnvironments.clear();
    if (!this.#isStopping) {
      environments.forEach((each) => this.sessionHost.onDocumentAccepted(each));
      this.checkQuarantine();
    }
  }
}
