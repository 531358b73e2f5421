import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";
import { type CallFailure, encodeErrorBody } from "../request/mod.ts";
import type { Endpoint } from "../settings/mod.ts";

/** Largest request line with headers, in bytes. */
const maximumHeaderBytes = 16 * 1024;
/** Time for the headers of a request. */
const defaultHeadersTimeoutMilliseconds = 10_000;
/** Above the longest deadline, which ends calls with a better reason. */
const requestTimeoutMilliseconds = 620_000;
/** Above the time for which other nodes keep idle connections. */
const keepAliveTimeoutMilliseconds = 10_000;

/** Settings of an {@link HttpListener}. */
export interface HttpListenerOptions {
  readonly endpoint: Endpoint;
  handle(request: IncomingMessage, response: ServerResponse): void;
  /** Time for the headers of a request, in milliseconds. */
  readonly headersMilliseconds?: number | undefined;
}

/** One of the node's listeners. */
export class HttpListener {
  readonly #server: Server;
  readonly #endpoint: Endpoint;
  /** Requests of each connection that were handed over and not answered. */
  readonly #openRequests = new WeakMap<object, number>();
  #isDraining = false;

  /** @param options Address and handler. */
  constructor(options: HttpListenerOptions) {
    this.#endpoint = options.endpoint;
    this.#server = createServer({
      maxHeaderSize: maximumHeaderBytes,
      headersTimeout: options.headersMilliseconds ??
        defaultHeadersTimeoutMilliseconds,
      requestTimeout: requestTimeoutMilliseconds,
      keepAliveTimeout: keepAliveTimeoutMilliseconds,
      connectionsCheckingInterval: 1000,
      noDelay: true,
    }, (request, response) => {
      if (this.#isDraining) {
        response.shouldKeepAlive = false;
      }
      this.#trackRequest(request, response);
      options.handle(request, response);
    });
    this.#server.on("clientError", (error, socket) => {
      if ((this.#openRequests.get(socket) ?? 0) > 0) {
        // A refusal would be taken for the response of that request, or deny
        // one whose body is on its way to a target.
        socket.destroy();
      } else {
        sendClientError(error, socket);
      }
    });
  }

  /** Gets the port, once it listens. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Starts to listen. */
  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(
        this.#endpoint.port,
        this.#endpoint.host,
        1024,
        () => {
          this.#server.off("error", reject);
          resolve();
        },
      );
    });
  }

  /** Changes how long clients may stay idle or take for their headers. */
  setLimits(
    limits: { idleMilliseconds: number; headerMilliseconds: number },
  ): void {
    this.#server.keepAliveTimeout = limits.idleMilliseconds;
    this.#server.headersTimeout = limits.headerMilliseconds;
  }

  /**
   * Ends each connection after its next response. An idle connection stays
   * open: closing it could cut a request that is on its way, and the sender
   * could not tell whether it ran.
   */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Refuses new connections, and resolves when the open ones have ended. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  /** Ends all connections. */
  closeConnections(): void {
    this.#server.closeAllConnections();
  }

  #trackRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const change = (by: number) =>
      this.#openRequests.set(
        socket,
        (this.#openRequests.get(socket) ?? 0) + by,
      );
    change(1);
    response.once("close", () => change(-1));
  }

  /** Refuses new connections and ends the open ones. */
  async closeImmediately(): Promise<void> {
    const closed = this.close();
    this.closeConnections();
    await closed;
  }
}

/** Tells the sender of a malformed or half-sent request what is wrong. */
function sendClientError(
  error: Error & { code?: string },
  socket: Duplex,
): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const { status, failure } = describeClientError(error.code);
  const body = encodeErrorBody(failure, "");
  socket.end(
    `HTTP/1.1 ${status}\r\nContent-Type: application/json\r\n` +
      `Content-Length: ${Buffer.byteLength(body)}\r\n` +
      `dogwoodwalk-disposition: ${failure.disposition}\r\n` +
      `dogwoodwalk-reason: ${failure.reason}\r\n` +
      `Connection: close\r\n\r\n${body}`,
  );
}

function describeClientError(
  code: string | undefined,
): { status: string; failure: CallFailure } {
  const disposition = "not-run";
  if (code === "HPE_HEADER_OVERFLOW") {
    const message = `The headers exceed ${maximumHeaderBytes} bytes`;
    return {
      status: "431 Request Header Fields Too Large",
      failure: { disposition, reason: "too-large", message },
    };
  }
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
    const message = "The request was not sent whole in time";
    return {
      status: "408 Request Timeout",
      failure: { disposition, reason: "malformed-request", message },
    };
  }
  const message = "The request is not valid HTTP/1.1";
  return {
    status: "400 Bad Request",
    failure: { disposition, reason: "malformed-request", message },
  };
}
