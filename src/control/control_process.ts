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
import { type Log, type Metrics, systemClock } from "../common/mod.ts";
import { parseDocument } from "../document/mod.ts";
import { ForwardService, GroupService } from "../protocol/generated/control.ts";
import { LedgerService } from "../protocol/generated/ledger.ts";
import { OperatorService } from "../protocol/generated/operator.ts";
import type { ControlSettings } from "../settings/mod.ts";
import type { DocumentParser } from "./parsed_document_cache.ts";
import { ControlStateMachine } from "./control_state_machine.ts";
import { MembershipManager } from "./membership_manager.ts";
import { InForceMarker } from "./in_force_marker.ts";
import { NodeSessionManager } from "./node_session_manager.ts";
import { createLedgerService } from "./ledger_service.ts";
import { createOperatorService } from "./operator_service.ts";
import { Proposer } from "./proposer.ts";
import type { ReplicatedLog, StateMachine } from "../consensus/mod.ts";

/** Interval at which the leader looks for revisions in force everywhere. */
const inForceCheckMilliseconds = 200;
/** Part of the 2 s within which an instance tells that it is isolated. */
const availabilityMilliseconds = 100;
/** Interval at which entries whose time has passed are noticed. */
const quarantineMilliseconds = 1000;
const gaugeMilliseconds = 5000;
/** Time for answers that are already written, after the log has stopped. */
const shutdownMilliseconds = 500;
/** The same as the limit of the transport of the replicated log. */
const largestMessageBytes = 64 * 1024 * 1024;

/** Opens the replicated log and adds its services to the server. */
export type OpenLog = (
  stateMachine: StateMachine,
  server: Server,
) => Promise<ReplicatedLog> | ReplicatedLog;

/** What a control process is made of. */
export interface ControlOptions {
  readonly settings: ControlSettings;
  readonly token: Token | undefined;
  readonly eventLog: Log;
  readonly metrics: Metrics;
  readonly openLog: OpenLog;
  /** Parses the documents of operators; by default dogwoodwalk's own format. */
  readonly parseDocument?: DocumentParser;
  /** Whether only the fleet reaches the listener, so that no token is needed. */
  readonly isNetworkPrivate?: boolean;
  /**
   * Addresses of instances that bring this one into the group; absent when
   * operators change the group.
   */
  readonly seedAddresses?: readonly string[];
}

/** A running control instance. */
export interface RunningControl {
  readonly stateMachine: ControlStateMachine;
  readonly log: ReplicatedLog;
  readonly proposer: Proposer;
  /** Port that it listens on. */
  readonly port: number;
  /** Replaces the addresses of instances that bring this one into the group. */
  setSeedAddresses(contacts: readonly string[]): void;
  /** Refuses new calls, finishes those in flight and closes the files. */
  stop(): Promise<void>;
}

/**
 * Starts a control instance.
 * @param options Its settings and parts.
 * @returns The instance, once it listens.
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
  const proposer = new Proposer({
    log,
    address: settings.address,
    interceptors: createInterceptors(token),
  });
  const nodes = new NodeSessionManager({
    stateMachine,
    log,
    proposer,
    eventLog,
    address: settings.address,
    parseDocument: options.parseDocument ?? parseDocument,
    interceptors: createInterceptors(token),
  });
  nodes.host.addServices(server);
  server.addService(LedgerService, createLedgerService(proposer, metrics));
  server.addService(ForwardService, proposer.getService());
  server.addService(
    OperatorService,
    createOperatorService({
      stateMachine,
      log,
      proposer,
      fleet: nodes.host,
      address: settings.address,
      eventLog,
      now: () => new Date(),
    }),
  );
  const keeper = options.seedAddresses && new MembershipManager({
    log,
    eventLog,
    clock: systemClock,
    address: settings.address,
    seedAddresses: options.seedAddresses,
    interceptors: createInterceptors(token),
  });
  if (keeper !== undefined) {
    server.addService(GroupService, keeper.getService());
  }
  const port = await listen(server, settings);
  eventLog.info("listening", { address: settings.address, port });
  const timers = startTimers({ stateMachine, log, proposer, nodes, options });
  return {
    stateMachine,
    log,
    proposer,
    port,
    setSeedAddresses: (contacts) => keeper?.setSeedAddresses(contacts),
    stop: async () => {
      timers.forEach(clearInterval);
      keeper?.stop();
      nodes.stop();
      // The log needs the server until the last proposal has its result.
      const isDone = await proposer.stop(settings.stopLimitMilliseconds);
      if (!isDone) {
        eventLog.warn("stopped with proposals in flight");
      }
      await log.stop();
      await shutDown(server);
      metrics.close();
    },
  };
}

function createServerOptions(token: Token | undefined): ServerOptions {
  return {
    interceptors: token === undefined ? [] : [createServerInterceptor(token)],
    "grpc.max_receive_message_length": largestMessageBytes,
    "grpc.max_send_message_length": largestMessageBytes,
  };
}

/**
 * Creates what the clients of this process send along.
 * @param token The token, if there is one.
 * @returns Interceptors for gRPC clients.
 */
export function createInterceptors(token: Token | undefined): Interceptor[] {
  return token === undefined ? [] : [createClientInterceptor(token)];
}

function startTimers(parts: {
  stateMachine: ControlStateMachine;
  log: ReplicatedLog;
  proposer: Proposer;
  nodes: NodeSessionManager;
  options: ControlOptions;
}): NodeJS.Timeout[] {
  const { stateMachine, log, proposer, nodes, options } = parts;
  const marker = new InForceMarker({
    history: stateMachine.history,
    fleet: nodes.host,
    isLeader: () => log.getStatus().role === "leader",
    propose: (environment, revision) =>
      proposer.propose({
        $case: "markInForce",
        markInForce: { environment, revision },
      }),
  });
  return [
    setInterval(() => nodes.checkAvailability(), availabilityMilliseconds),
    setInterval(() => void marker.check(), inForceCheckMilliseconds),
    setInterval(() => nodes.checkQuarantine(), quarantineMilliseconds),
    setInterval(
      () => sendGauges(options.metrics, stateMachine, log),
      gaugeMilliseconds,
    ),
  ];
}

function sendGauges(
  metrics: Metrics,
  stateMachine: ControlStateMachine,
  log: ReplicatedLog,
): void {
  const { isolated, role, failure } = log.getStatus();
  metrics.gauge("control.isolated", isolated ? 1 : 0, {});
  metrics.gauge("control.leader", role === "leader" ? 1 : 0, {});
  metrics.gauge("control.failed", failure === undefined ? 0 : 1, {});
  metrics.gauge("control.applied_index", stateMachine.index, {});
  for (const environment of stateMachine.history.getEnvironments()) {
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

/** Gives answers on their way a moment, then ends all connections. */
function shutDown(server: Server): Promise<void> {
  return new Promise((resolve) => {
    const end = () => {
      clearTimeout(timer);
      server.forceShutdown();
      resolve();
    };
    const timer = setTimeout(end, shutdownMilliseconds);
    server.tryShutdown(end);
  });
}
