import type { IncomingMessage } from "node:http";
import {
  type Answer,
  type CallFailure,
  getClaimFingerprint,
} from "../request/mod.ts";
import type { LogFields } from "../common/mod.ts";
import type { Permits, QuotaDecision } from "../quotas/mod.ts";
import type { AllowanceAccount, RetryPriority } from "../retries/mod.ts";
import type { AttemptOutcome, RouteChoice } from "../routing/mod.ts";
import {
  type Attempt,
  type AttemptFailure,
  type AttemptSink,
  getOutcomeKind,
  hasReachedTarget,
  isCapacityReason,
  isShedWithFreeSlots,
  type StreamedResponse,
} from "./attempt.ts";
import type { BodyCollector } from "./body_collector.ts";
import { incrementReason } from "./call_counters.ts";
import {
  type CallBody,
  type CallDetails,
  setFramingHeaders,
} from "./call_details.ts";
import type { CallPhase, OpenCall } from "./call_phase.ts";
import { type Caller, CallerGroup } from "./caller_group.ts";
import { createStoredResponse } from "./claim.ts";
import {
  type DecisionPriority,
  formatLevels,
  formatLoad,
} from "./decision_log.ts";
import type { Expirable } from "./deadline_timers.ts";
import { callerDeliveryTimes } from "./delivery_limit.ts";
import type { ResponseHead } from "./exchange.ts";
import { getFencedResult, needsFence } from "./key_fence.ts";
import type { ForwardedHeaders } from "./forwarded_headers.ts";
import { setResponseCall } from "./listener_response.ts";
import type { ConnectionEnd } from "./open_connection.ts";
import {
  addDiscoveredServices,
  isTargetFault,
  recordLevels,
  type ReportedLevels,
} from "./reported_levels.ts";
import type { OriginDispatcher } from "./origin_dispatcher.ts";
import { createAbortFailure, getRefusalMessage } from "./refusal_messages.ts";
import { readRequestBody } from "./request_body.ts";
import type { RetryBudget } from "./retry_budget.ts";
import { planRetry } from "./plan_retry.ts";
import type { DeliveryFailure, StreamedDelivery } from "./streamed_delivery.ts";
import type { OutgoingCall, TargetCall } from "./target_call.ts";

/** Options of a call by an outside caller or by the local target. */
export interface OriginCallOptions {
  readonly details: CallDetails;
  readonly framing: ForwardedHeaders;
  /** Maximum size of the body by the document. */
  readonly maximumBodyBytes: number;
  readonly request: IncomingMessage;
  readonly caller: Caller;
  /** Allowance of attempts that this node may make for the request. */
  readonly account: AllowanceAccount;
  /** The call to the local target during which the target made this one. */
  readonly parent: TargetCall | undefined;
}

type TargetChoice = Extract<RouteChoice, { kind: "target" }>;

interface CurrentAttempt {
  readonly choice: TargetChoice;
  readonly delegatedAttempts: number;
  readonly startedMilliseconds: number;
  attempt: Attempt | undefined;
}

/**
 * Runs one call at the node where it starts: reads the body, makes attempts
 * until one has a response or no retry is allowed, and writes the outcome to
 * all callers that wait for it.
 */
export class OriginCall
  implements AttemptSink, Expirable, OutgoingCall, OpenCall {
  readonly details: CallDetails;
  readonly #dispatcher: OriginDispatcher;
  readonly #options: OriginCallOptions;
  readonly #account: AllowanceAccount;
  readonly #budget: RetryBudget;
  readonly #callers: CallerGroup;
  readonly #startedMilliseconds: number;
  #collector: BodyCollector | undefined;
  #body: CallBody | undefined;
  #claimFingerprint: string | undefined;
  #excluded: Set<string> | undefined;
  #attempts = 0;
  #mayHaveRun = false;
  /** Targets that may have received the call. */
  #reachedTargets: Set<string> | undefined;
  #current: CurrentAttempt | undefined;
  #retryTimer: NodeJS.Timeout | undefined;
  #hasResponse = false;
  #isStreaming = false;
  #delivery: StreamedDelivery | undefined;
  /** Failure that is reported once its key is fenced. */
  #fencedFailure: CallFailure | undefined;
  #isEnded = false;
  /** Permit that is given back when the call ends without having been run. */
  #permit: { readonly tenant: string; readonly permits: Permits } | undefined;

  /**
   * @param dispatcher The dispatcher that the call belongs to.
   * @param options The call and its caller.
   */
  constructor(dispatcher: OriginDispatcher, options: OriginCallOptions) {
    this.#dispatcher = dispatcher;
    this.#options = options;
    this.details = options.details;
    this.#startedMilliseconds = dispatcher.state.clock.monotonicMilliseconds();
    this.#account = options.account;
    const { service } = options.details.plan;
    this.#budget = dispatcher.budgets.get(service.name, service.retryRatio);
    this.#callers = new CallerGroup(options.caller, {
      protocol: dispatcher.state.protocol,
      onAllDisconnected: (end) => this.#onAllDisconnected(end),
    });
    setResponseCall(options.caller.response, this);
  }

  get requestId(): string {
    return this.details.requestId;
  }

  get phase(): CallPhase {
    if (this.#collector !== undefined) {
      return "receiving";
    }
    if (this.#isEnded) {
      return this.#fencedFailure === undefined ? "ended" : "fencing";
    }
    return this.#isStreaming
      ? "delivering"
      : this.#current?.attempt?.phase ?? "waiting";
  }

  get targetId(): string | undefined {
    return this.#current?.choice.targetId;
  }

  get isPassedOn(): boolean {
    const { phase } = this;
    return this.#hasResponse || this.#reachedTargets !== undefined ||
      phase === "at-node" || phase === "at-target";
  }

  /**
   * Starts the call when it gets a permit; its body is not read before.
   * @param tenant The tenant whose quota the call uses.
   */
  startWithPermit(tenant: string): void {
    const { quotas } = this.#dispatcher.state;
    const decision = quotas.take(tenant, this.#getRemainingMilliseconds());
    if (decision instanceof Promise) {
      void decision.then((each) => this.#onQuotaDecision(tenant, each));
    } else {
      this.#onQuotaDecision(tenant, decision);
    }
  }

  #onQuotaDecision(tenant: string, decision: QuotaDecision): void {
    if (decision.kind === "granted") {
      this.#permit = { tenant, permits: decision };
      if (this.#isEnded) {
        this.#giveBackPermit();
      } else {
        this.start();
      }
    } else if (!this.#isEnded) {
      const reason = "rate-limited";
      this.fail({
        disposition: "not-run",
        reason,
        message: getRefusalMessage(reason),
        retryAfterMilliseconds: decision.waitMilliseconds,
      });
    }
  }

  #giveBackPermit(): void {
    if (this.#permit !== undefined) {
      const { tenant, permits } = this.#permit;
      this.#permit = undefined;
      this.#dispatcher.state.quotas.giveBack(tenant, permits);
    }
  }

  /** Reads the body and makes the first attempt. */
  start(): void {
    const { details, request, framing, parent } = this.#options;
    this.#dispatcher.state.timers.add(details.deadlineMilliseconds, this);
    parent?.addOutgoing(this);
    this.#collector = readRequestBody(request, {
      framing,
      memory: this.#dispatcher.state.bodyMemory,
      maximumBytes: this.#options.maximumBodyBytes,
      mustBuffer: details.needsClaim,
      mustRecognize: !this.#dispatcher.state.suspects.isEmpty,
      events: {
        onBody: (body) => this.#onBody(body),
        onTooLarge: (message) => this.#refuse("too-large", message),
        onMemoryExhausted: () => this.#refuse("body-memory"),
        onAborted: (message) => this.#refuse("malformed-request", message),
      },
    });
  }

  /** Gets the fingerprint that requests with the same key must share. */
  getClaimFingerprint(): string {
    return this.#claimFingerprint ??= getClaimFingerprint({
      ...this.details,
      body: this.#body?.body,
    });
  }

  /** Adds the caller of a resend, which gets the outcome of this call too. */
  addCaller(caller: Caller): void {
    this.#callers.add(caller);
    setResponseCall(caller.response, this);
  }

  /**
   * Ends the call with a failure. If an earlier attempt may have run, `not-run`
   * becomes `unknown`. For a call whose key must be claimed, `not-run` is reported
   * only after the key was fenced, because it must also hold for earlier sends.
   */
  fail(failure: CallFailure): void {
    if (this.#isEnded) {
      return;
    }
    const reported: CallFailure = this.#mayHaveRun &&
        failure.disposition === "not-run"
      ? { ...failure, disposition: "unknown" }
      : failure;
    const { needsClaim, plan, key } = this.details;
    if (!needsClaim || !needsFence(reported)) {
      this.#reportFailure(reported);
      return;
    }
    if (this.#dispatcher.state.isStopLimitReached) {
      this.#reportFailure(createAbortFailure("unknown"));
      return;
    }
    // The call is marked as ended while the fence is pending, and its deadline
    // no longer applies: the caller gets the outcome of the fence.
    this.#stopTimers();
    this.#isEnded = true;
    this.#fencedFailure = reported;
    const { ledger } = this.#dispatcher.state;
    ledger.fence({ service: plan.route.service, key: key ?? "" })
      .then((outcome) => {
        if (this.#fencedFailure === undefined) {
          return;
        }
        this.#fencedFailure = undefined;
        this.#isEnded = false;
        const result = getFencedResult(outcome, reported);
        if (result.kind === "failure") {
          this.#reportFailure(result.failure);
        } else {
          const { head, body } = createStoredResponse(result.answer);
          this.#finish();
          this.#writeBuffered(head, body);
        }
      });
  }

  onBufferedResponse(answer: Answer, head: ResponseHead, body: Buffer): void {
    const targetId = this.#current?.choice.targetId;
    this.#onResponse(answer, { status: head.status, bytes: body.length });
    this.#finish();
    this.#writeBuffered(head, body, targetId);
    this.#dispatcher.state.bodyMemory.release(body.length);
  }

  onStreamedResponse(answer: Answer, streamed: StreamedResponse): void {
    const { link, targetId } = this.#current?.choice ?? {};
    this.#onResponse(answer, { status: streamed.head.status, bytes: 0 });
    this.#isStreaming = true;
    this.#stopTimers();
    const { clock, timers, router } = this.#dispatcher.state;
    const { deadlineMilliseconds } = this.details;
    this.#delivery = this.#callers.writeStreamed(streamed, {
      limit: {
        clock,
        timers,
        deadlineMilliseconds,
        times: callerDeliveryTimes,
      },
      onEnd: (failure, bytes) => {
        if (link !== undefined) {
          router.onLinkBytes(link, bytes);
        }
        if (failure !== undefined && !this.#isEnded) {
          this.#recordUndelivered(failure, targetId);
        }
        this.#finish();
      },
    });
  }

  onFailure(failure: AttemptFailure): void {
    const current = this.#current;
    if (this.#isEnded || current === undefined) {
      return;
    }
    this.#finishAttempt(current, {
      kind: getOutcomeKind(failure),
      hint: failure.load,
      isError: isShedWithFreeSlots(failure) ? true : undefined,
    });
    this.#account.reclaimUnused(
      current.delegatedAttempts,
      failure.unusedAttempts,
    );
    this.#recordLevels(failure, current);
    this.#budget.refusalRate.record(
      isCapacityReason(failure.reason) && !isShedWithFreeSlots(failure),
    );
    if (failure.disposition !== "not-run") {
      this.#mayHaveRun = true;
    }
    if (hasReachedTarget(failure)) {
      (this.#reachedTargets ??= new Set()).add(current.choice.targetId);
    }
    this.#retryOrFail(failure, current.choice.targetId);
  }

  onDeadline(): void {
    if (this.#isEnded) {
      return;
    }
    this.#collector?.stop();
    const disposition = this.#cancelAttempt("failed");
    const reason = disposition === "unknown"
      ? "target-timeout"
      : "deadline-exceeded";
    this.fail({ disposition, reason, message: getRefusalMessage(reason) });
  }

  /**
   * Refuses the call unless a byte of it may have been sent to a target. Calls
   * of the local target go on, because the request that made them is at work.
   */
  refuseIfUnsent(): void {
    const isSent = this.#isStreaming ||
      this.#current?.attempt?.mayHaveBeenSent === true;
    if (!this.#isEnded && !isSent && this.#options.parent === undefined) {
      this.#collector?.stop();
      this.#cancelAttempt("cancelled");
      this.#refuse("stopping");
    }
  }

  /** Ends the call because the process ends. Does not wait for the ledger. */
  abort(): void {
    const { needsClaim } = this.details;
    if (this.#isEnded) {
      if (this.#fencedFailure !== undefined) {
        this.#fencedFailure = undefined;
        this.#reportFailure(createAbortFailure("unknown"));
      }
      return;
    }
    if (this.#delivery !== undefined) {
      this.#delivery.end("stop-limit");
      return;
    }
    this.#collector?.stop();
    const isNotRun = this.#cancelAttempt("failed") === "not-run" &&
      !this.#mayHaveRun && !needsClaim;
    this.#reportFailure(createAbortFailure(isNotRun ? "not-run" : "unknown"));
  }

  cancelWithParent(): void {
    if (this.#delivery !== undefined) {
      this.#delivery.end("parent-ended");
    } else if (!this.#isEnded) {
      this.#collector?.stop();
      const disposition = this.#cancelAttempt("cancelled");
      this.fail({
        disposition,
        reason: "cancelled",
        message: "The request that made this call ended",
      });
    }
  }

  #onBody(body: CallBody): void {
    this.#collector = undefined;
    this.#body = body;
    setFramingHeaders(this.details, body);
    if (this.details.needsClaim) {
      this.#countResend();
    }
    if (this.details.needsClaim && this.#dispatcher.joinEarlierCall(this)) {
      this.#giveBackPermit();
      this.#finish();
      return;
    }
    this.#budget.throttle.onFirstAttempt({
      classIndex: this.#getRetryPriority().classIndex,
      isRepeat: this.#options.parent?.isRepeat === true,
    });
    this.#startAttempt();
  }

  #countResend(): void {
    const { caller, key, plan, classIndex } = this.details;
    const identity = `${plan.route.service}\n${key}`;
    const counters = plan.counters[classIndex];
    if (
      this.#dispatcher.state.resends.record(caller, identity) > 0 &&
      counters !== undefined
    ) {
      counters.resent++;
    }
  }

  /** Removes the first caller so that it can be added to an earlier call. */
  removeCaller(): Caller {
    return this.#callers.removeFirst();
  }

  #startAttempt(): void {
    if (
      this.#dispatcher.state.isStopLimitNear &&
      this.#options.parent === undefined
    ) {
      this.#refuse("stopping");
      return;
    }
    if (this.#getRemainingMilliseconds() <= 0) {
      this.#refuse("deadline-exceeded");
      return;
    }
    if (this.#account.remaining < 1) {
      this.#refuse("allowance-spent");
      return;
    }
    const choice = this.#chooseTarget();
    if (choice.kind === "refused") {
      this.#refuse(
        this.#dispatcher.getRefusalReason(choice, this.details.plan),
      );
      return;
    }
    const { details } = this;
    const reservation = this.#account.startAttempt(
      details.plan.requiredAttempts,
      this.#getAttemptsForOtherCalls(),
    );
    const delegatedAttempts = reservation?.delegatedAttempts ?? 0;
    this.#attempts++;
    const current: CurrentAttempt = {
      choice,
      delegatedAttempts,
      startedMilliseconds: this.#dispatcher.state.clock
        .monotonicMilliseconds(),
      attempt: undefined,
    };
    this.#current = current;
    this.#logDecision("routine", "attempt", {
      attempt: this.#attempts,
      target: choice.targetId,
      remaining: this.#getRemainingMilliseconds(),
      allowance: this.#account.remaining,
    });
    const attempt = this.#dispatcher.startAttempt(choice, {
      details,
      body: this.#body as CallBody,
      allowance: delegatedAttempts,
      isRepeat: this.#reachedTargets !== undefined ||
        this.#options.parent?.isRepeat === true,
      sink: this,
    });
    current.attempt = attempt;
  }

  /** Chooses a target; one that failed only if there is no other. */
  #chooseTarget(): RouteChoice {
    const { plan, classIndex } = this.details;
    const { router } = this.#dispatcher.state;
    const request = {
      service: plan.route.service,
      classIndex,
      excluded: this.#excluded ?? noTargets,
      expectedBytes: this.#body?.body?.length ?? this.#body?.streamedLength,
      remainingMilliseconds: this.#getRemainingMilliseconds(),
    };
    const reached = this.#reachedTargets;
    if (
      reached !== undefined &&
      reached.size >= (plan.route.maximumTargets ?? Infinity)
    ) {
      return router.chooseAgain(request, reached);
    }
    const choice = router.choose(request);
    return choice.kind === "refused" && this.#excluded !== undefined
      ? router.choose({ ...request, excluded: noTargets })
      : choice;
  }

  /** Gets the attempts to reserve for other declared calls of the parent. */
  #getAttemptsForOtherCalls(): number {
    const { parent } = this.#options;
    if (parent === undefined) {
      return 0;
    }
    if (this.#attempts === 0) {
      parent.declaredCallAttempts = Math.max(
        0,
        parent.declaredCallAttempts - this.details.plan.requiredAttempts,
      );
    }
    return parent.declaredCallAttempts;
  }

  #retryOrFail(failure: AttemptFailure, targetId: string): void {
    const decision = planRetry(this.#dispatcher.state, failure, {
      details: this.details,
      body: this.#body,
      budget: this.#budget,
      priority: this.#getRetryPriority(),
      attempts: this.#attempts,
      remainingAllowance: this.#account.remaining,
      mayHaveRun: this.#mayHaveRun,
      reachedTargets: this.#reachedTargets?.size ?? 0,
    });
    this.#logDecision("failure", "attempt failed", {
      attempt: this.#attempts,
      target: targetId,
      disposition: failure.disposition,
      reason: failure.reason,
      message: failure.message,
      decision: decision.kind,
      because: decision.reason,
      remaining: this.#getRemainingMilliseconds(),
      load: formatLoad(failure.load),
    });
    if (decision.kind === "stop") {
      this.fail(failure);
      return;
    }
    (this.#excluded ??= new Set()).add(targetId);
    if (decision.delayMilliseconds === 0) {
      this.#startAttempt();
    } else {
      this.#retryTimer = setTimeout(
        () => this.#startAttempt(),
        decision.delayMilliseconds,
      );
    }
  }

  /** Gets the priority of the request, which all of its calls have. */
  #getRetryPriority(): RetryPriority {
    const { classIndex, hash } = this.details;
    const { protocol } = this.#dispatcher.state;
    return {
      classIndex: protocol.getRequestClassIndex(classIndex),
      place: hash / 2 ** 32,
    };
  }

  #logDecision(
    priority: DecisionPriority,
    event: string,
    fields: LogFields,
  ): void {
    const { requestId, hash, plan } = this.details;
    this.#dispatcher.state.decisions.record({
      requestId,
      hash,
      priority,
      event,
      fields: { service: plan.route.service, ...fields },
    });
  }

  /** Gets the time until the deadline, in whole milliseconds. */
  #getRemainingMilliseconds(): number {
    const now = this.#dispatcher.state.clock.monotonicMilliseconds();
    return Math.round(this.details.deadlineMilliseconds - now);
  }

  #onResponse(
    answer: Answer,
    { status, bytes }: { status: number; bytes: number },
  ): void {
    const current = this.#current;
    this.#hasResponse = true;
    this.#logDecision("routine", "call answered", {
      status,
      attempt: this.#attempts,
      target: current?.choice.targetId,
      remaining: this.#getRemainingMilliseconds(),
    });
    if (current !== undefined) {
      this.#finishAttempt(current, {
        kind: "completed",
        hint: answer.load,
        elapsedMilliseconds: this.#dispatcher.state.clock
          .monotonicMilliseconds() - current.startedMilliseconds,
        isError: isTargetFault(status, answer, {
          table: this.#dispatcher.state.levels,
          plan: this.details.plan,
        }),
      });
      this.#account.reclaimUnused(
        current.delegatedAttempts,
        answer.unusedAttempts,
      );
      const { link } = current.choice;
      if (link !== undefined) {
        this.#dispatcher.state.router.onLinkBytes(link, bytes);
      }
      this.#recordLevels(answer, current);
    }
    this.#budget.refusalRate.record(false);
    const counters = this.details.plan.counters[this.details.classIndex];
    if (counters !== undefined) {
      counters.completed++;
      const now = this.#dispatcher.state.clock.monotonicMilliseconds();
      this.#dispatcher.state.counters.observeDuration(
        counters,
        now - this.#startedMilliseconds,
      );
    }
  }

  #finishAttempt(current: CurrentAttempt, outcome: AttemptOutcome): void {
    this.#current = undefined;
    this.#dispatcher.state.router.onFinish(current.choice.targetId, outcome);
  }

  #cancelAttempt(kind: "failed" | "cancelled"): "not-run" | "unknown" {
    const current = this.#current;
    if (current === undefined) {
      return "not-run";
    }
    const disposition = current.attempt?.cancel() ?? "not-run";
    this.#finishAttempt(current, { kind });
    return disposition === "not-run" ? "not-run" : "unknown";
  }

  #recordLevels(answer: ReportedLevels, { choice }: CurrentAttempt): void {
    const { levels, settings } = this.#dispatcher.state;
    recordLevels(levels, answer, {
      plan: this.details.plan,
      isLocalTarget: choice.targetId === settings.nodeId,
    });
    const { parent } = this.#options;
    if (parent !== undefined) {
      addDiscoveredServices(
        parent.details.plan,
        this.details.plan.discoveredServices,
      );
      parent.addReachedServices(answer.levels.map((each) => each.service));
    }
  }

  #refuse(
    reason: CallFailure["reason"],
    message = getRefusalMessage(reason),
  ): void {
    this.fail({ disposition: "not-run", reason, message });
  }

  #reportFailure(failure: CallFailure): void {
    if (failure.disposition === "not-run") {
      this.#giveBackPermit();
    }
    this.#finish();
    const { parent } = this.#options;
    if (parent !== undefined && failure.disposition === "not-run") {
      parent.hasRefusedOutgoingCall = true;
    }
    const { plan, classIndex, requestId } = this.details;
    const counters = plan.counters[classIndex];
    counters && incrementReason(counters.refused, failure.reason);
    const { view, levels, resends } = this.#dispatcher.state;
    this.#logDecision("failure", "call failed", {
      class: view?.getClassName(classIndex),
      disposition: failure.disposition,
      reason: failure.reason,
      message: failure.message,
      attempts: this.#attempts,
      remaining: this.#getRemainingMilliseconds(),
      revision: view?.revision,
      levels: failure.reason === "shed-early"
        ? formatLevels(levels.getEntries())
        : undefined,
      caller: this.details.caller,
      resends: resends.getResends(this.details.caller),
    });
    this.#callers.writeFailure(failure, requestId);
  }

  #writeBuffered(head: ResponseHead, body: Buffer, targetId?: string): void {
    const failure = this.#callers.writeBuffered(head, body, this.requestId);
    if (failure !== undefined) {
      this.#recordUndelivered("unwritable", targetId);
    }
  }

  /** Records that this node or a target ended a response before its end. */
  #recordUndelivered(
    reason: DeliveryFailure,
    target: string | undefined,
  ): void {
    const counters = this.details.plan.counters[this.details.classIndex];
    counters && incrementReason(counters.undelivered, reason);
    this.#logDecision("failure", "response not delivered", {
      disposition: "ran",
      reason,
      phase: this.phase,
      target,
      attempts: this.#attempts,
      remaining: this.#getRemainingMilliseconds(),
    });
  }

  #onAllDisconnected(end: ConnectionEnd | undefined): void {
    if (!this.#isEnded) {
      const { phase, targetId } = this;
      this.#collector?.stop();
      const disposition = this.#cancelAttempt("cancelled");
      if (disposition === "not-run" && !this.#mayHaveRun) {
        this.#giveBackPermit();
      }
      const counters = this.details.plan.counters[this.details.classIndex];
      counters && incrementReason(counters.refused, "cancelled");
      const isNodeEnd = end?.closedBy === "node";
      const event = isNodeEnd ? "response not delivered" : "caller left";
      this.#logDecision("failure", event, {
        reason: end?.reason,
        phase,
        target: targetId,
        attempts: this.#attempts,
        remaining: this.#getRemainingMilliseconds(),
      });
      this.#finish();
    }
  }

  #stopTimers(): void {
    clearTimeout(this.#retryTimer);
    this.#dispatcher.state.timers.remove(
      this.details.deadlineMilliseconds,
      this,
    );
  }

  #finish(): void {
    this.#isEnded = true;
    this.#stopTimers();
    this.#options.parent?.removeOutgoing(this);
    const bufferedBytes = this.#body?.body?.length ?? 0;
    this.#body = undefined;
    this.#dispatcher.state.bodyMemory.release(bufferedBytes);
    this.#dispatcher.onCallEnded(this);
  }
}

const noTargets: ReadonlySet<string> = new Set();
