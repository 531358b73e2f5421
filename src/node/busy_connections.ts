import type { OpenConnection } from "./open_connection.ts";

/** The connections of a listener on which a response is not sent completely. */
export class BusyConnections {
  readonly #connections = new Set<OpenConnection>();
  #waiters: (() => void)[] = [];

  /** Gets the number of responses that are not sent completely. */
  get responseCount(): number {
    let count = 0;
    for (const connection of this.#connections) {
      count += connection.openRequestCount;
    }
    return count;
  }

  /** Adds a connection that received a request. */
  add(connection: OpenConnection): void {
    this.#connections.add(connection);
  }

  /** Removes a connection without open requests. */
  remove(connection: OpenConnection): void {
    this.#connections.delete(connection);
    if (this.#connections.size === 0) {
      this.#waiters.splice(0).forEach((resolve) => resolve());
    }
  }

  /**
   * Waits until the operating system has taken over the last byte of each
   * response, or its connection is closed.
   */
  async whenNone(): Promise<void> {
    while (this.#connections.size > 0) {
      await new Promise<void>((resolve) => this.#waiters.push(resolve));
    }
  }
}
