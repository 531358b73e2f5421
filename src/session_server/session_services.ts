import type { Interceptor, Server } from "@grpc/grpc-js";
import type { Clock, Log } from "../common/mod.ts";
import type { TargetRecord } from "../membership/mod.ts";
import type {
  AcceptedDocument,
  Availability,
  ControlState,
} from "./control_state.ts";
import { CrashNewsroom, type CrashRules } from "./crash_newsroom.ts";
import {
  type DrainOutcome,
  type LiveNode,
  SessionHost,
} from "./session_host.ts";

/** The control process, as the services for nodes see it. */
export interface ControlHost {
  /** Own address (host:port). */
  readonly address: string;
  /** Gets the document that a majority confirmed. */
  getAcceptedDocument(environment: string): AcceptedDocument | undefined;
  /** Gets the fingerprints in quarantine. */
  getQuarantined(environment: string): readonly string[];
  /** Reports whether this instance reaches no majority. */
  isIsolated(): boolean;
  /** Gets the highest committed index that this instance applied. */
  getLedgerIndex(): number;
  /** Gets the addresses of all members. */
  getControlAddresses(): readonly string[];
  /** Calls a function after a document or the quarantine changed. */
  subscribe(listener: (environment: string | undefined) => void): void;
  /** Quarantines a fingerprint on all instances; false when it must be retried. */
  quarantine(request: {
    readonly environment: string;
    readonly fingerprint: string;
    readonly reason: string;
    readonly reportedBy: string;
  }): Promise<boolean>;
}

/** Settings of the services for nodes. */
export interface SessionServicesOptions {
  /** Start of this process; must grow with every start of the instance. */
  readonly boot: number;
  readonly clock: Clock;
  readonly log: Log;
  /** Adds the token to each call to another instance. */
  readonly interceptors?: readonly Interceptor[];
  /** Creates the rules by which an environment's crashes are judged. */
  createCrashRules(): CrashRules;
  /** Longest time for which `stop` waits for nodes to move. */
  readonly stopMilliseconds?: number;
}

/** The running services for nodes. */
export interface SessionServices {
  readonly host: SessionHost;
  /** Gets the live nodes of an environment, those of other instances too. */
  getLiveNodes(environment: string): readonly LiveNode[];
  getTargets(environment: string): readonly TargetRecord[];
  /** Asks the node of a target to drain it. */
  drain(request: {
    readonly environment: string;
    readonly targetId: string;
  }): Promise<DrainOutcome>;
  /** Lets the nodes move to other instances, then ends. */
  stop(): Promise<void>;
}

// Isolation must be told within 2 s.
const availabilityCheckMilliseconds = 100;
const defaultStopMilliseconds = 3000;

/**
 * Adds the Session and Exchange services of a control process to its server.
 * @param server The server, before it listens.
 * @param control The control process.
 * @param options Settings.
 */
export function addSessionServices(
  server: Server,
  control: ControlHost,
  options: SessionServicesOptions,
): SessionServices {
  let isStopping = false;
  const getAvailability = (): Availability =>
    isStopping ? "stopping" : control.isIsolated() ? "isolated" : "available";
  const newsroom = new CrashNewsroom({
    control,
    clock: options.clock,
    createCrashRules: () => options.createCrashRules(),
    publish: (environment, change) => host.publishSuspects(environment, change),
  });
  const state: ControlState = {
    getAcceptedDocument: (environment) =>
      control.getAcceptedDocument(environment),
    getAvailability,
    getQuarantined: (environment) => control.getQuarantined(environment),
    getSuspects: (environment) => newsroom.getSuspects(environment),
    getLedgerIndex: () => control.getLedgerIndex(),
    getPeers: () =>
      control.getControlAddresses()
        .filter((address) => address !== control.address)
        .map((address) => ({ instanceId: address, address })),
    onCrashReport: (environment, report, isLocal) =>
      newsroom.onReport(environment, report, { isLocal }),
    onSuspectCleared: (environment, fingerprint) =>
      newsroom.onCleared(environment, fingerprint),
  };
  const host = new SessionHost({
    instanceId: control.address,
    boot: options.boot,
    state,
    clock: options.clock,
    log: options.log,
    interceptors: options.interceptors ?? [],
  });
  host.addServices(server);
  control.subscribe((environment) => {
    const changed = environment === undefined
      ? host.getEnvironments()
      : [environment];
    for (const each of changed) {
      host.onDocumentAccepted(each);
      host.onQuarantineChanged(each);
    }
  });
  let availability = getAvailability();
  const timer = setInterval(() => {
    if (getAvailability() !== availability) {
      availability = getAvailability();
      host.onAvailabilityChanged();
    }
  }, availabilityCheckMilliseconds);
  return {
    host,
    getLiveNodes: (environment) => host.getLiveNodes(environment),
    getTargets: (environment) => host.getTargets(environment),
    drain: (request) => Promise.resolve(host.drain(request)),
    stop: async () => {
      clearInterval(timer);
      isStopping = true;
      host.onAvailabilityChanged();
      await waitForNodes(
        host,
        options.stopMilliseconds ?? defaultStopMilliseconds,
      );
      newsroom.stop();
      host.stop();
    },
  };
}

/** Waits until no session is open, up to a limit. */
async function waitForNodes(
  host: SessionHost,
  limitMilliseconds: number,
): Promise<void> {
  const stepMilliseconds = 50;
  for (let waited = 0; waited < limitMilliseconds; waited += stepMilliseconds) {
    if (host.sessionCount === 0) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, stepMilliseconds));
  }
}
