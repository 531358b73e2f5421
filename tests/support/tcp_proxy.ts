import {
  createConnection,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Passes TCP connections on, until it is told to go silent. */
export class TcpProxy {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #isSilent = false;
  address = "";
  /** Bytes that passed in each direction. */
  receivedBytes = 0;
  sentBytes = 0;
  /** Pieces in which the bytes came, about the number of segments. */
  chunkCount = 0;

  /**
   * @param target Address to pass connections on to.
   */
  constructor(target: string) {
    const [host, port] = target.split(":");
    this.#server = createServer((socket) => {
      const other = createConnection({ host, port: Number(port) });
      this.#connect(socket, other, (bytes) => this.receivedBytes += bytes);
      this.#connect(other, socket, (bytes) => this.sentBytes += bytes);
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

  /** Drops what arrives, without closing any connection. */
  dropTraffic(): void {
    this.#isSilent = true;
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #connect(from: Socket, to: Socket, count: (bytes: number) => void): void {
    this.#sockets.add(from);
    from.on("data", (data) => {
      if (!this.#isSilent) {
        count(data.length);
        this.chunkCount++;
        to.write(data);
      }
    });
    from.on("error", () => {});
    from.on("close", () => {
      this.#sockets.delete(from);
      if (!this.#isSilent) {
        to.destroy();
      }
    });
  }
}
