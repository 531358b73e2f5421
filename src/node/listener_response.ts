import { type IncomingMessage, ServerResponse } from "node:http";
import type { CallPhase, OpenCall } from "./call_phase.ts";
import type { ConnectionEnd, OpenConnection } from "./open_connection.ts";

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

  /** Destroys the connection, so that the response does not seem complete. */
  override destroy(error?: Error): this {
    const { openConnection } = this;
    if (openConnection !== undefined) {
      const setEnd = () =>
        openConnection.setEnd({ closedBy: "node", reason: "response-aborted" });
      // Destroying a response that waits behind another one has no effect until
      // it is assigned to the socket.
      if (this.socket === null) {
        this.once("socket", setEnd);
      } else {
        setEnd();
      }
    }
    return super.destroy(error);
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
