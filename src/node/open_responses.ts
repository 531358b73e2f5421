import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Tracks the responses of a server that are not delivered completely. */
export class OpenResponses {
  readonly #responses = new WeakMap<Socket, Set<ServerResponse>>();
  readonly #openSockets = new Set<Socket>();
  #waiters: (() => void)[] = [];

  /** @param server The server whose responses are tracked. */
  constructor(server: Server) {
    server.on(
      "request",
      ({ socket }, response) => this.#add(socket, response),
    );
  }

  /**
   * Waits until the operating system has taken over the last byte of each
   * response, or its connection is closed.
   */
  async whenDelivered(): Promise<void> {
    while (this.#openSockets.size > 0) {
      await new Promise<void>((resolve) => this.#waiters.push(resolve));
    }
  }

  #add(socket: Socket, response: ServerResponse): void {
    let responses = this.#responses.get(socket);
    if (responses === undefined) {
      responses = new Set();
      this.#responses.set(socket, responses);
      // Node.js reports no end of responses that wait behind another one.
      socket.once("close", () => this.#removeSocket(socket));
    }
    responses.add(response);
    this.#openSockets.add(socket);
    response.once("close", () => {
      responses.delete(response);
      if (responses.size === 0) {
        this.#removeSocket(socket);
      }
    });
  }

  #removeSocket(socket: Socket): void {
    if (this.#openSockets.delete(socket) && this.#openSockets.size === 0) {
      this.#waiters.splice(0).forEach((resolve) => resolve());
    }
  }
}
