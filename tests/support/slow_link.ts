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

/**
 * Times from a connection request that is lost to those by which TCP repeats it, in
 * milliseconds.
 */
const repeatedRequestDelays = [1000, 3000, 7000];

/** Forwards TCP connections with the delay and the throughput of a long link. */
export class SlowLink {
  /** Throughput of each direction of a connection. */
  bytesPerSecond = Infinity;
  /**
   * Whether everything is lost. A connection that loses bytes is not used again; one
   * that is opened meanwhile is forwarded when TCP would repeat its request.
   */
  isCut = false;
  /** Number of connections that were opened. */
  connectionCount = 0;
  readonly #options: SlowLinkOptions;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(options: SlowLinkOptions) {
    this.#options = options;
    const [host, port] = options.target.split(":");
    this.#server = createServer((incoming) => {
      this.connectionCount++;
      this.#sockets.add(incoming);
      const connect = () => {
        const outgoing = createConnection({ host, port: Number(port) });
        this.#forward(incoming, outgoing);
        this.#forward(outgoing, incoming);
      };
      if (this.isCut) {
        this.#repeatRequest(connect);
      } else {
        connect();
      }
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

  #repeatRequest(connect: () => void): void {
    let isConnected = false;
    for (const delay of repeatedRequestDelays) {
      setTimeout(() => {
        if (!isConnected && !this.isCut) {
          isConnected = true;
          connect();
        }
      }, delay).unref();
    }
  }

  #forward(from: Socket, to: Socket): void {
    const { delayMilliseconds } = this.#options;
    let isFreeAt = 0;
    let hasLostBytes = false;
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
      hasLostBytes ||= this.isCut;
      if (hasLostBytes) {
        return;
      }
      const time = runLater(() => to.write(data), data.length);
      if (time > 2 * delayMilliseconds) {
        from.pause();
        setTimeout(() => from.resume(), time - delayMilliseconds).unref();
      }
    });
    from.on("error", () => {});
    from.on("close", () => {
      this.#sockets.delete(from);
      if (!this.isCut) {
        runLater(() => to.destroy(), 0);
      }
    });
  }
}
