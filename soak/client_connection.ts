import { connect, type Socket } from "node:net";
import {
  describeResponse,
  type Exchange,
  type ExchangeEnd,
} from "./exchange.ts";
import { ResponseParser } from "./response_parser.ts";

/** Settings of a {@link ClientConnection}. */
export interface ClientConnectionOptions {
  readonly port: number;
  /** Pause after each chunk that is read, in milliseconds; 0 for none. */
  readonly readPauseMilliseconds: number;
  /** Called whenever an exchange has ended. */
  onEnd(exchange: Exchange): void;
}

/** A connection on which requests are sent before earlier ones are answered. */
export class ClientConnection {
  readonly #options: ClientConnectionOptions;
  readonly #socket: Socket;
  readonly #parser = new ResponseParser();
  readonly #open: Exchange[] = [];
  #cause = "closed";
  #isEnded = false;
  #closedBy: Exchange | undefined;

  private constructor(options: ClientConnectionOptions, socket: Socket) {
    this.#options = options;
    this.#socket = socket;
    socket.on("data", (chunk) => this.#onData(chunk));
    socket.on("end", () => this.#isEnded = true);
    socket.on("error", (error: NodeJS.ErrnoException) => {
      this.#isEnded = true;
      this.#cause = error.code ?? error.message;
    });
    socket.on("close", () => this.#onClose());
  }

  /**
   * Connects to a loopback port.
   * @param options The port, and how responses are read.
   * @returns The connection; `undefined` if it was refused.
   */
  static async open(
    options: ClientConnectionOptions,
  ): Promise<ClientConnection | undefined> {
    const socket = connect({
      port: options.port,
      host: "127.0.0.1",
      noDelay: true,
    });
    const isConnected = await new Promise<boolean>((resolve) => {
      socket.once("connect", () => resolve(true));
      socket.once("error", () => resolve(false));
    });
    return isConnected ? new ClientConnection(options, socket) : undefined;
  }

  /** Reports whether requests can be sent. */
  get isOpen(): boolean {
    return !this.#isEnded && this.#socket.writable;
  }

  /** Reports whether a response had `Connection: close`. */
  get hasReceivedClose(): boolean {
    return this.#closedBy !== undefined;
  }

  /** Gets the number of requests that wait for their response. */
  get openCount(): number {
    return this.#open.length;
  }

  /**
   * Sends a request.
   * @param exchange The exchange, which is ended later.
   * @param text The encoded request.
   */
  send(exchange: Exchange, text: string): void {
    this.#open.push(exchange);
    this.#socket.write(text);
  }

  /** Closes the connection. */
  close(): void {
    this.#socket.destroy();
  }

  #onData(chunk: Buffer): void {
    try {
      for (const response of this.#parser.push(chunk)) {
        const exchange = this.#open.shift();
        if (exchange === undefined) {
          throw new Error("A response without a request");
        }
        exchange.closedBy = this.#closedBy;
        if (response.headers.get("connection") === "close") {
          this.#closedBy ??= exchange;
        }
        this.#end(exchange, describeResponse(response));
      }
    } catch (error) {
      this.#cause = (error as Error).message;
      this.#socket.destroy();
      return;
    }
    if (this.#options.readPauseMilliseconds > 0) {
      this.#socket.pause();
      setTimeout(
        () => this.#socket.resume(),
        this.#options.readPauseMilliseconds,
      );
    }
  }

  #onClose(): void {
    this.#isEnded = true;
    let { hasPartialResponse } = this.#parser;
    const [oldest] = this.#open;
    const oldestMilliseconds = Date.now() -
      (oldest?.sentMilliseconds ?? Date.now());
    for (const exchange of this.#open.splice(0)) {
      exchange.closedBy = this.#closedBy;
      this.#end(exchange, {
        kind: "unanswered",
        cause: this.#cause,
        hasPartialResponse,
        oldestMilliseconds,
      });
      hasPartialResponse = false;
    }
  }

  #end(exchange: Exchange, end: ExchangeEnd): void {
    exchange.end = end;
    exchange.endMilliseconds = Date.now();
    this.#options.onEnd(exchange);
  }
}
