import {
  createConnection,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Options of a {@link SlowLink}. */
export interface SlowLinkOptions {
  /** Address to which connections are forwarded. */
  readonly target: string;
  /** Time that each byte takes in either direction. */
  readonly delayMilliseconds: number;
}

/** Forwards TCP connections with the delay and the throughput of a long link. */
export class SlowLink {
  /** Throughput of each direction of a connection. */
  bytesPerSecond = Infinity;
  readonly #options: SlowLinkOptions;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(options: SlowLinkOptions) {
    this.#options = options;
    const [host, port] = options.target.split(":");
    this.#server = createServer((incoming) => {
      const outgoing = createConnection({ host, port: Number(port) });
      this.#forward(incoming, outgoing);
      this.#forward(outgoing, incoming);
    });
  }

  /** Listens on an address of loopback. */
  listen(address: string): Promise<void> {
    const [host, port] = address.split(":");
    return new Promise((resolve) =>
      this.#server.listen(Number(port), host, resolve)
    );
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #forward(from: Socket, to: Socket): void {
    const { delayMilliseconds } = this.#options;
    let isFreeAt = 0;
    this.#sockets.add(from);
    const runLater = (run: () => void, bytes: number) => {
      isFreeAt = Math.max(isFreeAt, performance.now()) +
        bytes / this.bytesPerSecond * 1000;
      // Timers of equal times fire in order, so no bytes overtake others.
      const time = Math.round(isFreeAt + delayMilliseconds - performance.now());
      setTimeout(run, time).unref();
      return time;
    };
    from.on("data", (data) => {
      const time = runLater(() => to.write(data), data.length);
      if (time > 2 * delayMilliseconds) {
        from.pause();
        setTimeout(() => from.resume(), time - delayMilliseconds).unref();
      }
    });
    from.on("error", () => {});
    from.on("close", () => {
      this.#sockets.delete(from);
      runLater(() => to.destroy(), 0);
    });
  }
}
