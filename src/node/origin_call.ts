import type { IncomingMessage } from "node:http";
import {
  type Answer,
  type CallFailure,
  getClaimFingerprint,
} from "../request/mod.ts";
import type { LogFields } from "../common/mod.ts";
import type { AllowanceAccount } from "../retries/mod.ts";
import type { AttemptOutcome, RouteChoice } from "../routing/mod.ts";
import {
  type Attempt,
  type AttemptFailure,
  type AttemptSink,
  getOutcomeKind,
  hasReachedTarget,
  isCapacityReason,
  type StreamedResponse,
} from "./attempt.ts";
import type { BodyCollector } from "./body_collector.ts";
import { incrementReason } from "./call_counters.ts";
import {
  type CallBody,
  type CallDetails,
  setFramingHeaders,
} from "./call_details.ts";
import { type Caller, CallerGroup } from "./caller_group.ts";
import { createStoredResponse } from "./claim.ts";
import {
  type DecisionPriority,
  formatLevels,
  formatLoad,
} from "./decision_log.ts";
import type { Expirable } from "./deadline_timers.ts";
import type { ResponseHead } from "./exchange.ts";
import { getFencedResult, needsFence } from "./key_fence.ts";
import type { ForwardedHeaders } from "./forwarded_headers.ts";
import {
  addDiscoveredServices,
  isTargetFault,
  recordLevels,
  type ReportedLevels,
} from "./reported_levels.ts";
import type { OriginDispatcher } from "./origin_dispatcher.ts";
import { getRefusalMessage } from "./refusal_messages.ts";
import { readRequestBody } from "./request_body.ts";
import type { RetryBudget } from "./retry_budget.ts";
import { takeRetry } from "./retry_step.ts";
import type { OutgoingCall, TargetCall } from "./target_call.ts";

/** A call made by a caller or by the target beside this node. */
export interface OriginCallOptions {
  readonly details: CallDetails;
  readonly framing: ForwardedHeaders;
  readonly request: IncomingMessage;
  readonly caller: Caller;
  /** Attempts of the request that this node may make. */
  readonly account: AllowanceAccount;
  /** The call of the target beside this node that made this one. */
  readonly parent: TargetCall | undefined;
}

type TargetChoice = Extract<RouteChoice, { kind: "target" }>;

interface CurrentAttempt {
  readonly choice: TargetChoice;
  readonly handedDown: number;
  attempt: Attempt | undefined;
}

/** Makes the attempts of one call until it has a response or fails. */
export class OriginCall implements AttemptSink, Expirable, OutgoingCall {
  readonly details: CallDetails;
  readonly #side: OriginDispatcher;
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
  #reachedTargets = 0;
  #current: CurrentAttempt | undefined;
  #backOff: NodeJS.Timeout | undefined;
  #isEnded = false;

  /**
   * @param side The origin's side of this node.
   * @param options The call and its caller.
   */
  constructor(side: OriginDispatcher, options: OriginCallOptions) {
    this.#side = side;
    this.#options = options;
    this.details = options.details;
    this.#startedMilliseconds = side.state.clock.monotonicMilliseconds();
    this.#account = options.account;
    const { service } = options.details.plan;
    this.#budget = side.budgets.get(service.name, service.retryRatio);
    this.#callers = new CallerGroup(options.caller, {
      protocol: side.state.protocol,
      onAllLeft: () => this.#onAllLeft(),
    });
  }

  /** Reads the body and makes the first attempt. */
  begin(): void {
    const { details, request, framing, parent } = this.#options;
    this.#side.state.timers.add(details.deadlineMilliseconds, this);
    parent?.addOutgoing(this);
    this.#collector = readRequestBody(request, {
      framing,
      memory: this.#side.state.bodyMemory,
      mustBuffer: details.needsClaim,
      events: {
        onBody: (body) => this.#onBody(body),
        onTooLarge: (message) => this.#refuse("too-large", message),
        onAborted: (message) => this.#refuse("malformed-request", message),
      },
    });
  }

  /** Gets the fingerprint that sends with the same key must share. */
  getClaimFingerprint(): string {
    return this.#claimFingerprint ??= getClaimFingerprint({
      ...this.details,
      body: this.#body?.body,
    });
  }

  /** Gives a resend of the same request the outcome of this call. */
  join(caller: Caller): void {
    this.#callers.add(caller);
  }

  /** Ends the call before its body was read, or with the given failure. */
  fail(failure: CallFailure): void {
    if (this.#isEnded) {
      return;
    }
    const told: CallFailure = this.#mayHaveRun &&
        failure.disposition === "not-run"
      ? { ...failure, disposition: "unknown" }
      : failure;
    const { needsClaim, plan, key } = this.details;
    if (!needsClaim || !needsFence(told)) {
      this.#tellFailure(told);
      return;
    }
    // The timer is stopped: the caller waits for the fence, not longer.
    this.#stopTimers();
    this.#isEnded = true;
    const { ledger } = this.#side.state;
    ledger.fence({ service: plan.route.service, key: key ?? "" })
      .then((outcome) => {
        this.#isEnded = false;
        const result = getFencedResult(outcome, told);
        if (result.kind === "failure") {
          this.#tellFailure(result.failure);
        } else {
          const { head, body } = createStoredResponse(result.answer);
          this.#end();
          this.#callers.writeHeld(head, body);
        }
      });
  }

  onBufferedResponse(answer: Answer, head: ResponseHead, body: Buffer): void {
    this.#onResponse(answer, { status: head.status, bytes: body.length });
    this.#end();
    this.#callers.writeHeld(head, body);
    this.#side.state.bodyMemory.release(body.length);
  }

  onStreamedResponse(answer: Answer, streamed: StreamedResponse): void {
    const link = this.#current?.choice.link;
    this.#onResponse(answer, { status: streamed.head.status, bytes: 0 });
    this.#stopTimers();
    this.#side.state.timers.add(this.details.deadlineMilliseconds, this);
    this.#callers.writeStreamed({
      ...streamed,
      onEnd: (isWhole, bytes) => {
        streamed.onEnd(isWhole, bytes);
        if (link !== undefined) {
          this.#side.state.router.onLinkBytes(link, bytes);
        }
        this.#end();
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
    });
    this.#account.reclaimUnused(current.handedDown, failure.unused);
    this.#recordLevels(failure, current);
    this.#budget.refusals.record(isCapacityReason(failure.reason));
    if (failure.disposition !== "not-run") {
      this.#mayHaveRun = true;
    }
    if (hasReachedTarget(failure)) {
      this.#reachedTargets++;
    }
    this.#decide(failure, current.choice.targetId);
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

  cancelWithParent(): void {
    if (!this.#isEnded) {
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
    if (this.details.needsClaim && this.#side.joinEarlier(this)) {
      this.#end();
      return;
    }
    this.#budget.ratio.onFirstAttempt();
    this.#attempt();
  }

  #countResend(): void {
    const { caller, key, plan, classIndex } = this.details;
    const identity = `${plan.route.service}\n${key}`;
    const counters = plan.counters[classIndex];
    if (
      this.#side.state.resends.record(caller, identity) > 0 &&
      counters !== undefined
    ) {
      counters.resent++;
    }
  }

  /** Gets the caller, for the call that it joins. */
  takeCaller(): Caller {
    return this.#callers.takeFirst();
  }

  #attempt(): void {
    if (this.#account.remaining < 1) {
      this.#refuse("allowance-spent");
      return;
    }
    const choice = this.#choose();
    if (choice.kind === "refused") {
      this.#refuse(this.#side.getRefusalReason(choice, this.details.plan));
      return;
    }
    const { details } = this;
    const begun = this.#account.startAttempt(
      details.plan.need,
      this.#getReserved(),
    );
    const handedDown = begun?.delegatedAttempts ?? 0;
    this.#attempts++;
    const current: CurrentAttempt = { choice, handedDown, attempt: undefined };
    this.#current = current;
    this.#record("routine", "attempt", {
      attempt: this.#attempts,
      target: choice.targetId,
      remaining: this.#getRemaining(),
      allowance: this.#account.remaining,
    });
    const attempt = this.#side.startAttempt(choice, {
      details,
      body: this.#body as CallBody,
      allowance: handedDown,
      sink: this,
    });
    current.attempt = attempt;
  }

  /** Tries other targets first, and the same ones when there is no other. */
  #choose(): RouteChoice {
    const { plan, classIndex } = this.details;
    const { router } = this.#side.state;
    const request = {
      service: plan.route.service,
      classIndex,
      excluded: this.#excluded ?? noTargets,
      expectedBytes: this.#body?.body?.length ?? this.#body?.streamedLength,
    };
    const choice = router.choose(request);
    return choice.kind === "refused" && this.#excluded !== undefined
      ? router.choose({ ...request, excluded: noTargets })
      : choice;
  }

  /** Attempts that other declared calls of the parent still need. */
  #getReserved(): number {
    const { parent } = this.#options;
    if (parent === undefined) {
      return 0;
    }
    if (this.#attempts === 0) {
      parent.declaredCallAttempts = Math.max(
        0,
        parent.declaredCallAttempts - this.details.plan.need,
      );
    }
    return parent.declaredCallAttempts;
  }

  #decide(failure: AttemptFailure, targetId: string): void {
    const decision = takeRetry(this.#side.state, failure, {
      details: this.details,
      body: this.#body,
      budget: this.#budget,
      attempts: this.#attempts,
      remainingAllowance: this.#account.remaining,
      mayHaveRun: this.#mayHaveRun,
      reachedTargets: this.#reachedTargets,
    });
    this.#record("failure", "attempt failed", {
      attempt: this.#attempts,
      target: targetId,
      disposition: failure.disposition,
      reason: failure.reason,
      message: failure.message,
      decision: decision.kind,
      because: decision.reason,
      remaining: this.#getRemaining(),
      load: formatLoad(failure.load),
    });
    if (decision.kind === "stop") {
      this.fail(failure);
      return;
    }
    (this.#excluded ??= new Set()).add(targetId);
    if (decision.delayMilliseconds === 0) {
      this.#attempt();
    } else {
      this.#backOff = setTimeout(
        () => this.#attempt(),
        decision.delayMilliseconds,
      );
    }
  }

  #record(priority: DecisionPriority, event: string, fields: LogFields): void {
    const { requestId, hash, plan } = this.details;
    this.#side.state.decisions.record({
      requestId,
      hash,
      priority: priority,
      event,
      fields: { service: plan.route.service, ...fields },
    });
  }

  /** Gets the time to the deadline, in whole milliseconds. */
  #getRemaining(): number {
    const now = this.#side.state.clock.monotonicMilliseconds();
    return Math.round(this.details.deadlineMilliseconds - now);
  }

  #onResponse(
    answer: Answer,
    { status, bytes }: { status: number; bytes: number },
  ): void {
    const current = this.#current;
    this.#record("routine", "call answered", {
      status,
      attempt: this.#attempts,
      target: current?.choice.targetId,
      remaining: this.#getRemaining(),
    });
    if (current !== undefined) {
      this.#finishAttempt(current, {
        kind: "completed",
        hint: answer.load,
        isError: isTargetFault(status, answer, {
          table: this.#side.state.levels,
          plan: this.details.plan,
        }),
      });
      this.#account.reclaimUnused(current.handedDown, answer.unused);
      const { link } = current.choice;
      if (link !== undefined) {
        this.#side.state.router.onLinkBytes(link, bytes);
      }
      this.#recordLevels(answer, current);
    }
    this.#budget.refusals.record(false);
    const counters = this.details.plan.counters[this.details.classIndex];
    if (counters !== undefined) {
      counters.completed++;
      const now = this.#side.state.clock.monotonicMilliseconds();
      this.#side.state.counters.observeDuration(
        counters,
        now - this.#startedMilliseconds,
      );
    }
  }

  #finishAttempt(current: CurrentAttempt, outcome: AttemptOutcome): void {
    this.#current = undefined;
    this.#side.state.router.onFinish(current.choice.targetId, outcome);
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
    const { levels, settings } = this.#side.state;
    recordLevels(levels, answer, {
      plan: this.details.plan,
      isOwnTarget: choice.targetId === settings.nodeId,
    });
    const { parent } = this.#options;
    if (parent !== undefined) {
      addDiscoveredServices(parent.details.plan, this.details.plan.learned);
    }
  }

  #refuse(
    reason: CallFailure["reason"],
    message = getRefusalMessage(reason),
  ): void {
    this.fail({ disposition: "not-run", reason, message });
  }

  #tellFailure(failure: CallFailure): void {
    this.#end();
    const { parent } = this.#options;
    if (parent !== undefined && failure.disposition === "not-run") {
      parent.hasRefusedOutgoingCall = true;
    }
    const { plan, classIndex, requestId } = this.details;
    const counters = plan.counters[classIndex];
    counters && incrementReason(counters.refused, failure.reason);
    const { view, levels, resends } = this.#side.state;
    this.#record("failure", "call failed", {
      class: view?.getClassName(classIndex),
      disposition: failure.disposition,
      reason: failure.reason,
      message: failure.message,
      attempts: this.#attempts,
      remaining: this.#getRemaining(),
      revision: view?.revision,
      levels: failure.reason === "shed-early"
        ? formatLevels(levels.getEntries())
        : undefined,
      caller: this.details.caller,
      resends: resends.getResends(this.details.caller),
    });
    this.#callers.writeFailure(failure, requestId);
  }

  #onAllLeft(): void {
    if (!this.#isEnded) {
      this.#collector?.stop();
      this.#cancelAttempt("cancelled");
      const counters = this.details.plan.counters[this.details.classIndex];
      counters && incrementReason(counters.refused, "cancelled");
      this.#record("failure", "caller left", {
        attempts: this.#attempts,
        remaining: this.#getRemaining(),
      });
      this.#end();
    }
  }

  #stopTimers(): void {
    clearTimeout(this.#backOff);
    this.#side.state.timers.remove(this.details.deadlineMilliseconds, this);
  }

  #end(): void {
    this.#isEnded = true;
    this.#stopTimers();
    this.#options.parent?.removeOutgoing(this);
    const held = this.#body?.body?.length ?? 0;
    this.#body = undefined;
    this.#side.state.bodyMemory.release(held);
    this.#side.onEnded(this);
  }
}

const noTargets: ReadonlySet<string> = new Set();
