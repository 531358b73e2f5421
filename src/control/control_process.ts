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
import type { Log, Metrics } from "../common/mod.ts";
import { ForwardService } from "../protocol/generated/control.ts";
import { LedgerService } from "../protocol/generated/ledger.ts";
import { OperatorService } from "../protocol/generated/operator.ts";
import type { ControlSettings } from "../settings/mod.ts";
import { AcceptedDocuments } from "./accepted_documents.ts";
import { ControlStateMachine } from "./control_state_machine.ts";
import { emptyFleet, type FleetView } from "./fleet_view.ts";
import { InForceMarker } from "./in_force_marker.ts";
import { createLedgerService } from "./ledger_service.ts";
import { createOperatorService } from "./operator_service.ts";
import { Proposer } from "./proposer.ts";
import type { ReplicatedLog, StateMachine } from "../consensus/mod.ts";
import type { SessionHost } from "./session_host.ts";

/** Interval at which the leader looks for revisions in force everywhere. */
const inForceCheckMilliseconds = 200;
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

/** Adds the services for nodes to the server. */
export type AddSessionServices = (
  server: Server,
  host: SessionHost,
) => FleetView & { stop(): Promise<void> };

/** What a control process is made of. */
export interface ControlOptions {
  readonly settings: ControlSettings;
  readonly token: Token | undefined;
  readonly eventLog: Log;
  readonly metrics: Metrics;
  readonly openLog: OpenLog;
  readonly addSessionServices?: AddSessionServices;
}

/** A running control instance. */
export interface RunningControl {
  readonly stateMachine: ControlStateMachine;
  readonly log: ReplicatedLog;
  /** Port that it listens on. */
  readonly port: number;
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
  if (token === undefined && !isLoopbackHost(settings.listen.host)) {
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
  const host = createSessionHost({
    address: settings.address,
    stateMachine,
    log,
    proposer,
  });
  const sessions = options.addSessionServices?.(server, host);
  const fleet = sessions ?? emptyFleet;
  server.addService(LedgerService, createLedgerService(proposer, metrics));
  server.addService(ForwardService, proposer.getService());
  server.addService(
    OperatorService,
    createOperatorService({
      stateMachine,
      log,
      proposer,
      fleet,
      address: settings.address,
      eventLog,
      now: () => new Date(),
    }),
  );
  const port = await listen(server, settings);
  eventLog.info("listening", { address: settings.address, port });
  const timers = startTimers({ stateMachine, log, proposer, fleet, options });
  return {
    stateMachine,
    log,
    port,
    stop: async () => {
      timers.forEach(clearInterval);
      await sessions?.stop();
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

interface Parts {
  readonly stateMachine: ControlStateMachine;
  readonly log: ReplicatedLog;
  readonly proposer: Proposer;
}

function createSessionHost(parts: Parts & { address: string }): SessionHost {
  const { stateMachine, log, proposer, address } = parts;
  const documents = new AcceptedDocuments(stateMachine.history);
  return {
    address,
    getAcceptedDocument: (environment) => documents.get(environment),
    getQuarantined: (environment) =>
      stateMachine.quarantine.getEntries(environment, new Date())
        .map((each) => each.fingerprint),
    isIsolated: () => log.getStatus().isolated,
    getLedgerIndex: () => stateMachine.index,
    getControlAddresses: () => {
      const { members, leader } = log.getStatus();
      const addresses = members.map((each) => each.address);
      return addresses.sort((a, b) =>
        Number(b === leader?.address) - Number(a === leader?.address)
      );
    },
    subscribe: (listener) =>
      stateMachine.subscribe((change) => listener(change.environment)),
    quarantine: async (request) => {
      const { environment } = request;
      const accepted = documents.get(environment);
      const proposed = await proposer.propose({
        $case: "quarantine",
        quarantine: {
          ...request,
          seconds: accepted?.document.quarantineSeconds ?? 3600,
        },
      });
      return proposed.kind === "ok";
    },
  };
}

function startTimers(
  parts: Parts & { fleet: FleetView; options: ControlOptions },
): NodeJS.Timeout[] {
  const { stateMachine, log, proposer, fleet, options } = parts;
  const marker = new InForceMarker({
    history: stateMachine.history,
    fleet,
    isLeader: () => log.getStatus().role === "leader",
    propose: (environment, revision) =>
      proposer.propose({
        $case: "markInForce",
        markInForce: { environment, revision },
      }),
  });
  const sendGauges = () => {
    const { metrics } = options;
    const status = log.getStatus();
    metrics.gauge("control.isolated", status.isolated ? 1 : 0, {});
    metrics.gauge("control.leader", status.role === "leader" ? 1 : 0, {});
    metrics.gauge("control.applied_index", stateMachine.index, {});
    for (const environment of stateMachine.history.getEnvironments()) {
      const { records, answerBytes } = stateMachine.ledger.getCounts(
        environment,
      );
      metrics.gauge("ledger.claims", records, { environment });
      metrics.gauge("ledger.answer_bytes", answerBytes, { environment });
    }
  };
  return [
    setInterval(() => void marker.check(), inForceCheckMilliseconds),
    setInterval(sendGauges, gaugeMilliseconds),
  ];
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
