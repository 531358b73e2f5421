import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { CallOutcome } from "../admission/mod.ts";
import {
  type Answer,
  type Disposition,
  getClaimFingerprint,
  type RefusalReason,
  StreamedBodyHashes,
} from "../request/mod.ts";
import type { LogFields } from "../common/mod.ts";
import { AllowanceAccount } from "../retries/mod.ts";
import type { Attempt, AttemptSink } from "./attempt.ts";
import { incrementReason } from "./call_counters.ts";
import {
  type CallBody,
  type CallDetails,
  isResponseBuffered,
} from "./call_details.ts";
import type { CallPhase } from "./call_phase.ts";
import { getCallFingerprints } from "./call_fingerprints.ts";
import { Claim } from "./claim.ts";
import { type DecisionPriority, formatLoad } from "./decision_log.ts";
import {
  Exchange,
  type ExchangeError,
  type ExchangeEvents,
  type ResponseHead,
} from "./exchange.ts";
import { defaultHeaderBytes } from "./http_listener.ts";
import type { NodeState } from "./node_state.ts";
import { getRefusalMessage } from "./refusal_messages.ts";
import { maximumDiscoveredServices } from "./reported_levels.ts";
import { ServiceTime } from "./service_time.ts";
import type { TargetDispatcher } from "./target_dispatcher.ts";

/** Settings of a {@link TargetCall}. */
export interface TargetCallOptions {
  readonly details: CallDetails;
  readonly body: CallBody;
  /** Attempts that the outgoing calls of the target may make. */
  readonly allowance: number;
  /**
   * Whether the call repeats an earlier one that a target may have received, or
   * is made during a repeated run.
   */
  readonly isRepeat: boolean;
  readonly sink: AttemptSink;
}

/** An outgoing call of the target, which is cancelled with its parent call. */
export interface OutgoingCall {
  cancelWithParent(): void;
}

/**
 * Time for which a call with a granted claim may still run after its caller
 * disconnected. Its response is recorded in the ledger, so that a resend or an
 * outcome query gets it.
 */
const detachedLimitMilliseconds = 10_000;

type Phase = "queued" | "claiming" | "running" | "streaming" | "ended";

/** Runs one call at the local target. */
export class TargetCall implements Attempt, ExchangeEvents {
  /** Identifies the call to the target and to the admission controller. */
  readonly token = randomUUID();
  readonly details: CallDetails;
  readonly account: AllowanceAccount;
  readonly isRepeat: boolean;
  readonly serviceTime = new ServiceTime();
  /** Attempts that the outgoing calls declared for the route still need. */
  declaredCallAttempts: number;
  isSuspect = false;
  /** Whether an outgoing call of the target for this call was refused. */
  hasRefusedOutgoingCall = false;
  readonly #dispatcher: TargetDispatcher;
  readonly #state: NodeState;
  readonly #body: CallBody;
  readonly #sink: AttemptSink;
  #phase: Phase = "queued";
  #claim: Claim | undefined;
  #exchange: Exchange | undefined;
  #outgoing: Set<OutgoingCall> | undefined;
  #reachedServices: Set<string> | undefined;
  #fingerprints: readonly string[] | undefined;
  /** Hashes of a streamed body; `undefined` before it is sent. */
  #streamedHashes: StreamedBodyHashes | undefined;
  /** Limits the time of a call whose caller disconnected. */
  #detachTimer: NodeJS.Timeout | undefined;

  /**
   * @param dispatcher Dispatcher of the local target.
   * @param state State that the components of the node share.
   * @param options The call and the receiver of its outcome.
   */
  constructor(
    dispatcher: TargetDispatcher,
    state: NodeState,
    options: TargetCallOptions,
  ) {
    this.#dispatcher = dispatcher;
    this.#state = state;
    this.details = options.details;
    this.#body = options.body;
    this.isRepeat = options.isRepeat;
    this.#sink = options.sink;
    this.account = new AllowanceAccount(options.allowance);
    this.declaredCallAttempts = options.details.plan.requiredAttempts - 1;
  }

  get phase(): CallPhase {
    switch (this.#phase) {
      case "running":
        return "at-target";
      case "streaming":
        return "delivering";
      default:
        return this.#phase;
    }
  }

  /**
   * Gets the fingerprints by which a request that crashes targets is recognized.
   * Those of a streamed body change until it was sent.
   */
  getFingerprints(): readonly string[] {
    if (this.#body.source === undefined) {
      return this.#fingerprints ??= getCallFingerprints(
        this.#state.protocol,
        this.details,
        this.#body,
      );
    }
    return getCallFingerprints(this.#state.protocol, this.details, {
      ...this.#body,
      hashes: this.#streamedHashes,
    });
  }

  /** Whether the call was admitted and waits for its turn to run. */
  get isQueued(): boolean {
    return this.#phase === "queued";
  }

  /** Logs the decision of the admission controller. */
  recordAdmission(decision: "run" | "queued"): void {
    this.#record("routine", "admission", {
      decision,
      class: this.#state.view?.getClassName(this.details.classIndex),
      load: formatLoad(this.#dispatcher.getLoad()),
      remaining: Math.round(this.details.deadlineMilliseconds - this.#now()),
    });
  }

  /** Starts the admitted call; claims its key first if required. */
  start(): void {
    if (!this.details.needsClaim) {
      this.#dispatch();
      return;
    }
    this.#phase = "claiming";
    const { plan, key, entryIndex, deadlineMilliseconds } = this.details;
    this.#claim = new Claim(this.#state.ledger, {
      service: plan.route.service,
      key: key ?? "",
      fingerprint: getClaimFingerprint(this.#getFingerprintSource()),
      entryIndex,
      deadlineMilliseconds: Math.max(
        1,
        Math.ceil(deadlineMilliseconds - this.#now()),
      ),
      events: {
        onGranted: () => this.#onGranted(),
        onRefused: (disposition, reason) => {
          this.#end({ kind: "cancelled", serviceMilliseconds: 0 });
          this.#fail(disposition, reason);
        },
        onStoredResponse: (head, body) => {
          this.#end({ kind: "cancelled", serviceMilliseconds: 0 });
          this.#state.bodyMemory.reserveUnchecked(body.length);
          this.#sink.onBufferedResponse(this.#createAnswer(), head, body);
        },
      },
    });
  }

  /** Refuses a call that was not admitted or was removed from the queue. */
  refuse(reason: RefusalReason): void {
    this.#phase = "ended";
    this.#fail("not-run", reason);
  }

  /** Refuses the call if it is still queued. */
  refuseIfQueued(reason: RefusalReason): void {
    if (this.#phase === "queued") {
      this.#dispatcher.onCallCancelled(this);
      this.refuse(reason);
    }
  }

  get mayHaveBeenSent(): boolean {
    return this.#phase === "ended" || this.#exchange?.mayHaveBeenSent === true;
  }

  cancel(): Disposition {
    const phase = this.#phase;
    if (phase === "ended") {
      return "unknown";
    }
    if (phase === "queued") {
      this.#phase = "ended";
      this.#dispatcher.onCallCancelled(this);
      return "not-run";
    }
    const mayHaveRun = this.mayHaveBeenSent;
    if (mayHaveRun && phase === "running" && this.#claim !== undefined) {
      this.#detach();
      return "unknown";
    }
    this.#exchange?.cancel();
    if (!mayHaveRun) {
      this.#claim?.abandon();
    }
    this.#end({
      kind: "cancelled",
      serviceMilliseconds: this.serviceTime.get(this.#now()),
    });
    return mayHaveRun ? "unknown" : "not-run";
  }

  /** Adds an outgoing call of the target. */
  addOutgoing(call: OutgoingCall): void {
    (this.#outgoing ??= new Set()).add(call);
    this.serviceTime.onOutgoingStart(this.#now());
  }

  /** Gets the services that outgoing calls of the target have reached. */
  get reachedServices(): ReadonlySet<string> {
    return this.#reachedServices ?? noServices;
  }

  /** Adds services that outgoing calls have reached, if they are not declared. */
  addReachedServices(services: Iterable<string>): void {
    if (this.details.plan.route.host === undefined) {
      return;
    }
    this.#reachedServices ??= new Set();
    for (const service of services) {
      if (this.#reachedServices.size < maximumDiscoveredServices) {
        this.#reachedServices.add(service);
      }
    }
  }

  /** Removes an outgoing call that ended. */
  removeOutgoing(call: OutgoingCall): void {
    if (this.#outgoing?.delete(call)) {
      this.serviceTime.onOutgoingEnd(this.#now());
    }
  }

  onBufferedResponse(head: ResponseHead, body: Buffer): void {
    const classification = this.#state.protocol.classifyResponse(
      head,
      this.details,
    );
    if (classification !== "own") {
      this.#state.bodyMemory.release(body.length);
      this.#handleUnacceptedResponse(classification);
      return;
    }
    this.#claim?.complete(head, body);
    this.#onCompleted();
    if (this.#detachTimer === undefined) {
      this.#sink.onBufferedResponse(this.#createAnswer(), head, body);
    } else {
      this.#state.bodyMemory.release(body.length);
    }
  }

  onStreamedResponse(
    head: ResponseHead,
    response: IncomingMessage,
    chunks: readonly Buffer[],
  ): void {
    const classification = this.#state.protocol.classifyResponse(
      head,
      this.details,
    );
    if (classification !== "own") {
      this.#exchange?.cancel();
      this.#handleUnacceptedResponse(classification);
      return;
    }
    this.#phase = "streaming";
    const onEnd = (isComplete: boolean): void => {
      if (this.#phase !== "streaming") {
        return;
      }
      if (isComplete) {
        this.#claim?.complete(head, undefined);
        this.#onCompleted();
      } else {
        this.#end({ kind: "cancelled", serviceMilliseconds: 0 });
        this.#exchange?.cancel();
      }
    };
    if (this.#detachTimer !== undefined) {
      response.once("end", () => onEnd(response.complete))
        .once("close", () => onEnd(false));
      response.resume();
      return;
    }
    // The target may make outgoing calls until the response ends, so none of
    // the attempts are reported as unused.
    const answer = this.#createAnswer(0);
    this.#sink.onStreamedResponse(answer, { head, response, chunks, onEnd });
  }

  onError(error: ExchangeError, message: string): void {
    if (error === "not-sent") {
      this.#failNotRun("unreachable", "target-unreachable");
      return;
    }
    if (error === "not-written") {
      this.#failNotRun("cancelled", "target-unreachable", message);
      return;
    }
    if (error === "body-broken") {
      this.#end({ kind: "cancelled", serviceMilliseconds: 0 });
      this.#fail("unknown", "malformed-request", message);
      return;
    }
    const reason = error === "reset" ? "target-reset" : "answer-incomplete";
    const ranAlone = this.isSuspect;
    const serviceMilliseconds = this.serviceTime.get(this.#now());
    this.#dispatcher.crashDetector.examine({
      fingerprints: this.getFingerprints(),
      ranAlone,
      onResult: (hasTargetCrashed) => {
        if (this.#phase === "ended") {
          return;
        }
        this.#end({
          kind: hasTargetCrashed ? "unreachable" : "broken",
          serviceMilliseconds,
        });
        this.#fail("unknown", hasTargetCrashed ? "suspect" : reason, message);
      },
    });
  }

  #onGranted(): void {
    const refusal = this.#dispatcher.getDispatchRefusal();
    if (refusal !== undefined) {
      this.#failNotRun("cancelled", refusal);
    } else {
      this.#dispatch();
    }
  }

  #record(priority: DecisionPriority, event: string, fields: LogFields): void {
    const { requestId, hash } = this.details;
    this.#state.decisions.record({
      requestId,
      hash,
      priority,
      event,
      fields,
    });
  }

  #dispatch(): void {
    this.#phase = "running";
    this.serviceTime.start(this.#now());
    const { details } = this;
    const counters = details.plan.counters[details.classIndex];
    if (counters !== undefined) {
      counters.dispatched++;
    }
    const { announcement } = this.#dispatcher.target;
    this.#record("routine", "dispatched", {
      instance: announcement?.instanceId,
      incarnation: announcement?.incarnation,
      remaining: Math.round(details.deadlineMilliseconds - this.#now()),
    });
    // All attempts share one list of headers. The constructor of Exchange
    // writes them out at once, so the headers for the target only are removed
    // from the list right after it.
    const { headers } = details;
    const { length } = headers;
    this.#state.protocol.addTargetHeaders(headers, {
      details,
      token: this.token,
      announcement,
      remainingMilliseconds: details.deadlineMilliseconds - this.#now(),
    });
    let { source } = this.#body;
    if (source !== undefined) {
      this.#streamedHashes = new StreamedBodyHashes();
      source = { ...source, hashes: this.#streamedHashes };
    }
    this.#exchange = new Exchange({
      method: details.method,
      path: details.path,
      headers,
      body: this.#body.body,
      source,
    }, {
      pool: this.#dispatcher.getPool(),
      memory: this.#state.bodyMemory,
      buffersResponse: this.#state.protocol.buffersResponses ||
        isResponseBuffered(details),
      // Targets may repeat headers of the request.
      headerBytes: this.#state.protocol.headerBytes + defaultHeaderBytes,
      events: this,
    });
    headers.length = length;
  }

  #handleUnacceptedResponse(classification: "not-run" | "foreign"): void {
    // A surplus response may follow on this connection. A copy of this one would
    // be read as the response to the next call, or to the same call sent again.
    this.#exchange?.discardConnection();
    if (classification === "not-run") {
      this.#onShed();
      return;
    }
    this.#end({ kind: "cancelled", serviceMilliseconds: 0 });
    const message = "The response belongs to another call";
    this.#fail("unknown", "answer-incomplete", message);
  }

  /**
   * Fails a call that the target shed. A target that sheds a call because a
   * service that it calls refused is not overloaded itself, so its concurrency
   * limit is not lowered.
   */
  #onShed(): void {
    this.#failNotRun(
      this.hasRefusedOutgoingCall ? "cancelled" : "shed",
      "target-shed",
    );
  }

  #onCompleted(): void {
    this.#end({
      kind: "completed",
      serviceMilliseconds: this.serviceTime.get(this.#now()),
    });
    this.#dispatcher.onCallCompleted(this);
  }

  /** Continues a claimed call after its caller disconnected. */
  #detach(): void {
    this.#detachTimer ??= setTimeout(() => {
      this.#exchange?.cancel();
      this.#end({ kind: "cancelled", serviceMilliseconds: 0 });
    }, detachedLimitMilliseconds);
  }

  /**
   * Fails a call that did not run. The claim is released before the caller gets
   * the failure, because a resend would otherwise be denied.
   */
  #failNotRun(
    kind: CallOutcome["kind"],
    reason: RefusalReason,
    message = getRefusalMessage(reason),
  ): void {
    this.#end({ kind, serviceMilliseconds: 0 });
    if (this.#claim === undefined) {
      this.#fail("not-run", reason, message);
      return;
    }
    this.#claim.release().then(() => this.#fail("not-run", reason, message));
  }

  #end(outcome: CallOutcome): void {
    this.#phase = "ended";
    clearTimeout(this.#detachTimer);
    if (this.#outgoing !== undefined) {
      for (const call of [...this.#outgoing]) {
        call.cancelWithParent();
      }
    }
    this.#dispatcher.onCallFinished(this, outcome);
  }

  #fail(
    disposition: Disposition,
    reason: RefusalReason,
    message = getRefusalMessage(reason),
  ): void {
    const { plan, classIndex } = this.details;
    const counters = plan.counters[classIndex];
    if (counters !== undefined) {
      incrementReason(counters.failedAttempts, reason);
    }
    const load = this.#dispatcher.getLoad();
    this.#record("failure", "target call failed", {
      disposition,
      reason,
      message,
      class: this.#state.view?.getClassName(classIndex),
      load: formatLoad(load),
      target: this.#dispatcher.target.state,
      age: Math.round(this.#dispatcher.target.getAgeMilliseconds()),
      held: this.#exchange === undefined
        ? undefined
        : Math.round(this.serviceTime.get(this.#now())),
    });
    if (this.#detachTimer !== undefined) {
      return;
    }
    this.#sink.onFailure({
      disposition,
      reason,
      message,
      unusedAttempts: this.account.remaining,
      levels: this.#dispatcher.getLevels(),
      load,
    });
  }

  #createAnswer(unusedAttempts = this.account.remaining): Answer {
    return {
      disposition: "ran",
      reason: undefined,
      unusedAttempts,
      levels: this.#dispatcher.getLevels(),
      load: this.#dispatcher.getLoad(),
    };
  }

  #getFingerprintSource(): {
    method: string;
    path: string;
    body: Buffer | undefined;
  } {
    const { method, path } = this.details;
    return { method, path, body: this.#body.body };
  }

  #now(): number {
    return this.#state.clock.monotonicMilliseconds();
  }
}

const noServices: ReadonlySet<string> = new Set();
