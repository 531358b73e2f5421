import type { Socket } from "node:net";
import type { ListenerResponse } from "./listener_response.ts";

/** Why a caller ended a connection. */
export type CallerEndReason =
  /** The caller closed it, or the direction in which it sends. */
  | "closed"
  /** The caller or the network reset it. */
  | "reset";

/** Why a node ended a response before it was complete. */
export type ResponseAbortReason =
  /** The response could not be completed. */
  | "response-aborted"
  /** The deadline of its call passed before the rest arrived. */
  | "deadline"
  /** The caller took no bytes of it. */
  | "no-progress"
  /** The request during which its call was made has ended. */
  | "parent-ended"
  | "stop-limit";

/** Why a node ended a connection. */
export type NodeEndReason =
  | ResponseAbortReason
  /** An earlier response was the last one because the node stops. */
  | "draining"
  /** An earlier response had `Connection: close` for another reason. */
  | "response-closes-connection"
  /** The bytes after an open request are not HTTP. */
  | "invalid-request"
  /** A further request was not received in time. */
  | "request-timeout"
  /** The listener was closed before a response was sent completely. */
  | "listener-closed"
  | "not-known";

/** Who ended a connection, and why. */
export type ConnectionEnd =
  | { readonly closedBy: "caller"; readonly reason: CallerEndReason }
  | { readonly closedBy: "node"; readonly reason: NodeEndReason };

/** State of a listener that decides why its connections end. */
export interface ListenerState {
  isDraining: boolean;
  /** Why the listener closes its connections; absent before. */
  closeReason: "listener-closed" | "stop-limit" | undefined;
}

/** A connection that ended while requests on it had no complete response. */
export interface UnansweredConnection {
  readonly end: ConnectionEnd;
  /** Incomplete responses, in the order of their requests. */
  readonly responses: readonly ListenerResponse[];
  /** Requests that were not read, because an earlier response was the last. */
  readonly unread: number;
}

/** Settings of an {@link OpenConnection}. */
export interface OpenConnectionOptions {
  readonly socket: Socket;
  readonly listener: ListenerState;
  onUnanswered(unanswered: UnansweredConnection): void;
  /**
   * Called when no request is open any more, and a connection that ends with its
   * last response is closed.
   */
  onIdle(connection: OpenConnection): void;
}

/**
 * A connection of a listener with its incomplete responses. It records the first
 * cause of its end, because later events are effects of that cause.
 */
export class OpenConnection {
  readonly #options: OpenConnectionOptions;
  readonly #responses: ListenerResponse[] = [];
  #latest: ListenerResponse | undefined;
  #requestCount = 0;
  #unread = 0;
  #end: ConnectionEnd | undefined;
  /** End after the responses to the requests that were received completely. */
  #endAfterResponses: ConnectionEnd | undefined;

  /** @param options The socket and its listener. */
  constructor(options: OpenConnectionOptions) {
    this.#options = options;
    options.socket.once(
      "end",
      () => this.setEnd({ closedBy: "caller", reason: "closed" }),
    );
    // Node.js stops listening for errors after the first one that it reports.
    options.socket.on("error", (error) => this.setEndByError(error));
    // Before Node.js closes the response, because that ends its call.
    options.socket.prependOnceListener("close", () => this.#onClose());
  }

  /** Checks whether a request on the connection has no complete response. */
  get hasOpenRequests(): boolean {
    return this.#responses.length > 0;
  }

  /** Gets the number of requests without a complete response. */
  get openRequestCount(): number {
    return this.#responses.length;
  }

  /** Gets the number of requests that were passed on so far. */
  get requestCount(): number {
    return this.#requestCount;
  }

  /** Gets the number of bytes that were received so far. */
  get receivedBytes(): number {
    return this.#options.socket.bytesRead;
  }

  /** Checks whether the latest request is not complete. */
  get isReceivingBody(): boolean {
    return this.#latest?.req.complete === false;
  }

  /** Checks whether the connection is closed after the responses added so far. */
  get isClosing(): boolean {
    return this.#latest?.shouldKeepAlive === false ||
      this.#endAfterResponses !== undefined;
  }

  /** Checks whether all responses before this one are complete. */
  isFirst(response: ListenerResponse): boolean {
    return this.#responses[0] === response;
  }

  /** Gets who ended the connection; valid once a response on it was closed. */
  get end(): ConnectionEnd {
    const reason = this.#options.listener.closeReason ?? "not-known";
    return this.#end ?? { closedBy: "node", reason };
  }

  /** Adds the response to a further request. */
  add(response: ListenerResponse): void {
    response.openConnection = this;
    this.#responses.push(response);
    this.#latest = response;
    this.#requestCount++;
    response.once("finish", this.#onResponseFinished);
  }

  /** Counts a request that is not read. */
  addUnread(): void {
    this.#unread++;
  }

  /** Records the cause of the end, unless there was an earlier one. */
  setEnd(end: ConnectionEnd): void {
    this.#end ??= end;
  }

  /** Passes no further request on, because the connection will end. */
  endAfterResponses(end: ConnectionEnd): void {
    this.#endAfterResponses ??= end;
  }

  /**
   * Ends the connection with a response of the listener to bytes that are no
   * complete request. Whatever is received from now on is not passed on, because
   * that response says that it was not read.
   */
  endByRefusal(error: Error & { code?: string }): void {
    const end = getEndByError(error);
    this.setEnd(end);
    this.endAfterResponses(end);
  }

  /** Records the end by an error of the socket or of the HTTP parser. */
  setEndByError(error: Error & { code?: string }): void {
    this.setEnd(getEndByError(error));
  }

  /**
   * Ends the connection after an error of the socket or of the HTTP parser. If
   * the bytes of the caller are invalid or late, the responses to the requests
   * that were received before them are sent first.
   */
  endByError(error: Error & { code?: string }): void {
    const { socket } = this.#options;
    const end = getEndByError(error);
    if (
      end.closedBy === "caller" || socket.readableEnded ||
      this.#responses[0]?.req.complete !== true
    ) {
      this.setEnd(end);
      socket.destroy();
    } else {
      this.endAfterResponses(end);
    }
  }

  /** Gets the socket. */
  get socket(): Socket {
    return this.#options.socket;
  }

  /** Continues the response that is being sent once the socket takes bytes. */
  resumeResponse(): void {
    this.#responses[0]?.emit("drain");
  }

  readonly #onResponseFinished = (): void => {
    const { socket, listener } = this.#options;
    if (socket.destroyed) {
      // Node.js also reports a response as finished whose bytes are discarded.
      return;
    }
    // Responses are sent in the order of their requests.
    const response = this.#responses.shift();
    if (
      this.#endAfterResponses !== undefined &&
      this.#responses[0]?.req.complete !== true
    ) {
      this.setEnd(this.#endAfterResponses);
      socket.destroySoon();
    } else if (this.isClosing) {
      // The socket closes when all bytes of the caller were read.
      response?.req.resume();
    }
    if (!this.hasOpenRequests && !this.isClosing) {
      this.#options.onIdle(this);
    }
    if (socket.writableEnded) {
      const reason = listener.isDraining
        ? "draining"
        : "response-closes-connection";
      this.setEnd({ closedBy: "node", reason });
    }
  };

  #onClose(): void {
    const responses = this.#responses;
    if (responses.length > 0 || this.#unread > 0) {
      this.#options.onUnanswered({
        end: this.end,
        responses,
        unread: this.#unread,
      });
    }
    this.#options.onIdle(this);
    responses.forEach(closeIfWaiting);
  }
}

/**
 * Closes a response that waits behind another one. Node.js does that only for
 * the response that is being sent.
 */
function closeIfWaiting(response: ListenerResponse): void {
  if (response.socket === null) {
    response.destroy();
    response.emit("close");
  }
}

function getEndByError(error: Error & { code?: string }): ConnectionEnd {
  if ("syscall" in error) {
    return { closedBy: "caller", reason: "reset" };
  }
  switch (error.code) {
    case "HPE_INVALID_EOF_STATE":
      return { closedBy: "caller", reason: "closed" };
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return { closedBy: "node", reason: "request-timeout" };
    default:
      return { closedBy: "node", reason: "invalid-request" };
  }
}
