import { systemClock } from "../common/mod.ts";
import type { ReplicatedLog } from "../consensus/mod.ts";
import type { ControlHost } from "../session_server/mod.ts";
import { AcceptedDocuments } from "./accepted_documents.ts";
import type { ControlStateMachine } from "./control_state_machine.ts";
import type { Proposer } from "./proposer.ts";

/** Used while the environment has no document. */
const defaultQuarantineSeconds = 3600;

/** What {@link createControlHost} needs. */
export interface ControlHostOptions {
  readonly address: string;
  readonly stateMachine: ControlStateMachine;
  readonly log: ReplicatedLog;
  readonly proposer: Proposer;
}

/** The control process as the session services see it. */
export interface RunningControlHost extends ControlHost {
  /** Tells of quarantines whose time has passed; called at intervals. */
  checkQuarantine(): void;
}

/**
 * Connects the services for nodes to the replicated state.
 * @param options The state and who proposes to it.
 * @returns What the session services need.
 */
export function createControlHost(
  options: ControlHostOptions,
): RunningControlHost {
  const { address, stateMachine, log, proposer } = options;
  const { history, quarantine } = stateMachine;
  const documents = new AcceptedDocuments(history);
  const listeners: ((environment: string | undefined) => void)[] = [];
  const changed = new Set<string | undefined>();
  const quarantined = new Map<string, number>();
  const getQuarantined = (environment: string) =>
    quarantine.getEntries(environment, systemClock.now())
      .map((each) => each.fingerprint);
  const announce = (environment: string | undefined) =>
    listeners.forEach((listener) => listener(environment));
  // Once for all changes of a turn of the event loop: a restart replays
  // hundreds of revisions, and only the last one matters.
  const announceChanges = () => {
    const environments = [...changed];
    changed.clear();
    environments.forEach(announce);
  };
  stateMachine.subscribe(({ environment }) => {
    if (changed.size === 0) {
      setImmediate(announceChanges);
    }
    changed.add(environment);
  });
  return {
    address,
    getAcceptedDocument: (environment) => documents.get(environment),
    getQuarantined,
    isIsolated: () => {
      const { isolated, failure } = log.getStatus();
      return isolated || failure !== undefined;
    },
    getLedgerIndex: () => stateMachine.index,
    getControlAddresses: () =>
      log.getStatus().members.map((each) => each.address),
    subscribe: (listener) => listeners.push(listener),
    quarantine: async (request) => {
      const { environment } = request;
      const seconds = documents.get(environment)?.document.quarantineSeconds ??
        defaultQuarantineSeconds;
      const proposed = await proposer.propose({
        $case: "quarantine",
        quarantine: { ...request, seconds },
      });
      return proposed.kind === "ok";
    },
    checkQuarantine: () => {
      for (const environment of history.getEnvironments()) {
        const { length } = getQuarantined(environment);
        if (length < (quarantined.get(environment) ?? 0)) {
          announce(environment);
        }
        quarantined.set(environment, length);
      }
    },
  };
}
