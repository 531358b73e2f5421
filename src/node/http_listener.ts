import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, Server as NetServer, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import {
  type Disposition,
  encodeErrorBody,
  type RefusalReason,
} from "../request/mod.ts";
import {
  defaultListenerLimits,
  type Endpoint,
  type ListenerLimits,
} from "../settings/mod.ts";
import { BusyConnections } from "./busy_connections.ts";
import { type HeadViolation, HeadWatch } from "./head_watch.ts";
import { lingerOnClose } from "./linger_on_close.ts";
import type { ListenerRefusal } from "./listener_refusal.ts";
import { ListenerRequest } from "./listener_request.ts";
import { ListenerResponse } from "./listener_response.ts";
import {
  type ListenerState,
  OpenConnection,
  type UnansweredConnection,
} from "./open_connection.ts";
import { resetIncompleteResponse } from "./reset_incomplete_response.ts";
import { listenerFullCode, sendClientError } from "./send_client_error.ts";

/** Maximum size of the request line and headers together. */
export const defaultHeaderBytes = 16 * 1024;
/** Time limit for receiving the headers of a request. */
const defaultHeadersTimeoutMilliseconds = 10_000;
/**
 * Time limit for receiving a request. It exceeds the longest deadline of a
 * call, because a passed deadline is reported with a more precise reason.
 */
const requestTimeoutMilliseconds = 620_000;
/**
 * Time after which the listener closes an idle connection. It exceeds the time
 * for which other nodes keep idle connections, so that they close first.
 */
const keepAliveTimeoutMilliseconds = 10_000;

/** Interval at which incomplete heads are checked. */
const headCheckMilliseconds = 250;
/**
 * Time beyond the limit after which the check of this listener refuses a late
 * head. That of Node.js comes first, which knows when the head began.
 */
const lateHeadMarginMilliseconds = 2500;

/** Time for which a closing listener accepts connections that wait. */
const acceptLimitMilliseconds = 200;

/** Bytes that Node.js reads from a connection at once. */
const maximumReadBytes = 64 * 1024;

const violationErrors: Readonly<
  Record<HeadViolation, { code: string; message: string }>
> = {
  "late": {
    code: "ERR_HTTP_REQUEST_TIMEOUT",
    message: "the head is not complete in time",
  },
  "too-large": {
    code: "HPE_HEADER_OVERFLOW",
    message: "the head with the lines before it is too large",
  },
  "total-size": {
    code: listenerFullCode,
    message: "all incomplete heads together are too large",
  },
};

/** Settings of an {@link HttpListener}. */
export interface HttpListenerOptions {
  readonly endpoint: Endpoint;
  /**
   * Handles a request. A handler that wants the connection to be closed after
   * its response sets `shouldKeepAlive` of the response to false; requests behind
   * it are then not handled.
   */
  handle(request: IncomingMessage, response: ServerResponse): void;
  /**
   * Called once for each connection that ended while requests on it had no
   * complete response, or were not read.
   */
  readonly onUnanswered?:
    | ((unanswered: UnansweredConnection) => void)
    | undefined;
  /** Called for each request that the listener refused itself. */
  readonly onRefused?: ((refusal: ListenerRefusal) => void) | undefined;
  /** Time limit for receiving the headers of a request. */
  readonly headersMilliseconds?: number | undefined;
  /**
   * Gets the disposition of a request that the listener refuses; `not-run` when
   * absent. The request is undefined when its headers could not be read.
   */
  readonly getDisposition?:
    | ((request: IncomingMessage | undefined) => Disposition)
    | undefined;
  /** Maximum size of the headers of a request; 16 KiB by default. */
  readonly headerBytes?: number;
  /** Limits over all connections; none for connections when absent. */
  readonly limits?: ListenerLimits | undefined;
  /** Time limit for receiving a whole request; 620 s by default. */
  readonly requestMilliseconds?: number;
}

/** An HTTP listener of the node. */
export class HttpListener {
  readonly #server: Server<typeof IncomingMessage, typeof ListenerResponse>;
  readonly #endpoint: Endpoint;
  readonly #handle: HttpListenerOptions["handle"];
  readonly #onUnanswered: (unanswered: UnansweredConnection) => void;
  readonly #onRefused: (refusal: ListenerRefusal) => void;
  readonly #getDisposition: (request?: IncomingMessage) => Disposition;
  readonly #headerBytes: number;
  readonly #limits: ListenerLimits;
  readonly #headWatch = new HeadWatch<OpenConnection>();
  #headTimer: NodeJS.Timeout | undefined;
  readonly #connections = new WeakMap<object, OpenConnection>();
  readonly #busyConnections = new BusyConnections();
  readonly #refusedTunnels = new Set<Duplex>();
  /** Connections without a request, which Node.js does not count as idle. */
  readonly #newSockets = new Set<Socket>();
  #acceptedConnections = 0;
  readonly #state: ListenerState = {
    isDraining: false,
    closeReason: undefined,
  };

  /** @param options Address and request handler. */
  constructor(options: HttpListenerOptions) {
    this.#endpoint = options.endpoint;
    this.#handle = options.handle;
    this.#onUnanswered = options.onUnanswered ?? (() => {});
    this.#onRefused = options.onRefused ?? (() => {});
    this.#getDisposition = options.getDisposition ?? (() => "not-run");
    this.#headerBytes = options.headerBytes ?? defaultHeaderBytes;
    this.#limits = options.limits ??
      { ...defaultListenerLimits, connections: Infinity };
    this.#server = createServer<
      typeof IncomingMessage,
      typeof ListenerResponse
    >({
      IncomingMessage: ListenerRequest,
      ServerResponse: ListenerResponse,
      maxHeaderSize: this.#headerBytes,
      // Node.js would close the connection behind its own refusal.
      requireHostHeader: false,
      headersTimeout: options.headersMilliseconds ??
        defaultHeadersTimeoutMilliseconds,
      requestTimeout: options.requestMilliseconds ??
        requestTimeoutMilliseconds,
      keepAliveTimeout: keepAliveTimeoutMilliseconds,
      connectionsCheckingInterval: 1000,
      noDelay: true,
    }, (request, response) => {
      this.#acceptRequest(request, response);
    });
    // Node.js omits headers beyond this number, so a request that reaches it is
    // refused.
    this.#server.maxHeadersCount = this.#limits.headFields + 1;
    this.#server.on("connection", (socket) => {
      this.#acceptedConnections++;
      lingerOnClose(socket);
      this.#watchHeads(socket);
      this.#newSockets.add(socket);
      socket.once("close", () => this.#newSockets.delete(socket));
    });
    // Refused connections stay open for a moment, so that their clients get the
    // response. Beyond twice the limit, new ones are closed at once.
    if (this.#limits.connections < Infinity) {
      this.#server.maxConnections = 2 * this.#limits.connections;
      this.#server.on("drop", (data) => this.#reportDrop(data?.remoteAddress));
    }
    this.#server.on("clientError", (error, socket) => {
      this.#endByClientError(error, socket);
    });
    this.#server.on("checkExpectation", (request, response) => {
      this.#acceptRequest(request, response);
    });
    this.#server.on("connect", (_, socket) => this.#refuseTunnel(socket));
  }

  /** Gets the port of the open listener. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Gets the number of responses that are not sent completely. */
  get openResponseCount(): number {
    return this.#busyConnections.responseCount;
  }

  /** Opens the listener. */
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

  /** Sets the time limits for idle connections and for receiving headers. */
  setLimits(
    limits: { idleMilliseconds: number; headerMilliseconds: number },
  ): void {
    this.#server.keepAliveTimeout = limits.idleMilliseconds;
    this.#server.headersTimeout = limits.headerMilliseconds;
  }

  /**
   * Closes each connection after its next response. Idle connections stay open:
   * closing one could abort a request that is being sent, and the sender could
   * not know whether it ran.
   */
  startDraining(): void {
    this.#state.isDraining = true;
  }

  /**
   * Refuses new connections, delivers the open responses, closes idle
   * connections, and resolves when all connections are closed.
   */
  async close(): Promise<void> {
    this.startDraining();
    this.#state.closeReason ??= "listener-closed";
    await this.#acceptWaitingConnections();
    const closed = this.#stopListening();
    if (this.#state.closeReason === "stop-limit") {
      this.#destroyConnections();
    }
    await Promise.race([this.#busyConnections.whenNone(), closed]);
    this.#closeIdleConnections();
    await closed;
  }

  /**
   * Closes the listener as {@link close} does, within a limit.
   * @param limitMilliseconds Time after which open connections are closed.
   */
  async closeGracefully(limitMilliseconds: number): Promise<void> {
    const timer = setTimeout(() => this.closeConnections(), limitMilliseconds);
    await this.close();
    clearTimeout(timer);
  }

  /** Refuses new connections and closes the open ones. */
  async closeImmediately(): Promise<void> {
    this.#state.closeReason ??= "listener-closed";
    const closed = this.#stopListening();
    this.#destroyConnections();
    await closed;
  }

  /** Closes all connections at the stop limit, also those with open requests. */
  closeConnections(): void {
    this.#state.closeReason = "stop-limit";
    this.#destroyConnections();
  }

  #acceptRequest(request: IncomingMessage, response: ListenerResponse): void {
    this.#newSockets.delete(request.socket);
    const connection = this.#getConnection(request.socket);
    if (connection.isClosing) {
      // Node.js sends no response behind the one that closes the connection. The
      // caller learns from that one that this request was not read.
      request.resume();
      connection.addUnread();
      return;
    }
    if (this.#state.isDraining || endsConnection(request)) {
      response.shouldKeepAlive = false;
    }
    if (!canReadChunks(request)) {
      response.useChunkedEncodingByDefault = false;
      resetIncompleteResponse(response);
    }
    connection.add(response);
    this.#busyConnections.add(connection);
    if (request.rawHeaders.length > 2 * this.#limits.headFields) {
      this.#refuseHead(request, response, {
        status: 431,
        reason: "too-large",
        message: `The request has more than ${this.#limits.headFields} headers`,
      });
    } else if (
      request.headers.host === undefined && request.httpVersion === "1.1"
    ) {
      // RFC 9112, section 3.2.
      this.#refuseHead(request, response, {
        status: 400,
        reason: "malformed-request",
        message: "The request has no Host header",
      });
    } else {
      this.#handle(request, response);
    }
  }

  #endByClientError(error: Error & { code?: string }, socket: Duplex): void {
    const connection = this.#getConnection(socket as Socket);
    if (connection.isClosing && !connection.hasOpenRequests) {
      // What the caller sends behind the last response is discarded.
      return;
    }
    if (connection.hasOpenRequests) {
      // An error response would be read as the response to the open request,
      // and would claim "not-run" although its body may be reaching a target.
      connection.endByError(error);
    } else if (error.code === "ERR_HTTP_REQUEST_TIMEOUT") {
      this.#refuseLateRequest(error, socket, connection);
    } else {
      this.#refuseUnread(error, socket, connection);
    }
  }

  /**
   * Refuses a request that is not complete in time. After a pause of the process,
   * timers run before the bytes that arrived meanwhile are read, so these are
   * read first.
   */
  #refuseLateRequest(
    error: Error,
    socket: Duplex,
    connection: OpenConnection,
  ): void {
    const { requestCount } = connection;
    setImmediate(() => {
      if (connection.requestCount === requestCount && !connection.isClosing) {
        this.#refuseUnread(error, socket, connection);
      }
    });
  }

  /** Answers bytes that are no request, with the last response. */
  #refuseUnread(
    error: Error & { code?: string },
    socket: Duplex,
    connection: OpenConnection,
  ): void {
    connection.endByRefusal(error);
    const sent = sendClientError(error, socket, {
      disposition: this.#getDisposition(),
      headerBytes: this.#headerBytes,
    });
    if (sent !== undefined) {
      const { code, message } = error;
      this.#reportRefusal(socket as Socket, { ...sent, code, message });
    }
  }

  /**
   * Refuses a request with method CONNECT. Node.js has removed its own listeners
   * from the socket, and does not list it as a connection any more.
   */
  #refuseTunnel(socket: Duplex): void {
    const connection = this.#getConnection(socket as Socket);
    this.#refusedTunnels.add(socket);
    socket.once("close", () => this.#refusedTunnels.delete(socket));
    socket.on("error", () => socket.destroy());
    socket.once("end", () => {
      if (connection.hasOpenRequests) {
        socket.destroy();
      }
    });
    socket.on("drain", () => connection.resumeResponse());
    socket.resume();
    this.#endByClientError(new Error("CONNECT is not supported"), socket);
  }

  /** Counts a new connection, and refuses the worst one if there are too many. */
  #watchHeads(socket: Socket): void {
    const now = performance.now();
    const connection = this.#getConnection(socket);
    this.#headWatch.add(connection, now);
    socket.once("close", () => this.#unwatchHeads(connection));
    this.#headTimer ??= setInterval(
      () => this.#checkHeads(),
      headCheckMilliseconds,
    ).unref();
    if (this.#headWatch.size > this.#limits.connections) {
      const worst = this.#headWatch.findWorst(now) ?? connection;
      this.#refuseConnection(worst, listenerFullCode, "too many connections");
    }
  }

  #unwatchHeads(connection: OpenConnection): void {
    this.#headWatch.remove(connection);
    if (this.#headWatch.size === 0) {
      clearInterval(this.#headTimer);
      this.#headTimer = undefined;
    }
  }

  #checkHeads(): void {
    const violations = this.#headWatch.check(performance.now(), {
      headBytes: this.#headerBytes + maximumReadBytes,
      headMilliseconds: this.#server.headersTimeout +
        lateHeadMarginMilliseconds,
      totalBytes: this.#limits.headMemoryBytes,
    });
    for (const { connection, violation } of violations) {
      const { code, message } = violationErrors[violation];
      this.#refuseConnection(connection, code, message);
    }
  }

  #refuseConnection(
    connection: OpenConnection,
    code: string,
    message: string,
  ): void {
    this.#unwatchHeads(connection);
    const error = Object.assign(new Error(message), { code });
    this.#endByClientError(error, connection.socket);
  }

  /** Refuses a request because of its head. */
  #refuseHead(
    request: IncomingMessage,
    response: ServerResponse,
    { status, ...reasons }: {
      status: number;
      reason: RefusalReason;
      message: string;
    },
  ): void {
    request.resume();
    response.shouldKeepAlive = false;
    const failure = {
      disposition: this.#getDisposition(request),
      ...reasons,
    };
    response.writeHead(status, {
      "content-type": "application/json",
      "dogwoodwalk-disposition": failure.disposition,
      "dogwoodwalk-reason": failure.reason,
    });
    response.end(encodeErrorBody(failure, ""));
    const { reason, message } = failure;
    this.#reportRefusal(request.socket, { status, reason, message, request });
  }

  #reportDrop(senderAddress: string | undefined): void {
    const message = "connection closed without a response";
    const code = listenerFullCode;
    const status = 503;
    const reason = "listener-full";
    const receivedBytes = 0;
    const sender = { senderAddress, receivedBytes };
    this.#onRefused({ status, reason, message, code, ...sender });
  }

  #reportRefusal(
    socket: Socket,
    refusal: Omit<ListenerRefusal, "senderAddress" | "receivedBytes">,
  ): void {
    this.#onRefused({
      ...refusal,
      senderAddress: socket.remoteAddress,
      receivedBytes: socket.bytesRead,
    });
  }

  #closeIdleConnections(): void {
    this.#server.closeIdleConnections();
    for (const socket of this.#newSockets) {
      if (socket.bytesRead === 0) {
        socket.destroy();
      }
    }
  }

  #destroyConnections(): void {
    this.#server.closeAllConnections();
    this.#refusedTunnels.forEach((each) => each.destroy());
  }

  #getConnection(socket: Socket): OpenConnection {
    let connection = this.#connections.get(socket);
    if (connection === undefined) {
      connection = new OpenConnection({
        socket,
        listener: this.#state,
        onUnanswered: this.#onUnanswered,
        onIdle: (idle) => this.#busyConnections.remove(idle),
      });
      this.#connections.set(socket, connection);
    }
    return connection;
  }

  /**
   * Accepts the connections that wait, which would be reset otherwise. Node.js
   * accepts one in each turn of its event loop.
   */
  async #acceptWaitingConnections(): Promise<void> {
    const end = performance.now() + acceptLimitMilliseconds;
    let accepted: number;
    do {
      accepted = this.#acceptedConnections;
      // The first callback may run before the next poll for connections.
      await new Promise((resolve) => setImmediate(resolve));
      await new Promise((resolve) => setImmediate(resolve));
    } while (
      this.#acceptedConnections > accepted && performance.now() < end
    );
  }

  /** Refuses new connections, and resolves when all open ones are closed. */
  #stopListening(): Promise<void> {
    return new Promise((resolve) => {
      // The method of the HTTP server also closes connections whose responses
      // were written but not sent.
      NetServer.prototype.close.call(this.#server, () => resolve());
    });
  }
}

/**
 * Checks whether nothing behind a request can be read: a caller of HTTP/1.0 may
 * need the end of the connection to know the end of the response, and Node.js
 * discards what follows an upgrade that it ignores.
 */
function endsConnection(request: IncomingMessage): boolean {
  return !canReadChunks(request) || request.headers.upgrade !== undefined;
}

/** Checks whether a caller can read chunks (RFC 9112, section 6.1). */
function canReadChunks({ httpVersion }: IncomingMessage): boolean {
  return httpVersion === "1.1";
}
