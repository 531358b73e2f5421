import type { IncomingMessage, ServerResponse } from "node:http";
import { LevelTable } from "../admission/mod.ts";
import {
  type Clock,
  disabledMetrics,
  type Log,
  type LogFields,
  type Metrics,
  type RandomSource,
  StopPhases,
  systemClock,
} from "../common/mod.ts";
import {
  type EnvironmentDocument,
  getDocumentSize,
  getTenantQuotas,
} from "../document/mod.ts";
import { defaultQuotaTerms, NodeQuotas } from "../quotas/mod.ts";
import { ResendCounter } from "../retries/mod.ts";
import { Router, type RoutingTarget } from "../routing/mod.ts";
import {
  defaultListenerLimits,
  type ListenerLimits,
  type NodeSettings,
} from "../settings/mod.ts";
import { type CrashReport, SuspectList } from "../suspects/mod.ts";
import { handleAnnouncement } from "./handle_announcement.ts";
import { BodyMemoryBudget } from "./body_memory_budget.ts";
import type { OpenCall } from "./call_phase.ts";
import type { CallProtocol } from "./call_protocol.ts";
import { CallCounters } from "./call_counters.ts";
import { writeFailure, writeJson } from "./caller_response.ts";
import { DecisionLog } from "./decision_log.ts";
import { DeadlineTimers } from "./deadline_timers.ts";
import { describeOpenWork } from "./describe_open_work.ts";
import { DocumentView } from "./document_view.ts";
import { getEarlyDisposition } from "./early_refusal.ts";
import { maximumPeerHeaderBytes } from "./exchange.ts";
import { HttpListener, type HttpListenerOptions } from "./http_listener.ts";
import { keepOwnService } from "./keep_own_service.ts";
import {
  createCallListenerReports,
  type ListenerReports,
} from "./listener_reports.ts";
import { type LedgerPort, unavailableLedger } from "./ledger_port.ts";
import { PermitRequester } from "./permit_requester.ts";
import { PeerRequestHandler } from "./peer_request_handler.ts";
import type { NodeState } from "./node_state.ts";
import type { PeerCredential } from "./peer_credential.ts";
import { OriginDispatcher } from "./origin_dispatcher.ts";
import { handleOutcomeQuery, outcomeQueryPath } from "./outcome_query.ts";
import { defaultProtocol } from "./default_protocol.ts";
import { getRefusalMessage } from "./refusal_messages.ts";
import { createStatusDocument, type StatusSource } from "./status_page.ts";
import { TargetDispatcher } from "./target_dispatcher.ts";
import { TargetViews } from "./target_views.ts";

/** Dependencies and options of a {@link NodeProcess}. */
export interface NodeProcessOptions {
  readonly log: Log;
  readonly metrics?: Metrics;
  readonly clock?: Clock;
  readonly random?: RandomSource;
  readonly ledger?: LedgerPort;
  /** Credential between nodes; absent when no token is configured. */
  readonly peerCredential?: PeerCredential | undefined;
  /** Protocol of callers and the target; that of dogwoodwalk by default. */
  readonly protocol?: CallProtocol;
  /** Time limit for receiving the headers of a request. */
  readonly headersMilliseconds?: number;
}

/** Receives events of the node that are reported to control. */
export interface NodeEvents {
  onTargetChange(): void;
  onCrash(report: CrashReport): void;
  onSuspectCleared(fingerprint: string): void;
}

/**
 * Time until every node knows that a target leaves. Until then, nodes may send
 * calls on connections that they keep open, so the listeners stay open.
 */
const drainPropagationMilliseconds = 3000;
/**
 * Time before the stop limit at which calls are refused that no target has
 * received, so that their callers can still send them elsewhere.
 */
const unsentRefusalMilliseconds = 500;
/** Time after the stop limit in which the last answers are delivered. */
const deliveryMilliseconds = 200;
const pollIntervalMilliseconds = 10;

/** Result of a graceful stop. */
export interface StopResult {
  /** Calls that were aborted when the time limit was reached. */
  readonly abortedCalls: number;
}

/**
 * A node: its listeners, the dispatcher of calls that enter at this node, and
 * the dispatcher of calls to the local target.
 */
export class NodeProcess {
  readonly state: NodeState;
  /** Time at which the process started, in milliseconds since the epoch. */
  readonly startMilliseconds: number;
  readonly targetDispatcher: TargetDispatcher;
  readonly originDispatcher: OriginDispatcher;
  readonly outside: HttpListener;
  readonly node: HttpListener;
  readonly loopback: HttpListener;
  /** Receives events; set when the node is connected to control. */
  events: NodeEvents | undefined;
  getControlStatus: StatusSource["getControlStatus"] = () => undefined;
  readonly #views: TargetViews;
  readonly #peerRequestHandler: PeerRequestHandler;
  readonly metrics: Metrics;
  readonly permitRequester: PermitRequester;

  /**
   * @param settings Settings of the process.
   * @param options Log, clock and other dependencies.
   */
  constructor(settings: NodeSettings, options: NodeProcessOptions) {
    this.metrics = options.metrics ?? disabledMetrics;
    this.permitRequester = new PermitRequester(options.log, this.metrics);
    this.state = createState(settings, options, {
      metrics: this.metrics,
      permitRequester: this.permitRequester,
    });
    this.permitRequester.start(this.state.quotas);
    if (settings.controlAddresses.length === 0) {
      this.state.quotas.startAlone();
    }
    this.startMilliseconds = this.state.clock.now().getTime();
    this.targetDispatcher = new TargetDispatcher(this.state, {
      onTargetChange: () => {
        this.#views.updateLocalTarget();
        this.events?.onTargetChange();
      },
      onCrash: (report) => this.events?.onCrash(report),
      onSuspectCleared: (each) => this.events?.onSuspectCleared(each),
    });
    this.#views = new TargetViews(this.state, this.targetDispatcher);
    this.originDispatcher = new OriginDispatcher(
      this.state,
      this.targetDispatcher,
    );
    this.#peerRequestHandler = new PeerRequestHandler(
      this.state,
      this.targetDispatcher,
    );
    const { headersMilliseconds } = options;
    const { headerBytes } = this.state.protocol;
    const getDisposition: HttpListenerOptions["getDisposition"] = (request) =>
      getEarlyDisposition(this.state.protocol, request);
    const limits = settings.outsideLimits ?? defaultListenerLimits;
    this.outside = new HttpListener({
      endpoint: settings.outside,
      handle: (request, response) => this.#onOutside(request, response),
      ...this.#createReports("outside"),
      headersMilliseconds,
      headerBytes,
      limits,
      getDisposition,
    });
    this.node = new HttpListener({
      endpoint: settings.node,
      handle: (request, response) =>
        this.#peerRequestHandler.handle(request, response),
      ...this.#createReports("node"),
      headersMilliseconds,
      headerBytes: maximumPeerHeaderBytes,
      limits: createPeerLimits(limits),
    });
    this.loopback = new HttpListener({
      endpoint: settings.loopback,
      handle: (request, response) => this.#onLoopback(request, response),
      ...this.#createReports("loopback"),
      headersMilliseconds,
      headerBytes,
      getDisposition,
    });
  }

  /** Starts the listeners. */
  async start(): Promise<void> {
    await Promise.all([
      this.outside.listen(),
      this.node.listen(),
      this.loopback.listen(),
    ]);
    const { settings, log } = this.state;
    if (settings.target !== undefined) {
      this.targetDispatcher.target.announce({
        endpoint: settings.target,
        incarnation: Date.now(),
      }, { hasLease: false });
    }
    log.info("node started", {
      node: settings.nodeId,
      outside: this.outside.port,
      nodePort: this.node.port,
      loopback: this.loopback.port,
    });
  }

  /** Puts a document in force. */
  applyDocument(
    received: EnvironmentDocument,
    revision: number,
    sourceVersion = 0,
  ): void {
    const { state } = this;
    const document = keepOwnService(received, {
      service: state.settings.service,
      previous: state.view?.document,
    });
    const classCount = document.classes.length;
    if (state.view?.document.classes.length !== classCount) {
      state.levels = new LevelTable({ clock: state.clock, classCount });
    }
    state.view = new DocumentView(document, {
      revision,
      counters: state.counters,
      random: state.random,
      previous: state.view,
    });
    if (document.callerLimits !== undefined) {
      this.outside.setLimits(document.callerLimits);
    }
    for (const service of document.services.values()) {
      state.router.updateService(service.name, service);
    }
    state.router.updateLinks(document.links);
    state.quotas.setQuotas(getTenantQuotas(document));
    this.targetDispatcher.updateDocument();
    state.log.info("document in force", {
      revision,
      sourceVersion: sourceVersion || undefined,
      ...getDocumentSize(received),
      hasOwnService: received.services.has(state.settings.service),
    });
  }

  /** Applies the targets of a service. */
  updateView(service: string, targets: readonly RoutingTarget[]): void {
    this.state.log.info("targets updated", {
      service,
      targets: targets.length,
      draining: targets.filter((each) => each.isDraining).length,
    });
    this.#views.update(service, targets);
  }

  /** Gets the number of calls in flight. */
  get callCount(): number {
    return this.originDispatcher.callCount + this.targetDispatcher.callCount;
  }

  /**
   * Stops the node gracefully: refuses new calls, waits for those in flight up
   * to the time limit, answers those that remain, and closes the listeners.
   * @param options Time limit for the calls in flight, by default from the
   * settings, and the time for which new calls are still accepted. The last
   * answers may be delivered up to 200 ms after the limit.
   */
  async stop(options: {
    limitMilliseconds?: number;
    acceptMilliseconds?: number;
  } = {}): Promise<StopResult> {
    const { state } = this;
    const limitMilliseconds = options.limitMilliseconds ??
      state.settings.stopLimitMilliseconds;
    state.log.info("stopping", { calls: this.callCount });
    this.outside.startDraining();
    this.node.startDraining();
    const phases = new StopPhases(state.log, state.clock);
    const getWaitsFor = () => this.#describeOpenWork();
    const start = performance.now();
    const end = start + limitMilliseconds;
    if (options.acceptMilliseconds !== undefined) {
      await phases.run(
        "accepting",
        () =>
          new Promise((resolve) =>
            setTimeout(resolve, options.acceptMilliseconds)
          ),
        getWaitsFor,
      );
    }
    state.isStopping = true;
    await phases.run("propagation", () =>
      waitUntil(
        Math.min(end, start + drainPropagationMilliseconds),
        () => false,
      ), getWaitsFor);
    await phases.run("calls", () =>
      waitUntil(
        end - unsentRefusalMilliseconds,
        () => !this.#hasCalls,
      ), getWaitsFor);
    if (this.#hasCalls) {
      state.isStopLimitNear = true;
      this.#peerRequestHandler.refuseUnsentCalls();
      this.originDispatcher.refuseUnsentCalls();
      await phases.run(
        "sent-calls",
        () => waitUntil(end, () => !this.#hasCalls),
        getWaitsFor,
      );
    }
    const abortedCalls = this.#abortCalls();
    await phases.run(
      "listeners",
      () => this.#closeListeners(end + deliveryMilliseconds),
      getWaitsFor,
    );
    this.targetDispatcher.stop();
    this.originDispatcher.stop();
    state.timers.stop();
    this.permitRequester.stop();
    state.counters.close();
    this.metrics.close();
    return { abortedCalls };
  }

  #describeOpenWork(): LogFields {
    const listeners = [this.outside, this.node, this.loopback];
    return describeOpenWork({
      originCalls: this.originDispatcher.calls,
      targetCalls: this.targetDispatcher.calls,
      responses: listeners.reduce(
        (sum, each) => sum + each.openResponseCount,
        0,
      ),
    });
  }

  #createReports(listener: "outside" | "node" | "loopback"): ListenerReports {
    const { decisions, protocol } = this.state;
    return createCallListenerReports(listener, {
      decisions,
      metrics: this.metrics,
      getRequestId: (request) =>
        protocol.getRequestId({
          request,
          isOutside: listener !== "loopback",
          getCall: (token) => this.targetDispatcher.getCall(token),
        }),
    });
  }

  get #hasCalls(): boolean {
    return this.callCount + this.#peerRequestHandler.callCount > 0;
  }

  /**
   * Answers the calls that are still in flight.
   * @returns The number of calls.
   */
  #abortCalls(): number {
    const calls = this.callCount;
    if (calls > 0) {
      this.state.log.error("calls aborted at the stop limit", {
        calls,
        ...this.#describeOpenWork(),
      });
    }
    for (const call of this.originDispatcher.calls) {
      this.#recordAbort(call);
    }
    for (const call of this.#peerRequestHandler.calls) {
      this.#recordAbort(call);
    }
    this.state.isStopLimitReached = true;
    this.#peerRequestHandler.abortCalls();
    this.originDispatcher.abortCalls();
    return calls;
  }

  #recordAbort({ requestId, phase, targetId }: OpenCall): void {
    this.state.decisions.record({
      requestId,
      hash: 0,
      priority: "failure",
      event: "call aborted",
      fields: { phase, target: targetId },
    });
  }

  /** Delivers the open responses until a time, and closes the listeners. */
  async #closeListeners(endMilliseconds: number): Promise<void> {
    const limitMilliseconds = endMilliseconds - performance.now();
    await Promise.all(
      [this.outside, this.node, this.loopback].map((each) =>
        each.closeGracefully(limitMilliseconds)
      ),
    );
  }

  #onOutside(request: IncomingMessage, response: ServerResponse): void {
    const url = request.url ?? "";
    // Without keys there are no outcomes, and the path may be that of a route.
    const hasKeys = this.state.protocol.getKey !== undefined;
    if (
      hasKeys && url.startsWith(outcomeQueryPath) && request.method === "GET"
    ) {
      handleOutcomeQuery(this.state, request, response);
      return;
    }
    this.originDispatcher.accept(request, response, { isOutside: true });
  }

  #onLoopback(request: IncomingMessage, response: ServerResponse): void {
    const url = request.url ?? "";
    if (!url.startsWith("/dogwoodwalk/")) {
      this.originDispatcher.accept(request, response, { isOutside: false });
      return;
    }
    if (url === "/dogwoodwalk/status" && request.method === "GET") {
      writeJson(response, 200, createStatusDocument(this));
      return;
    }
    const isAnnouncement = handleAnnouncement(request, response, {
      target: this.targetDispatcher.target,
      leaseMilliseconds: this.state.settings.targetLeaseMilliseconds,
    });
    if (!isAnnouncement) {
      const reason = "unknown-route";
      writeFailure(response, {
        disposition: "not-run",
        reason,
        message: getRefusalMessage(reason),
      }, { requestId: "" });
    }
  }
}

function createState(
  settings: NodeSettings,
  options: NodeProcessOptions,
  { metrics, permitRequester }: {
    metrics: Metrics;
    permitRequester: PermitRequester;
  },
): NodeState {
  const clock = options.clock ?? systemClock;
  const random = options.random ?? Math.random;
  return {
    settings,
    protocol: options.protocol ?? defaultProtocol,
    clock,
    log: options.log,
    random,
    decisions: new DecisionLog(options.log, clock),
    counters: new CallCounters(metrics),
    bodyMemory: new BodyMemoryBudget(),
    timers: new DeadlineTimers(clock),
    router: new Router({
      clock,
      random,
      region: settings.region,
      availabilityZone: settings.availabilityZone,
      localTargetId: settings.nodeId,
      onEjected: (target, milliseconds) =>
        options.log.warn("target ejected", {
          target: target.targetId,
          incarnation: target.incarnation,
          milliseconds,
        }),
    }),
    suspects: new SuspectList({ clock }),
    quotas: new NodeQuotas({
      clock,
      terms: settings.quotaTerms ?? defaultQuotaTerms,
      onNeed: (need) => permitRequester.onNeed(need),
      onLimited: (tenant) => permitRequester.onLimited(tenant),
      onUnlimited: (tenant) => permitRequester.onUnlimited(tenant),
    }),
    resends: new ResendCounter({ clock }),
    peerCredential: options.peerCredential,
    ledger: options.ledger ?? unavailableLedger,
    view: undefined,
    isDocumentConfirmed: () => true,
    levels: new LevelTable({ clock, classCount: 1 }),
    isStopping: false,
    isStopLimitNear: false,
    isStopLimitReached: false,
  };
}

/**
 * Creates the limits for other nodes, which are trusted. They add headers to a
 * request that a listener accepted.
 */
function createPeerLimits({ headFields }: ListenerLimits): ListenerLimits {
  return {
    connections: Infinity,
    headFields: 2 * headFields,
    headMemoryBytes: Infinity,
  };
}

/** Waits until a condition holds or a time is reached. */
async function waitUntil(
  endMilliseconds: number,
  isMet: () => boolean,
): Promise<void> {
  while (performance.now() < endMilliseconds && !isMet()) {
    await new Promise((resolve) =>
      setTimeout(resolve, pollIntervalMilliseconds)
    );
  }
}
