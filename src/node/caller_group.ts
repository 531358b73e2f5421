import type { ServerResponse } from "node:http";
import type { CallFailure } from "../request/mod.ts";
import type { StreamedResponse } from "./attempt.ts";
import type { CallProtocol } from "./call_protocol.ts";
import { getConnectionEnd } from "./listener_response.ts";
import type { ConnectionEnd } from "./open_connection.ts";
import { writeBuffered } from "./caller_response.ts";
import type { ResponseHead } from "./exchange.ts";
import { getRefusalMessage } from "./refusal_messages.ts";
import {
  StreamedDelivery,
  type StreamedDeliveryOptions,
} from "./streamed_delivery.ts";

/** A client that waits for the outcome of a call. */
export interface Caller {
  readonly response: ServerResponse;
  /** Whether the request arrived at the outside listener. */
  readonly isOutside: boolean;
}

/** The callers of one call: the first one, and those that resent it. */
export class CallerGroup {
  #callers: Caller[];
  readonly #protocol: CallProtocol;
  readonly #onAllDisconnected: (end: ConnectionEnd | undefined) => void;

  /**
   * @param first The caller that made the call.
   * @param options The protocol that writes failures, and what is called when
   * the connection of the last caller has ended.
   */
  constructor(
    first: Caller,
    options: {
      protocol: CallProtocol;
      onAllDisconnected: (end: ConnectionEnd | undefined) => void;
    },
  ) {
    this.#callers = [];
    this.#protocol = options.protocol;
    this.#onAllDisconnected = options.onAllDisconnected;
    this.add(first);
  }

  /** Adds a caller. */
  add(caller: Caller): void {
    this.#callers.push(caller);
    caller.response.on("close", () => this.#onClose(caller));
  }

  /** Removes the first caller so that it can be added to another call. */
  removeFirst(): Caller {
    return this.#callers.shift() as Caller;
  }

  /**
   * Writes a buffered response to all callers; a failure to those to whom it
   * cannot be written.
   * @returns The failure, if there is one.
   */
  writeBuffered(
    head: ResponseHead,
    body: Buffer,
    requestId: string,
  ): CallFailure | undefined {
    let failure: CallFailure | undefined;
    for (const { response } of this.#callers) {
      failure = writeBuffered(response, head, { body });
      if (failure !== undefined) {
        this.#protocol.writeFailure(response, failure, requestId);
      }
    }
    return failure;
  }

  /**
   * Streams a response to the first caller. The body can be read only once, so
   * the others get the failure `claim-ran`.
   * @returns The delivery; `undefined` if no caller is left.
   */
  writeStreamed(
    streamed: StreamedResponse,
    options: Omit<StreamedDeliveryOptions, "writeFailure">,
  ): StreamedDelivery | undefined {
    const [first, ...others] = this.#callers;
    for (const { response } of others) {
      this.#protocol.writeFailure(response, {
        disposition: "ran",
        reason: "claim-ran",
        message: getRefusalMessage("claim-ran"),
      }, "");
    }
    if (first === undefined) {
      streamed.onEnd(false, 0);
      options.onEnd("closed", 0);
      return undefined;
    }
    return new StreamedDelivery(first.response, streamed, {
      ...options,
      writeFailure: (failure) =>
        this.#protocol.writeFailure(first.response, failure, ""),
    });
  }

  /** Writes a refusal or failure to all callers. */
  writeFailure(failure: CallFailure, requestId: string): void {
    for (const { response } of this.#callers) {
      this.#protocol.writeFailure(response, failure, requestId);
    }
  }

  #onClose(caller: Caller): void {
    const index = this.#callers.indexOf(caller);
    if (index < 0 || caller.response.writableFinished) {
      return;
    }
    this.#callers.splice(index, 1);
    if (this.#callers.length === 0) {
      this.#onAllDisconnected(getConnectionEnd(caller.response));
    }
  }
}
