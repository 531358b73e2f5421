import type { IncomingMessage, ServerResponse } from "node:http";
import { getPriority } from "../admission/mod.ts";
import { getStableHash } from "../common/mod.ts";
import type { CallFailure, RefusalReason } from "../request/mod.ts";
import { AllowanceAccount } from "../retries/mod.ts";
import type { RouteChoice } from "../routing/mod.ts";
import { type Attempt, createAttemptFailure } from "./attempt.ts";
import type { CallDetails } from "./call_details.ts";
import { createCallDetails } from "./call_entry.ts";
import { getEarlyDisposition } from "./early_refusal.ts";
import { addDiscoveredServices } from "./reported_levels.ts";
import type { UnacceptedRequest } from "./call_protocol.ts";
import { shortenText } from "./decision_log.ts";
import type { DocumentView, RoutePlan } from "./document_view.ts";
import { copyHeaders, getRequestError } from "./forwarded_headers.ts";
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

/**
 * Accepts the calls of outside callers and of the local target, and starts their
 * attempts at local or remote targets.
 */
export class OriginDispatcher {
  readonly state: NodeState;
  readonly budgets: RetryBudgets;
  readonly #targetDispatcher: TargetDispatcher;
  readonly #pools = new PeerConnectionPools();
  readonly #keyedCalls = new KeyedCalls();
  readonly #calls = new Set<OriginCall>();

  /**
   * @param state The shared state of the node.
   * @param targetDispatcher The dispatcher of the local target.
   */
  constructor(state: NodeState, targetDispatcher: TargetDispatcher) {
    this.state = state;
    this.budgets = new RetryBudgets(state.clock);
    this.#targetDispatcher = targetDispatcher;
  }

  /** Gets the calls in progress. */
  get calls(): Iterable<OriginCall> {
    return this.#calls;
  }

  /** Gets the number of calls in progress. */
  get callCount(): number {
    return this.#calls.size;
  }

  /**
   * Accepts or refuses a request.
   * @param request The request.
   * @param response Its response.
   * @param options Whether it arrived at the outside listener.
   */
  accept(
    request: IncomingMessage,
    response: ServerResponse,
    options: { isOutside: boolean },
  ): void {
    const { isOutside } = options;
    const { view } = this.state;
    const target = readRequestTarget(request, this.state.protocol);
    const getCall: UnacceptedRequest["getCall"] = (token) =>
      this.#targetDispatcher.getCall(token);
    const refuse = (reason: RefusalReason, message?: string) =>
      this.#refuseRequest({ request, isOutside, getCall }, response, {
        reason,
        target,
        ...(message === undefined ? {} : { message }),
      });
    if (target === undefined) {
      refuse("malformed-request", "The request target is malformed");
      return;
    }
    if (view === undefined) {
      refuse("no-target", "This node has no document yet");
      return;
    }
    const framing = copyHeaders(request.rawHeaders);
    const message = getRequestError(framing);
    if (message !== undefined) {
      refuse("malformed-request", message);
      return;
    }
    const accepted = this.state.protocol.parseRequest({
      state: this.state,
      view,
      request,
      target,
      headers: framing.headers,
      isOutside,
      getCall,
      getCallOfRequest: (id) => this.#targetDispatcher.getCallOfRequest(id),
    });
    if (accepted.kind === "refused") {
      // A newer document may have the route or the key.
      const isOutdated = (accepted.reason === "unknown-route" ||
        accepted.reason === "unknown-key") &&
        !this.state.isDocumentConfirmed();
      refuse(
        isOutdated ? "document-unconfirmed" : accepted.reason,
        accepted.message,
      );
      return;
    }
    const bodyBytes = view.document.callerLimits?.bodyBytes ?? Infinity;
    if (framing.contentLength > bodyBytes) {
      refuse("too-large", `The body is larger than ${bodyBytes} bytes`);
      return;
    }
    const { plan, parent } = accepted;
    if (parent !== undefined) {
      addDiscoveredServices(parent.details.plan, [plan.route.service]);
      parent.addReachedServices([plan.route.service]);
    }
    const details = createCallDetails(this.state, accepted, {
      request,
      target,
      headers: framing.headers,
      isOutside,
    });
    const call = new OriginCall(this, {
      details,
      framing,
      maximumBodyBytes: bodyBytes,
      request,
      caller: { response, isOutside },
      account: parent !== undefined && accepted.hasOwnAllowance !== true
        ? parent.account
        : new AllowanceAccount(plan.route.attemptAllowance),
      parent,
    });
    this.#calls.add(call);
    const refusal = this.#getEntryRefusalReason(view, details, parent);
    if (refusal !== undefined) {
      const message = getRefusalMessage(refusal);
      call.fail({ disposition: "not-run", reason: refusal, message });
    } else if (accepted.quotaTenant === undefined) {
      call.start();
    } else {
      call.startWithPermit(accepted.quotaTenant);
    }
  }

  /** Starts an attempt at the chosen target. */
  startAttempt(
    choice: Extract<RouteChoice, { kind: "target" }>,
    options: TargetCallOptions,
  ): Attempt | undefined {
    const { details, body, allowance, isRepeat, sink } = options;
    if (choice.targetId === this.state.settings.nodeId) {
      const call = new TargetCall(this.#targetDispatcher, this.state, options);
      this.#targetDispatcher.admit(call);
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
      isRepeat,
      remainingMilliseconds: details.deadlineMilliseconds -
        this.state.clock.monotonicMilliseconds(),
      pool,
      memory: this.state.bodyMemory,
      peerCredential: this.state.peerCredential,
      buffersResponses: this.state.protocol.buffersResponses,
      sink,
    });
  }

  /** Gets the reason to report when there is no target for a call. */
  getRefusalReason(
    choice: Extract<RouteChoice, { kind: "refused" }>,
    plan: RoutePlan,
  ): RefusalReason {
    const isLocalService = plan.route.service === this.state.settings.service;
    return choice.reason === "no-target" && isLocalService &&
        this.#targetDispatcher.target.state === "draining"
      ? "target-draining"
      : choice.reason;
  }

  /**
   * Adds the caller of a call to an earlier call with the same key and payload
   * that is in progress at this node. With another payload, the call goes on and
   * the ledger decides, because either of them may have run at another node.
   * @param call The call; its body must have been read.
   * @returns Whether there was an earlier call, so that this one has ended.
   */
  joinEarlierCall(call: OriginCall): boolean {
    const service = call.details.plan.route.service;
    const key = call.details.key as string;
    const earlier = this.#keyedCalls.get(service, key);
    if (earlier === undefined) {
      this.#keyedCalls.add(service, key, call);
      return false;
    }
    if (earlier.getClaimFingerprint() !== call.getClaimFingerprint()) {
      return false;
    }
    earlier.addCaller(call.removeCaller());
    return true;
  }

  /** Removes a call that has ended. */
  onCallEnded(call: OriginCall): void {
    this.#calls.delete(call);
    const { needsClaim, plan, key } = call.details;
    if (needsClaim && key !== undefined) {
      this.#keyedCalls.remove(plan.route.service, key, call);
    }
  }

  /** Refuses the calls of callers outside that no target can have received. */
  refuseUnsentCalls(): void {
    [...this.#calls].forEach((call) => call.refuseIfUnsent());
  }

  /** Ends all calls because the process ends. */
  abortCalls(): void {
    [...this.#calls].forEach((call) => call.abort());
  }

  /** Closes idle connections to other nodes. */
  stop(): void {
    this.#pools.stop();
  }

  #getEntryRefusalReason(
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
   * Checks whether a service that the call or its nested calls reach would
   * refuse it. All calls of a request have the priority of the request.
   */
  #shouldShed(
    plan: RoutePlan,
    call: { classIndex: number; hash: number },
  ): boolean {
    const { levels, protocol } = this.state;
    const priority = getPriority(
      protocol.getRequestClassIndex(call.classIndex),
      call.hash,
    );
    return levels.shouldShed(plan.declaredServices, priority) ||
      levels.shouldShed(plan.discoveredServices, priority);
  }

  #refuseRequest(
    received: UnacceptedRequest,
    response: ServerResponse,
    options: {
      reason: RefusalReason;
      target: RequestTarget | undefined;
      message?: string;
    },
  ): void {
    const { reason, target } = options;
    const message = options.message ?? getRefusalMessage(reason);
    const { protocol } = this.state;
    const requestId = protocol.getRequestId(received);
    const disposition = getEarlyDisposition(protocol, received.request);
    const failure: CallFailure = { disposition, reason, message };
    const { service } = this.state.settings;
    const counters = this.state.counters.get(service, "none");
    counters.refused.set(reason, (counters.refused.get(reason) ?? 0) + 1);
    this.state.decisions.record({
      requestId,
      hash: getStableHash(requestId),
      priority: "failure",
      event: "call not accepted",
      fields: {
        disposition,
        reason,
        message,
        host: target && shortenText(target.host),
        path: target && shortenText(target.routePath),
        revision: this.state.view?.revision,
      },
    });
    protocol.writeFailure(response, failure, requestId);
  }
}
