import type { IncomingMessage } from "node:http";
import {
  type Answer,
  decodeAnswerHeaders,
  type Disposition,
  encodeContext,
  type RefusalReason,
} from "../request/mod.ts";
import {
  type Attempt,
  type AttemptSink,
  createAttemptFailure,
} from "./attempt.ts";
import type { BodyMemoryBudget } from "./body_memory_budget.ts";
import {
  type CallBody,
  type CallDetails,
  isResponseBuffered,
} from "./call_details.ts";
import type { CallPhase } from "./call_phase.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import {
  Exchange,
  type ExchangeError,
  type ExchangeEvents,
  maximumPeerHeaderBytes,
  type ResponseHead,
} from "./exchange.ts";
import { type PeerCredential, peerHeader } from "./peer_credential.ts";
import { getPeerFailureReason } from "./peer_failure.ts";
import { repeatHeader, repeatValue } from "./repeat_header.ts";
import { tenantHeader } from "./tenant_header.ts";
import { getRefusalMessage } from "./refusal_messages.ts";

/** Options of an attempt at the target of another node. */
export interface RemoteAttemptOptions {
  readonly details: CallDetails;
  readonly body: CallBody;
  /** Attempts delegated with the attempt. */
  readonly allowance: number;
  /** Whether the call repeats an earlier one; see `TargetCallOptions`. */
  readonly isRepeat: boolean;
  readonly remainingMilliseconds: number;
  readonly pool: ConnectionPool;
  readonly memory: BodyMemoryBudget;
  readonly peerCredential: PeerCredential | undefined;
  /** Whether small responses to all calls are buffered until complete. */
  readonly buffersResponses: boolean;
  readonly sink: AttemptSink;
}

/**
 * Time by which the deadline at the other node precedes that of this node, so
 * that its refusal arrives in time. A round trip between regions takes 25 ms.
 */
const deadlineMarginMilliseconds = 30;
/** Largest share of the remaining time that the deadline margin may take. */
const maximumDeadlineMarginShare = 0.1;

const failuresByError: Readonly<
  Record<ExchangeError, { disposition: Disposition; reason: RefusalReason }>
> = {
  "not-sent": { disposition: "not-run", reason: "node-unreachable" },
  "not-written": { disposition: "not-run", reason: "node-unreachable" },
  "reset": { disposition: "unknown", reason: "node-unreachable" },
  "incomplete": { disposition: "unknown", reason: "answer-incomplete" },
  "body-broken": { disposition: "unknown", reason: "malformed-request" },
};

/** Sends a call to the node of its target and decodes the node's answer. */
export class RemoteAttempt implements Attempt, ExchangeEvents {
  readonly #options: RemoteAttemptOptions;
  readonly #exchange: Exchange;

  /** @param options The call, its connection pool and the outcome's receiver. */
  constructor(options: RemoteAttemptOptions) {
    this.#options = options;
    const { details, body } = options;
    const { headers } = details;
    const { length } = headers;
    headers.push(
      "dogwoodwalk-context",
      encodeContext({
        requestId: details.requestId,
        caller: details.caller,
        classIndex: details.classIndex,
        remainingMilliseconds: options.remainingMilliseconds -
          Math.min(
            deadlineMarginMilliseconds,
            options.remainingMilliseconds * maximumDeadlineMarginShare,
          ),
        allowance: options.allowance,
        depth: details.depth,
        entryIndex: details.entryIndex,
        service: details.plan.route.service,
        hash: details.hash,
      }),
    );
    if (details.tenant !== undefined) {
      headers.push(tenantHeader, details.tenant);
    }
    if (options.isRepeat) {
      headers.push(repeatHeader, repeatValue);
    }
    if (options.peerCredential !== undefined) {
      headers.push(peerHeader, options.peerCredential.value);
    }
    this.#exchange = new Exchange({
      method: details.method,
      path: details.path,
      headers,
      body: body.body,
      source: body.source,
    }, {
      pool: options.pool,
      memory: options.memory,
      buffersResponse: options.buffersResponses || isResponseBuffered(details),
      headerBytes: maximumPeerHeaderBytes,
      events: this,
    });
    headers.length = length;
  }

  get phase(): CallPhase {
    return this.#exchange.mayHaveBeenSent ? "at-node" : "connecting";
  }

  get mayHaveBeenSent(): boolean {
    return this.#exchange.mayHaveBeenSent;
  }

  cancel(): Disposition {
    const mayHaveRun = this.mayHaveBeenSent;
    this.#exchange.cancel();
    return mayHaveRun ? "unknown" : "not-run";
  }

  onBufferedResponse(head: ResponseHead, body: Buffer): void {
    const answer = this.#getAnswer(head);
    if (answer === undefined || answer.reason !== undefined) {
      this.#options.memory.release(body.length);
      this.#reportFailure(answer);
    } else {
      this.#options.sink.onBufferedResponse(answer, head, body);
    }
  }

  onStreamedResponse(
    head: ResponseHead,
    response: IncomingMessage,
    chunks: readonly Buffer[],
  ): void {
    const answer = this.#getAnswer(head);
    if (answer === undefined || answer.reason !== undefined) {
      response.resume();
      this.#reportFailure(answer);
      return;
    }
    const onEnd = (isComplete: boolean): void => {
      if (!isComplete) {
        this.#exchange.cancel();
      }
    };
    this.#options.sink.onStreamedResponse(answer, {
      head,
      response,
      chunks,
      onEnd,
    });
  }

  onError(error: ExchangeError, message: string): void {
    const { disposition, reason } = failuresByError[error];
    const unusedAttempts = disposition === "not-run"
      ? this.#options.allowance
      : 0;
    this.#options.sink.onFailure(
      createAttemptFailure({ disposition, reason, message }, unusedAttempts),
    );
  }

  #getAnswer(head: ResponseHead): Answer | undefined {
    const decoded = head.answer === undefined
      ? undefined
      : decodeAnswerHeaders(head.answer, head.serviceTime);
    return decoded?.kind === "ok" ? decoded.value : undefined;
  }

  #reportFailure(answer: Answer | undefined): void {
    if (answer?.reason === undefined) {
      this.#options.sink.onFailure(createAttemptFailure({
        disposition: "unknown",
        reason: "answer-incomplete",
        message: "The response has no valid dogwoodwalk-answer header",
      }, 0));
      return;
    }
    const reason = getPeerFailureReason(answer.reason);
    const message = getRefusalMessage(reason);
    this.#options.sink.onFailure({
      disposition: answer.disposition,
      reason,
      message: reason === answer.reason
        ? message
        : `${message}: ${answer.reason}`,
      unusedAttempts: answer.unusedAttempts,
      levels: answer.levels,
      load: answer.load,
    });
  }
}
