import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import type { StreamedBodyHashes } from "../request/mod.ts";
import { endWithBody } from "./end_with_body.ts";
import { BodyCollector, type BodyCollectorEvents } from "./body_collector.ts";
import {
  type BodyMemoryBudget,
  maximumBufferedBodyBytes,
} from "./body_memory_budget.ts";
import { pipeBody } from "./pipe_body.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import { copyHeaders, type ForwardedHeaders } from "./forwarded_headers.ts";
import { verifyConnectionEnd } from "./verify_connection_end.ts";

/** Largest body that is streamed. */
export const maximumStreamedBodyBytes = 1024 * 1024 * 1024;

/**
 * Maximum size of the headers of a message between nodes. It leaves room for
 * what a node adds to headers of the size that it accepts from others, mainly
 * the request identity, which takes 8/3 of its length when it is encoded.
 */
export const maximumPeerHeaderBytes = 256 * 1024;

/** Maximum number of interim responses (status 1xx) before the final one. */
const maximumInterimResponses = 16;

/** A request to the local target or to another node. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, including the framing headers. */
  readonly headers: string[];
  /** The whole body; `undefined` when it is streamed from `source`. */
  readonly body: Buffer | undefined;
  readonly source: BodySource | undefined;
}

/** Source of a request body that is streamed. */
export interface BodySource {
  readonly message: IncomingMessage;
  /** Chunks that were already read from the message. */
  readonly chunks: readonly Buffer[];
  /** Maximum size of the body. */
  readonly limit: number;
  /** Computes the hashes of the body while it is streamed; absent for none. */
  readonly hashes?: StreamedBodyHashes;
}

/** Status and headers of a response. */
export interface ResponseHead extends ForwardedHeaders {
  readonly status: number;
  readonly statusMessage: string;
  /** Whether no earlier response was read on the connection. */
  readonly isFirstOnConnection: boolean;
}

/** Why an exchange ended without a complete response. */
export type ExchangeError =
  /** No connection was made, so no byte of the request was sent. */
  | "not-sent"
  /** Node.js refuses to write the request, so no byte of it was sent. */
  | "not-written"
  /** The connection closed before a response began. */
  | "reset"
  /** The response is invalid or was aborted. */
  | "incomplete"
  /** The body of the caller's request was aborted or is too large. */
  | "body-broken";

/** Receives the outcome of an exchange; none after a cancellation. */
export interface ExchangeEvents {
  /** The whole response was read. The receiver releases the body's bytes. */
  onBufferedResponse(head: ResponseHead, body: Buffer): void;
  /** The response began and is passed on while it is read. */
  onStreamedResponse(
    head: ResponseHead,
    response: IncomingMessage,
    chunks: readonly Buffer[],
  ): void;
  onError(error: ExchangeError, message: string): void;
}

/** Settings of an {@link Exchange}. */
export interface ExchangeOptions {
  readonly pool: ConnectionPool;
  readonly memory: BodyMemoryBudget;
  /** Whether a small response is buffered until it is complete. */
  readonly buffersResponse: boolean;
  /** Maximum size of the headers of the response; 16 KiB by default. */
  readonly headerBytes?: number;
  readonly events: ExchangeEvents;
}

/** Sends one request over a pooled connection and receives its response. */
export class Exchange implements BodyCollectorEvents {
  readonly #options: ExchangeOptions;
  readonly #events: ExchangeEvents;
  readonly #method: string;
  /** The request; `undefined` when Node.js refuses to write it. */
  readonly #request: ClientRequest | undefined;
  #response: IncomingMessage | undefined;
  #head: ResponseHead | undefined;
  #collector: BodyCollector | undefined;
  #interimResponses = 0;
  #isDone = false;
  #hasBodyFailed = false;
  /** Whether the body of the response ends with the connection. */
  #endsWithConnection = false;

  /**
   * Sends the request.
   * @param outgoing The request.
   * @param options The connections and the receiver of the outcome.
   */
  constructor(outgoing: ExchangeRequest, options: ExchangeOptions) {
    this.#options = options;
    this.#events = options.events;
    this.#method = outgoing.method;
    try {
      this.#request = createRequest(outgoing, options);
    } catch (error) {
      // The owner gets its event once it has stored the exchange.
      process.nextTick(() =>
        this.#fail("not-written", (error as Error).message)
      );
      return;
    }
    this.#request.on("information", this.#onInterimResponse);
    this.#request.on("response", this.#onResponse);
    this.#request.on("upgrade", this.#onUpgrade);
    this.#request.on("error", this.#onError);
    if (outgoing.source !== undefined) {
      this.#streamBody(this.#request, outgoing.source);
    } else {
      endWithBody(this.#request, outgoing.body ?? noBytes);
    }
  }

  /** Reports whether a byte of the request may have been sent. */
  get mayHaveBeenSent(): boolean {
    const socket = this.#request?.socket;
    return socket !== null && socket !== undefined && !socket.connecting;
  }

  /** Ends the exchange without an event and destroys its connection. */
  cancel(): void {
    if (!this.#isDone) {
      this.#isDone = true;
      this.#collector?.stop();
    }
    this.#request?.destroy();
  }

  /** Prevents reuse of the connection after a complete response. */
  discardConnection(): void {
    this.#request?.socket?.destroy();
  }

  onBody(body: Buffer): void {
    this.#isDone = true;
    if (this.#request?.writableEnded === false) {
      // The response ended before the request was sent completely, so the
      // connection cannot be reused.
      this.#request.destroy();
    }
    this.#events.onBufferedResponse(this.#head as ResponseHead, body);
  }

  onOverflow(chunks: readonly Buffer[]): void {
    this.#isDone = true;
    this.#events.onStreamedResponse(
      this.#head as ResponseHead,
      this.#response as IncomingMessage,
      chunks,
    );
  }

  onAborted(message: string): void {
    this.#fail(
      "incomplete",
      this.#endsWithConnection
        ? "the response has no length, and its connection was reset or ended before the request was sent"
        : message,
    );
  }

  readonly #onResponse = (response: IncomingMessage): void => {
    if (this.#isDone) {
      return;
    }
    const head = copyHeaders(response.rawHeaders) as {
      -readonly [Key in keyof ResponseHead]: ResponseHead[Key];
    };
    head.status = response.statusCode ?? 0;
    head.statusMessage = getReasonPhrase(response);
    head.isFirstOnConnection = this.#request?.reusedSocket !== true;
    this.#response = response;
    this.#head = head;
    if (head.keepAliveSeconds >= 0) {
      this.#options.pool.applyKeepAlive(head.keepAliveSeconds);
    }
    if (head.status < 200 || head.status > 999) {
      this.#fail("incomplete", `the response has status ${head.status}`);
      return;
    }
    const hasBody = this.#hasBody(head);
    if (hasBody && head.hasUnknownCoding) {
      this.#fail("incomplete", "the transfer coding is not chunked");
      return;
    }
    if (hasBody && head.contentLength < 0 && !head.isChunked) {
      verifyConnectionEnd(
        response,
        () => this.#request?.writableFinished === true,
      );
      this.#endsWithConnection = true;
      // The next hop gets the body with a length or in chunks.
      head.isChunked = true;
    }
    if (
      this.#options.buffersResponse &&
      head.contentLength <= maximumBufferedBodyBytes
    ) {
      this.#collector = new BodyCollector(response, this.#options.memory, this);
    } else {
      this.#isDone = true;
      response.on("error", ignoreError);
      this.#events.onStreamedResponse(head, response, []);
    }
  };

  readonly #onInterimResponse = (): void => {
    if (++this.#interimResponses > maximumInterimResponses) {
      this.#fail(
        "incomplete",
        `more than ${maximumInterimResponses} interim responses`,
      );
    }
  };

  /** Handles status 101, after which Node.js reports no error. */
  readonly #onUpgrade = (_: IncomingMessage, socket: Socket): void => {
    socket.destroy();
    this.#fail("incomplete", "the response switches protocols");
  };

  readonly #onError = (error: Error & { syscall?: string }): void => {
    // Invalid bytes behind a complete response belong to no request. Node.js
    // destroys the connection, and the end of the response is still reported.
    if (this.#isDone || this.#response?.complete) {
      return;
    }
    if (this.#hasBodyFailed) {
      this.#fail(
        "body-broken",
        "the body of the caller's request is incomplete",
      );
    } else if (error.syscall === "connect") {
      this.#fail("not-sent", error.message);
    } else if (this.#response !== undefined) {
      this.#fail("incomplete", error.message);
    } else {
      this.#fail("reset", error.message);
    }
  };

  #streamBody(request: ClientRequest, source: BodySource): void {
    pipeBody(source.message, request, {
      chunks: source.chunks,
      limit: source.limit,
      onChunk: (chunk) => source.hashes?.update(chunk),
      onEnd: (bodyError) => {
        if (bodyError === undefined) {
          source.hashes?.end();
        }
        if (bodyError === undefined || this.#isDone) {
          return;
        }
        if (bodyError !== "destination-closed") {
          this.#hasBodyFailed = true;
          request.destroy();
        } else if (this.#response === undefined) {
          this.#fail("reset", "the connection closed during the request");
        }
      },
    });
  }

  /** Reports whether a response can have a body. */
  #hasBody({ status }: ResponseHead): boolean {
    return status !== 204 && status !== 304 && this.#method !== "HEAD";
  }

  #fail(error: ExchangeError, message: string): void {
    if (!this.#isDone) {
      this.#isDone = true;
      this.#collector?.stop();
      this.#request?.destroy();
      this.#events.onError(error, message);
    }
  }
}

/**
 * Creates a request, without its body.
 * @throws When Node.js refuses to write its path or one of its headers.
 */
function createRequest(
  { method, path, headers }: ExchangeRequest,
  { pool, headerBytes }: ExchangeOptions,
): ClientRequest {
  const created = request({
    // The pool has the members of `Agent` that ClientRequest uses.
    agent: pool as never,
    host: pool.host,
    port: pool.port,
    method,
    path,
    headers: headers as never,
    maxHeaderSize: headerBytes,
  });
  // No limit: Node.js omits headers beyond it, and their size is limited.
  created.maxHeadersCount = 0;
  return created;
}

const noBytes = Buffer.alloc(0);

/** Characters that Node.js reads in a reason phrase and refuses to write. */
const invalidReasonCharacter = /[^\t\x20-\x7e\x80-\xff]/;

/** Gets the reason phrase of a response; empty if it must not be passed on. */
function getReasonPhrase({ statusMessage = "" }: IncomingMessage): string {
  return invalidReasonCharacter.test(statusMessage) ? "" : statusMessage;
}

function ignoreError(): void {}
