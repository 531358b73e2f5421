import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type Answer,
  type CallFailure,
  type Disposition,
  encodeAnswerHeaders,
  type RefusalReason,
} from "../request/mod.ts";
import type {
  AttemptFailure,
  AttemptSink,
  StreamedResponse,
} from "./attempt.ts";
import type { BodyCollector } from "./body_collector.ts";
import {
  type CallBody,
  type CallDetails,
  setFramingHeaders,
} from "./call_details.ts";
import { writeBuffered, writeFailure } from "./caller_response.ts";
import type { CallPhase, OpenCall } from "./call_phase.ts";
import type { Expirable } from "./deadline_timers.ts";
import { peerDeliveryTimes } from "./delivery_limit.ts";
import { getRelevantLevels } from "./reported_levels.ts";
import type { ResponseHead } from "./exchange.ts";
import type { ForwardedHeaders } from "./forwarded_headers.ts";
import { getConnectionEnd, setResponseCall } from "./listener_response.ts";
import type { NodeState } from "./node_state.ts";
import { recordPeerRefusal } from "./record_peer_refusal.ts";
import { createAbortFailure, getRefusalMessage } from "./refusal_messages.ts";
import { readRequestBody } from "./request_body.ts";
import { type DeliveryFailure, StreamedDelivery } from "./streamed_delivery.ts";
import { TargetCall } from "./target_call.ts";
import type { TargetDispatcher } from "./target_dispatcher.ts";

/** Settings of an {@link InboundCall}. */
export interface InboundCallOptions {
  readonly details: CallDetails;
  readonly framing: ForwardedHeaders;
  readonly allowance: number;
  /** Whether the call repeats an earlier one; see `TargetCallOptions`. */
  readonly isRepeat: boolean;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Called at the end of the call. */
  onEnd(call: InboundCall): void;
}

/** Runs a call that another node sent to the local target. */
export class InboundCall implements AttemptSink, Expirable, OpenCall {
  readonly #state: NodeState;
  readonly #dispatcher: TargetDispatcher;
  readonly #options: InboundCallOptions;
  #collector: BodyCollector | undefined;
  #call: TargetCall | undefined;
  #reservedBytes = 0;
  #hasResponse = false;
  #delivery: StreamedDelivery | undefined;
  #isEnded = false;

  /**
   * @param dispatcher Dispatcher of the local target.
   * @param state State that the components of the node share.
   * @param options The call.
   */
  constructor(
    dispatcher: TargetDispatcher,
    state: NodeState,
    options: InboundCallOptions,
  ) {
    this.#dispatcher = dispatcher;
    this.#state = state;
    this.#options = options;
    setResponseCall(options.response, this);
  }

  get requestId(): string {
    return this.#options.details.requestId;
  }

  get phase(): CallPhase {
    const initial = this.#isEnded ? "ended" : "receiving";
    return this.#call?.phase ?? initial;
  }

  get targetId(): string {
    return this.#state.settings.nodeId;
  }

  get isPassedOn(): boolean {
    return this.#hasResponse || this.phase === "at-target";
  }

  /** Reads the body and passes the call to the dispatcher. */
  start(): void {
    const { details, request, response, framing } = this.#options;
    this.#state.timers.add(details.deadlineMilliseconds, this);
    response.on("close", this.#onClose);
    this.#collector = readRequestBody(request, {
      framing,
      memory: this.#state.bodyMemory,
      mustBuffer: details.needsClaim,
      mustRecognize: !this.#state.suspects.isEmpty,
      events: {
        onBody: (body) => this.#onBody(body),
        onTooLarge: (message) => this.#refuse("not-run", "too-large", message),
        onMemoryExhausted: () => this.#refuse("not-run", "body-memory"),
        onAborted: (message) =>
          this.#refuse("not-run", "malformed-request", message),
      },
    });
  }

  onBufferedResponse(answer: Answer, head: ResponseHead, body: Buffer): void {
    this.#hasResponse = true;
    this.#end();
    const failure = writeBuffered(this.#options.response, head, {
      body,
      answer: this.#encodeAnswerWithLevels(answer),
    });
    this.#state.bodyMemory.release(body.length);
    if (failure !== undefined) {
      this.#recordUndelivered("unwritable", this.phase);
      this.#writeFailure({ ...answer, ...failure });
    }
  }

  onStreamedResponse(answer: Answer, streamed: StreamedResponse): void {
    this.#hasResponse = true;
    const { details, response } = this.#options;
    const { deadlineMilliseconds } = details;
    const { clock, timers } = this.#state;
    timers.remove(deadlineMilliseconds, this);
    this.#delivery = new StreamedDelivery(response, streamed, {
      limit: { clock, timers, deadlineMilliseconds, times: peerDeliveryTimes },
      answer: this.#encodeAnswerWithLevels(answer),
      writeFailure: (failure) => this.#writeFailure({ ...answer, ...failure }),
      onEnd: (failure) => {
        if (failure !== undefined && !this.#isEnded) {
          this.#recordUndelivered(failure, "delivering");
        }
        this.#end();
      },
    });
  }

  onFailure(failure: AttemptFailure): void {
    if (this.#isEnded) {
      return;
    }
    this.#end();
    this.#writeFailure(failure);
  }

  onDeadline(): void {
    if (this.#isEnded) {
      return;
    }
    this.#collector?.stop();
    const disposition = this.#call?.cancel() ?? "not-run";
    this.#refuse(
      disposition,
      disposition === "unknown" ? "target-timeout" : "deadline-exceeded",
    );
  }

  /** Refuses the call unless a byte of it may have been sent to the target. */
  refuseIfUnsent(): void {
    if (!this.#isEnded && this.#call?.mayHaveBeenSent !== true) {
      this.abort();
    }
  }

  /** Ends the call because the process ends. */
  abort(): void {
    if (this.#isEnded) {
      return;
    }
    if (this.#delivery !== undefined) {
      this.#delivery.end("stop-limit");
      return;
    }
    this.#collector?.stop();
    const disposition = this.#call?.cancel() ?? "not-run";
    const { reason, message } = createAbortFailure(disposition);
    this.#refuse(disposition, reason, message);
  }

  #onBody(body: CallBody): void {
    this.#collector = undefined;
    const { details, allowance } = this.#options;
    setFramingHeaders(details, body);
    this.#reservedBytes = body.body?.length ?? 0;
    const call = new TargetCall(this.#dispatcher, this.#state, {
      details,
      body,
      allowance,
      isRepeat: this.#options.isRepeat,
      sink: this,
    });
    this.#call = call;
    this.#dispatcher.admit(call);
  }

  readonly #onClose = (): void => {
    if (!this.#isEnded) {
      const { phase } = this;
      this.#collector?.stop();
      this.#call?.cancel();
      this.#recordEnd(phase);
      this.#end();
    }
  };

  /** Logs that this node ended the connection; the caller's node logs its own. */
  #recordEnd(phase: CallPhase): void {
    const end = getConnectionEnd(this.#options.response);
    if (end?.closedBy === "node") {
      this.#recordUndelivered(end.reason, phase);
    }
  }

  #recordUndelivered(reason: DeliveryFailure, phase: CallPhase): void {
    const { requestId, hash } = this.#options.details;
    this.#state.decisions.record({
      requestId,
      hash,
      priority: "failure",
      event: "response not delivered",
      fields: { reason, phase, target: this.targetId },
    });
  }

  #recordRefusal(failure: CallFailure): void {
    const { details, request } = this.#options;
    const { requestId, hash, plan, classIndex } = details;
    recordPeerRefusal(this.#state, {
      failure,
      counters: plan.counters[classIndex],
      requestId,
      hash,
      service: plan.service.name,
      senderAddress: request.socket.remoteAddress,
    });
  }

  #refuse(
    disposition: Disposition,
    reason: RefusalReason,
    message = getRefusalMessage(reason),
  ): void {
    if (this.#call === undefined) {
      this.#recordRefusal({ disposition, reason, message });
    }
    this.onFailure({
      disposition,
      reason,
      message,
      unusedAttempts: this.#call?.account.remaining ?? this.#options.allowance,
      levels: this.#dispatcher.getLevels(),
    });
  }

  #writeFailure(failure: CallFailure & Answer): void {
    writeFailure(this.#options.response, failure, {
      requestId: this.requestId,
      answer: this.#encodeAnswerWithLevels(failure),
    });
  }

  #encodeAnswerWithLevels(answer: Answer): readonly string[] {
    const { plan } = this.#options.details;
    const reportedLevels = getRelevantLevels(this.#state.levels, {
      route: plan.route,
      discoveredServices: this.#call?.reachedServices ?? noServices,
    });
    return encodeAnswerHeaders(
      reportedLevels.length === 0
        ? answer
        : { ...answer, levels: [...answer.levels, ...reportedLevels] },
    );
  }

  #end(): void {
    this.#isEnded = true;
    this.#state.timers.remove(
      this.#options.details.deadlineMilliseconds,
      this,
    );
    this.#state.bodyMemory.release(this.#reservedBytes);
    this.#reservedBytes = 0;
    this.#options.onEnd(this);
  }
}

const noServices: ReadonlySet<string> = new Set();
