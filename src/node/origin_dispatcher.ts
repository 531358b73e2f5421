import type { IncomingMessage, ServerResponse } from "node:http";
import { getPriority } from "../admission/mod.ts";
import type { CallFailure, RefusalReason } from "../request/mod.ts";
import { AllowanceAccount } from "../retries/mod.ts";
import type { RouteChoice } from "../routing/mod.ts";
import { type Attempt, createAttemptFailure } from "./attempt.ts";
import type { CallDetails } from "./call_details.ts";
import { createCallDetails } from "./call_entry.ts";
import { addDiscoveredServices } from "./reported_levels.ts";
import type { DocumentView, RoutePlan } from "./document_view.ts";
import { copyHeaders } from "./forwarded_headers.ts";
import { KeyedCalls } from "./keyed_calls.ts";
import { PeerConnectionPools } from "./peer_connection_pools.ts";
import type { NodeState } from "./node_state.ts";
import { OriginCall } from "./origin_call.ts";
import { getRefusalMessage } from "./refusal_messages.ts";
import { RemoteAttempt } from "./remote_attempt.ts";
import { readRequestTarget, type RequestTarget } from "./request_target.ts";
import { RetryBudgets } from "./retry_budget.ts";
import { TargetCall, type TargetCallOptions } from "./target_call.ts";
import type { TargetDispatcher } from "./target_dispatcher.ts";

/** Takes the calls of outside callers and of the target beside this node. */
export class OriginDispatcher {
  readonly state: NodeState;
  readonly budgets = new RetryBudgets();
  readonly #targetSide: TargetDispatcher;
  readonly #pools = new PeerConnectionPools();
  readonly #keyedCalls = new KeyedCalls();
  readonly #calls = new Set<OriginCall>();

  /**
   * @param state What the parts of the node share.
   * @param targetSide The target's side of the same node.
   */
  constructor(state: NodeState, targetSide: TargetDispatcher) {
    this.state = state;
    this.#targetSide = targetSide;
  }

  /** Gets the number of calls under way. */
  get callCount(): number {
    return this.#calls.size;
  }

  /**
   * Takes a call.
   * @param request The request.
   * @param response Its response.
   * @param options Which listener it came by.
   */
  accept(
    request: IncomingMessage,
    response: ServerResponse,
    options: { isOutside: boolean },
  ): void {
    const { isOutside } = options;
    const { view } = this.state;
    const target = readRequestTarget(request);
    if (target === undefined) {
      const message = "The request target is malformed";
      this.#refuseRequest(response, "malformed-request", { message });
      return;
    }
    if (view === undefined) {
      const message = "This node has no document yet";
      this.#refuseRequest(response, "no-target", { target, message });
      return;
    }
    const framing = copyHeaders(request.rawHeaders);
    const accepted = this.state.protocol.parseRequest({
      state: this.state,
      view,
      request,
      target,
      headers: framing.headers,
      isOutside,
      getCall: (token) => this.#targetSide.getCall(token),
      getCallOfRequest: (id) => this.#targetSide.getCallOfRequest(id),
    });
    if (accepted.kind === "refused") {
      const { reason, message } = accepted;
      this.#refuseRequest(response, reason, {
        target,
        ...(message === undefined ? {} : { message }),
      });
      return;
    }
    const bodyBytes = view.document.callerLimits?.bodyBytes ?? Infinity;
    if (framing.contentLength > bodyBytes) {
      const message = `The body is larger than ${bodyBytes} bytes`;
      this.#refuseRequest(response, "too-large", { target, message });
      return;
    }
    const { plan, parent } = accepted;
    if (parent !== undefined) {
      addDiscoveredServices(parent.details.plan, [plan.route.service]);
    }
    const details = createCallDetails(this.state, accepted, {
      request,
      path: target.path,
      headers: framing.headers,
      isOutside,
    });
    const call = new OriginCall(this, {
      details,
      framing,
      request,
      caller: { response, isOutside },
      account: parent !== undefined && accepted.hasOwnAllowance !== true
        ? parent.account
        : new AllowanceAccount(plan.route.attemptAllowance),
      parent,
    });
    this.#calls.add(call);
    const refusal = this.#getRefusal(view, details, parent);
    if (refusal === undefined) {
      call.start();
    } else {
      const message = getRefusalMessage(refusal);
      call.fail({ disposition: "not-run", reason: refusal, message });
    }
  }

  /** Starts an attempt at the target that was chosen. */
  startAttempt(
    choice: Extract<RouteChoice, { kind: "target" }>,
    options: TargetCallOptions,
  ): Attempt | undefined {
    const { details, body, allowance, sink } = options;
    if (choice.targetId === this.state.settings.nodeId) {
      const call = new TargetCall(this.#targetSide, this.state, options);
      this.#targetSide.admit(call);
      return call;
    }
    const pool = this.#pools.get(
      choice.nodeAddress,
      details.plan.service.connections,
    );
    if (pool === undefined) {
      sink.onFailure(createAttemptFailure({
        disposition: "not-run",
        reason: "node-unreachable",
        message: "The address of the node is malformed",
      }, allowance));
      return undefined;
    }
    return new RemoteAttempt({
      details,
      body,
      allowance,
      remainingMilliseconds: details.deadlineMilliseconds -
        this.state.clock.monotonicMilliseconds(),
      pool,
      memory: this.state.bodyMemory,
      peerCredential: this.state.peerCredential,
      holdsResponses: this.state.protocol.buffersResponses,
      sink,
    });
  }

  /** Gets why a call was given no target. */
  getRefusalReason(
    choice: Extract<RouteChoice, { kind: "refused" }>,
    plan: RoutePlan,
  ): RefusalReason {
    const isLocalService = plan.route.service === this.state.settings.service;
    return choice.reason === "no-target" && isLocalService &&
        this.#targetSide.target.state === "draining"
      ? "target-draining"
      : choice.reason;
  }

  /**
   * Lets a send with a key join an earlier one that is under way here.
   * @param call The send; its body is known.
   * @returns Whether the send ended by joining or by a conflict.
   */
  joinEarlierCall(call: OriginCall): boolean {
    const service = call.details.plan.route.service;
    const key = call.details.key as string;
    const earlier = this.#keyedCalls.get(service, key);
    if (earlier === undefined) {
      this.#keyedCalls.add(service, key, call);
      return false;
    }
    if (earlier.getClaimFingerprint() === call.getClaimFingerprint()) {
      earlier.addCaller(call.removeCaller());
    } else {
      const reason = "key-conflict";
      const message = getRefusalMessage(reason);
      call.fail({ disposition: "not-run", reason, message });
    }
    return true;
  }

  /** Forgets a call that ended. */
  onCallEnded(call: OriginCall): void {
    this.#calls.delete(call);
    const { needsClaim, plan, key } = call.details;
    if (needsClaim && key !== undefined) {
      this.#keyedCalls.remove(plan.route.service, key, call);
    }
  }

  /** Closes idle connections to other nodes. */
  stop(): void {
    this.#pools.stop();
  }

  #getRefusal(
    view: DocumentView,
    details: CallDetails,
    parent: TargetCall | undefined,
  ): RefusalReason | undefined {
    const { plan, classIndex, hash } = details;
    if (plan.route.key === "required" && details.key === undefined) {
      return "key-required";
    }
    if (details.depth > view.document.maximumDepth) {
      return "depth-exceeded";
    }
    if (parent !== undefined) {
      return undefined;
    }
    if (this.state.isStopping) {
      return "stopping";
    }
    return this.#shouldShed(plan, { classIndex, hash })
      ? "shed-early"
      : undefined;
  }

  /**
   * Reports whether a service on the way would refuse the call. Services that
   * are reached by calls of targets see the call under their class.
   */
  #shouldShed(
    plan: RoutePlan,
    call: { classIndex: number; hash: number },
  ): boolean {
    const { levels, protocol } = this.state;
    const importance = getPriority(call.classIndex, call.hash);
    if (levels.shouldShed(plan.declaredServices, importance)) {
      return true;
    }
    const nested = protocol.getNestedClassIndex(call.classIndex);
    return levels.shouldShed(
      plan.discoveredServices,
      getPriority(nested, call.hash),
    );
  }

  #refuseRequest(
    response: ServerResponse,
    reason: RefusalReason,
    options: { target?: RequestTarget; message?: string },
  ): void {
    const message = options.message ?? getRefusalMessage(reason);
    const failure: CallFailure = { disposition: "not-run", reason, message };
    const { service } = this.state.settings;
    const counters = this.state.counters.get(service, "none");
    counters.refused.set(reason, (counters.refused.get(reason) ?? 0) + 1);
    this.state.decisions.record({
      requestId: "",
      hash: 0,
      priority: "failure",
      event: "call not accepted",
      fields: {
        disposition: failure.disposition,
        reason,
        message,
        host: options.target?.host,
        path: options.target?.routePath,
        revision: this.state.view?.revision,
      },
    });
    this.state.protocol.writeFailure(response, failure, "");
  }
}
