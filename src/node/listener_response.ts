import { type IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallPhase, OpenCall } from "./call_phase.ts";
import type { ConnectionEnd, OpenConnection } from "./open_connection.ts";

const abortedEnd = { closedBy: "node", reason: "response-aborted" } as const;

/** A response of an {@link HttpListener}, with what is known of its request. */
export class ListenerResponse extends ServerResponse<IncomingMessage> {
  /** The call that the response is for; `undefined` if the node answers. */
  call: OpenCall | undefined;
  /** Connection of the response; set before the request is handled. */
  openConnection: OpenConnection | undefined;

  /** Gets what the request waits for. */
  get phase(): CallPhase {
    if (this.headersSent) {
      return this.openConnection?.isFirst(this) === false
        ? "answered"
        : "delivering";
    }
    return this.call?.phase ?? "handling";
  }

  /**
   * Destroys the connection, so that the response does not seem complete. A
   * response that waits behind others ends the connection after these.
   */
  override destroy(error?: Error): this {
    const { openConnection } = this;
    if (openConnection === undefined || this.socket !== null) {
      openConnection?.setEnd(abortedEnd);
      return super.destroy(error);
    }
    this.destroyed = true;
    openConnection.endAfterResponses(abortedEnd);
    return this;
  }

  /** Sends what was written, once the responses in front are sent. */
  override assignSocket(socket: Socket): void {
    if (this.destroyed) {
      this.openConnection?.setEnd(abortedEnd);
      socket.destroySoon();
    } else {
      super.assignSocket(socket);
    }
  }
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
