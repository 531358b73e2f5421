import { type IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallPhase, OpenCall } from "./call_phase.ts";
import type {
  ConnectionEnd,
  OpenConnection,
  ResponseAbortReason,
} from "./open_connection.ts";

/** A response of an {@link HttpListener}, with what is known of its request. */
export class ListenerResponse extends ServerResponse<IncomingMessage> {
  /** The call that the response is for; `undefined` if the node answers. */
  call: OpenCall | undefined;
  /** Connection of the response; set before the request is handled. */
  openConnection: OpenConnection | undefined;
  #abortReason: ResponseAbortReason = "response-aborted";

  /** Gets what the request waits for. */
  get phase(): CallPhase {
    if (this.headersSent) {
      return this.openConnection?.isFirst(this) === false
        ? "answered"
        : "delivering";
    }
    return this.call?.phase ?? "handling";
  }

  /** Destroys the response, and records why. */
  abort(reason: ResponseAbortReason): void {
    this.#abortReason = reason;
    this.destroy();
  }

  /**
   * Destroys the connection, so that the response does not seem complete. A
   * response that waits behind others ends the connection after these.
   */
  override destroy(error?: Error): this {
    const { openConnection } = this;
    if (openConnection === undefined || this.socket !== null) {
      openConnection?.setEnd(this.#abortedEnd);
      return super.destroy(error);
    }
    this.destroyed = true;
    openConnection.endAfterResponses(this.#abortedEnd);
    return this;
  }

  /** Sends what was written, once the responses in front are sent. */
  override assignSocket(socket: Socket): void {
    if (this.destroyed) {
      this.openConnection?.setEnd(this.#abortedEnd);
      socket.destroySoon();
    } else {
      super.assignSocket(socket);
    }
  }

  get #abortedEnd(): ConnectionEnd {
    return { closedBy: "node", reason: this.#abortReason };
  }
}

/**
 * Destroys a response that cannot be completed, and its connection.
 * @param response The response.
 * @param reason Why it ends.
 */
export function abortResponse(
  response: ServerResponse,
  reason: ResponseAbortReason,
): void {
  if (response instanceof ListenerResponse) {
    response.abort(reason);
  } else {
    response.destroy();
  }
}

/** Checks whether earlier responses on its connection are incomplete. */
export function isBehindOthers(response: ServerResponse): boolean {
  return response instanceof ListenerResponse &&
    response.openConnection?.isFirst(response) === false;
}

/**
 * Gets who ended the connection of a response that was closed.
 * @param response The response.
 * @returns The end; `undefined` when no listener created the response.
 */
export function getConnectionEnd(
  response: ServerResponse,
): ConnectionEnd | undefined {
  return response instanceof ListenerResponse
    ? response.openConnection?.end
    : undefined;
}

/**
 * Sets the call that a response is for.
 * @param response The response; ignored when no listener created it.
 * @param call The call.
 */
export function setResponseCall(
  response: ServerResponse,
  call: OpenCall,
): void {
  if (response instanceof ListenerResponse) {
    response.call = call;
  }
}
