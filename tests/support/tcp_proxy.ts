import {
  createConnection,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Forwards TCP connections, until {@link TcpProxy.dropTraffic} is called. */
export class TcpProxy {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #isDropping = false;
  address = "";
  /** Bytes that clients sent to the target. */
  receivedBytes = 0;
  /** Bytes that the target sent to clients. */
  sentBytes = 0;
  /** Chunks in which the bytes arrived, about the number of TCP segments. */
  chunkCount = 0;

  /**
   * @param target Address to which connections are forwarded.
   */
  constructor(target: string) {
    const [host, port] = target.split(":");
    this.#server = createServer((socket) => {
      const upstream = createConnection({ host, port: Number(port) });
      this.#forward(socket, upstream, (bytes) => this.receivedBytes += bytes);
      this.#forward(upstream, socket, (bytes) => this.sentBytes += bytes);
    });
  }

  listen(): Promise<void> {
    return new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => {
        const address = this.#server.address();
        this.address = `127.0.0.1:${
          typeof address === "object" ? address?.port : ""
        }`;
        resolve();
      })
    );
  }

  /** Drops all further data, but keeps the connections open. */
  dropTraffic(): void {
    this.#isDropping = true;
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #forward(from: Socket, to: Socket, addBytes: (bytes: number) => void): void {
    this.#sockets.add(from);
    from.on("data", (data) => {
      if (!this.#isDropping) {
        addBytes(data.length);
        this.chunkCount++;
        to.write(data);
      }
    });
    from.on("error", () => {});
    from.on("close", () => {
      this.#sockets.delete(from);
      if (!this.#isDropping) {
        to.destroy();
      }
    });
  }
}
