import type { ServerResponse } from "node:http";
import type { CallFailure } from "../request/mod.ts";
import type { StreamedResponse } from "./attempt.ts";
import { writeReceivedHead } from "./caller_response.ts";
import { DeliveryLimit, type DeliveryLimitOptions } from "./delivery_limit.ts";
import { maximumStreamedBodyBytes } from "./exchange.ts";
import {
  abortResponse,
  getConnectionEnd,
  isBehindOthers,
} from "./listener_response.ts";
import type {
  CallerEndReason,
  NodeEndReason,
  ResponseAbortReason,
} from "./open_connection.ts";
import { type BodyTransfer, pipeBody } from "./pipe_body.ts";

/** Why a response was not delivered completely. */
export type DeliveryFailure =
  | CallerEndReason
  | NodeEndReason
  /** Node.js refuses to write its head, and a failure was written instead. */
  | "unwritable";

/** Settings of a {@link StreamedDelivery}. */
export interface StreamedDeliveryOptions {
  /** Deadline of the call and limits beyond it. */
  readonly limit: Pick<
    DeliveryLimitOptions,
    "clock" | "timers" | "deadlineMilliseconds" | "times"
  >;
  /** The headers of the answer for a node. */
  readonly answer?: readonly string[] | undefined;
  /** Writes a failure in place of a head that Node.js refuses to write. */
  writeFailure(failure: CallFailure): void;
  /**
   * Called once, at the end.
   * @param failure Why the response is incomplete; `undefined` if it is complete.
   * @param bytes Number of bytes of the body that were received.
   */
  onEnd(failure: DeliveryFailure | undefined, bytes: number): void;
}

/**
 * Delivers a response while it is received. When it is aborted, the connection
 * of the caller is destroyed, so that the response does not seem complete.
 */
export class StreamedDelivery {
  readonly #response: ServerResponse;
  readonly #transfer: BodyTransfer;
  #abortReason: ResponseAbortReason = "response-aborted";

  /**
   * @param response Response to write to.
   * @param streamed The streamed response.
   * @param options Limits, and what is called at the end.
   */
  constructor(
    response: ServerResponse,
    streamed: StreamedResponse,
    options: StreamedDeliveryOptions,
  ) {
    this.#response = response;
    const { head } = streamed;
    if (
      head.contentLength < 0 && head.isChunked &&
      response.useChunkedEncodingByDefault
    ) {
      head.headers.push("Transfer-Encoding", "chunked");
    }
    if (options.answer !== undefined) {
      head.headers.push(...options.answer);
    }
    const unwritable = writeReceivedHead(response, head);
    if (unwritable !== undefined) {
      this.#transfer = endedTransfer;
      streamed.onEnd(false, 0);
      options.writeFailure(unwritable);
      options.onEnd("unwritable", 0);
      return;
    }
    const limit = new DeliveryLimit({
      ...options.limit,
      isBehindOthers: () => isBehindOthers(response),
      onExceeded: (reason) => this.end(reason),
    });
    this.#transfer = pipeBody(streamed.response, response, {
      chunks: streamed.chunks,
      limit: maximumStreamedBodyBytes,
      onBlocked: () => limit.onBlocked(),
      onDrain: () => limit.onDrain(),
      onEnd: (error, bytes) => {
        limit.stop();
        const failure = error === undefined ? undefined : this.#abort();
        streamed.onEnd(failure === undefined, bytes);
        options.onEnd(failure, bytes);
      },
    });
  }

  /** Ends the response before it is complete. */
  end(reason: ResponseAbortReason): void {
    this.#abortReason = reason;
    this.#transfer.abort();
  }

  /** Destroys the connection, unless it was closed, and gets why it ended. */
  #abort(): DeliveryFailure {
    const response = this.#response;
    if (response.destroyed) {
      return getConnectionEnd(response)?.reason ?? this.#abortReason;
    }
    abortResponse(response, this.#abortReason);
    return this.#abortReason;
  }
}

const endedTransfer: BodyTransfer = { abort: () => {} };
