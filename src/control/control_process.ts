import {
  type Interceptor,
  Server,
  ServerCredentials,
  type ServerOptions,
} from "@grpc/grpc-js";
import {
  createClientInterceptor,
  createServerInterceptor,
  isLoopbackHost,
  type Token,
} from "../authentication/mod.ts";
import {
  type Log,
  type Metrics,
  StopPhases,
  systemClock,
} from "../common/mod.ts";
import { parseDocument } from "../document/mod.ts";
import { ForwardService, GroupService } from "../protocol/generated/control.ts";
import { LedgerService } from "../protocol/generated/ledger.ts";
import { OperatorService } from "../protocol/generated/operator.ts";
import { type ControlSettings, defaultDocumentBytes } from "../settings/mod.ts";
import type { DocumentParser } from "./parsed_document_cache.ts";
import { DocumentLog, formatRevisions } from "./document_log.ts";
import { ControlStateMachine } from "./control_state_machine.ts";
import { MembershipManager } from "./membership_manager.ts";
import { defaultToleratedLosses } from "./membership_rules.ts";
import { InForceMarker } from "./in_force_marker.ts";
import { NodeSessionManager } from "./node_session_manager.ts";
import { createLedgerService } from "./ledger_service.ts";
import { createOperatorService } from "./operator_service.ts";
import { Proposer } from "./proposer.ts";
import { StateAgeLog } from "./state_age_log.ts";
import type { ReplicatedLog, StateMachine } from "../consensus/mod.ts";

/** Interval at which the leader looks for revisions that every live node runs. */
const inForceCheckIntervalMilliseconds = 200;
/**
 * Interval at which the availability of this instance is checked. It is a
 * small part of the 2 s within which nodes must learn that it is isolated.
 */
export const availabilityCheckIntervalMilliseconds = 100;
/** Interval at which expired quarantine entries are detected. */
const quarantineCheckIntervalMilliseconds = 1000;
const gaugeIntervalMilliseconds = 5000;
/** Time that responses in flight have to complete after the log has stopped. */
export const shutdownTimeoutMilliseconds = 500;
/** Largest gRPC message; equal to the limit of the replicated log's transport. */
const maximumMessageBytes = 64 * 1024 * 1024;

/** Opens the replicated log and adds its services to the server. */
export type OpenLog = (
  stateMachine: StateMachine,
  server: Server,
) => Promise<ReplicatedLog> | ReplicatedLog;

/** Options of {@link startControl}. */
export interface ControlOptions {
  readonly settings: ControlSettings;
  readonly token: Token | undefined;
  readonly eventLog: Log;
  readonly metrics: Metrics;
  readonly openLog: OpenLog;
  /** Parses configuration documents; defaults to dogwoodwalk's own format. */
  readonly parseDocument?: DocumentParser;
  /**
   * Whether only trusted machines can reach the listener; it may then listen
   * beyond loopback without a token.
   */
  readonly isNetworkPrivate?: boolean;
  /**
   * Addresses of control instances to which this one sends join requests;
   * absent when operators manage the members of the consensus group.
   */
  readonly seedAddresses?: readonly string[];
  /**
   * Number of disks of instances that may be lost at once; 1 by default. A group
   * with seed addresses keeps as many voters as this requires.
   */
  readonly toleratedLosses?: number;
}

/** A running control instance. */
export interface RunningControl {
  readonly stateMachine: ControlStateMachine;
  readonly log: ReplicatedLog;
  readonly proposer: Proposer;
  /** Port on which the instance listens. */
  readonly port: number;
  /** Replaces the addresses to which this instance sends join requests. */
  setSeedAddresses(addresses: readonly string[]): void;
  /**
   * Refuses new calls, completes those in flight and closes the files. Waits for
   * file operations in progress without a limit.
   * @param options Time limit for proposals in flight, by default from the
   * settings. Connections of callers are closed up to 500 ms later.
   */
  stop(options?: { limitMilliseconds?: number }): Promise<void>;
}

/**
 * Starts a control instance.
 * @param options Settings and dependencies.
 * @returns The instance, after it has started to listen.
 */
export async function startControl(
  options: ControlOptions,
): Promise<RunningControl> {
  const { settings, token, eventLog, metrics } = options;
  const isExposed = !isLoopbackHost(settings.listen.host) &&
    options.isNetworkPrivate !== true;
  if (token === undefined && isExposed) {
    throw new Error(
      `Refusing to listen on ${settings.listen.host} without a token file`,
    );
  }
  const server = new Server(createServerOptions(token));
  const stateMachine = new ControlStateMachine();
  const log = await options.openLog(stateMachine, server);
  const documentLog = new DocumentLog({
    stateMachine,
    log,
    eventLog,
    clock: systemClock,
  });
  const proposer = new Proposer({
    log,
    address: settings.address,
    interceptors: createInterceptors(token),
  });
  const nodeSessions = new NodeSessionManager({
    stateMachine,
    log,
    proposer,
    eventLog,
    metrics,
    address: settings.address,
    parseDocument: options.parseDocument ?? parseDocument,
    quotaTerms: settings.quotaTerms,
    interceptors: createInterceptors(token),
  });
  nodeSessions.sessionHost.addServices(server);
  server.addService(LedgerService, createLedgerService(proposer, metrics));
  server.addService(ForwardService, proposer.getService());
  server.addService(
    OperatorService,
    createOperatorService({
      stateMachine,
      log,
      proposer,
      fleet: nodeSessions.sessionHost,
      address: settings.address,
      eventLog,
      maximumDocumentBytes: settings.maximumDocumentBytes ??
        defaultDocumentBytes,
      now: () => new Date(),
    }),
  );
  const membershipManager = options.seedAddresses && new MembershipManager({
    log,
    eventLog,
    clock: systemClock,
    address: settings.address,
    seedAddresses: options.seedAddresses,
    toleratedLosses: options.toleratedLosses ?? defaultToleratedLosses,
    interceptors: createInterceptors(token),
  });
  if (membershipManager !== undefined) {
    server.addService(GroupService, membershipManager.getService());
  }
  const port = await listen(server, settings);
  eventLog.info("listening", { address: settings.address, port });
  const timers = startTimers({
    documentLog,
    stateMachine,
    log,
    proposer,
    nodeSessions,
    options,
  });
  return {
    stateMachine,
    log,
    proposer,
    port,
    setSeedAddresses: (addresses) =>
      membershipManager?.setSeedAddresses(addresses),
    stop: async (stopOptions = {}) => {
      timers.forEach(clearInterval);
      membershipManager?.stop();
      const phases = new StopPhases(eventLog, systemClock);
      await phases.run("sessions", () => nodeSessions.stop(), () => ({
        sessions: nodeSessions.sessionHost.sessionCount,
      }));
      // The log replicates through the server, so the server must run until
      // the last proposal has its result.
      const isDone = await phases.run(
        "proposals",
        () =>
          proposer.stop(
            stopOptions.limitMilliseconds ?? settings.stopLimitMilliseconds,
          ),
        () => ({ inFlight: proposer.inFlightCount }),
      );
      if (!isDone) {
        eventLog.warn("shutdown timed out with proposals in flight");
      }
      // The stop of the log ends what still waits for it, and then waits for
      // the disk, which must not delay the responses.
      await Promise.all([
        phases.run("log", () => log.stop()),
        phases.run("server", () => shutDown(server)),
      ]);
      metrics.close();
    },
  };
}

function createServerOptions(token: Token | undefined): ServerOptions {
  return {
    interceptors: token === undefined ? [] : [createServerInterceptor(token)],
    "grpc.max_receive_message_length": maximumMessageBytes,
    "grpc.max_send_message_length": maximumMessageBytes,
  };
}

/**
 * Creates the interceptors that authenticate the calls of gRPC clients.
 * @param token The token; `undefined` when calls need no authentication.
 * @returns The interceptors.
 */
export function createInterceptors(token: Token | undefined): Interceptor[] {
  return token === undefined ? [] : [createClientInterceptor(token)];
}

function startTimers(parts: {
  documentLog: DocumentLog;
  stateMachine: ControlStateMachine;
  log: ReplicatedLog;
  proposer: Proposer;
  nodeSessions: NodeSessionManager;
  options: ControlOptions;
}): NodeJS.Timeout[] {
  const { stateMachine, log, proposer, nodeSessions, options, documentLog } =
    parts;
  const stateAgeLog = new StateAgeLog({
    log,
    eventLog: options.eventLog,
    clock: systemClock,
    getRevisions: () => formatRevisions(stateMachine.history),
  });
  const marker = new InForceMarker({
    history: stateMachine.history,
    fleet: nodeSessions.sessionHost,
    isLeader: () => log.getStatus().role === "leader",
    propose: (environment, revision) =>
      proposer.propose({
        $case: "markInForce",
        markInForce: { environment, revision },
      }),
  });
  return [
    setInterval(() => {
      nodeSessions.checkAvailability();
      documentLog.checkRecovery();
      stateAgeLog.check();
    }, availabilityCheckIntervalMilliseconds),
    setInterval(() => void marker.check(), inForceCheckIntervalMilliseconds),
    setInterval(
      () => nodeSessions.checkQuarantine(),
      quarantineCheckIntervalMilliseconds,
    ),
    setInterval(
      () => reportGauges(options.metrics, stateMachine, log),
      gaugeIntervalMilliseconds,
    ),
  ];
}

function reportGauges(
  metrics: Metrics,
  stateMachine: ControlStateMachine,
  log: ReplicatedLog,
): void {
  const { isolated, outdated, role, failure, stateAgeMilliseconds } = log
    .getStatus();
  metrics.gauge("control.isolated", isolated ? 1 : 0, {});
  metrics.gauge("control.outdated", outdated ? 1 : 0, {});
  metrics.gauge("control.leader", role === "leader" ? 1 : 0, {});
  metrics.gauge("control.failed", failure === undefined ? 0 : 1, {});
  metrics.gauge("control.applied_index", stateMachine.index, {});
  if (Number.isFinite(stateAgeMilliseconds)) {
    metrics.gauge("control.state_age_milliseconds", stateAgeMilliseconds, {});
  }
  for (const environment of stateMachine.history.getEnvironments()) {
    const { revision = 0 } = stateMachine.history.getCurrent(environment) ?? {};
    metrics.gauge("control.revision", revision, { environment });
    const { records, answerBytes } = stateMachine.ledger.getUsage(
      environment,
    );
    metrics.gauge("ledger.claims", records, { environment });
    metrics.gauge("ledger.answer_bytes", answerBytes, { environment });
  }
}

function listen(server: Server, settings: ControlSettings): Promise<number> {
  const { host, port } = settings.listen;
  const address = host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
  return new Promise((resolve, reject) => {
    server.bindAsync(
      address,
      ServerCredentials.createInsecure(),
      (error, bound) => error === null ? resolve(bound) : reject(error),
    );
  });
}

/** Waits briefly for responses in flight, then closes all connections. */
function shutDown(server: Server): Promise<void> {
  return new Promise((resolve) => {
    const end = () => {
      clearTimeout(timer);
      server.forceShutdown();
      resolve();
    };
    const timer = setTimeout(end, shutdownTimeoutMilliseconds);
    server.tryShutdown(end);
  });
}
