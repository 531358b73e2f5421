import type { ClientRequest } from "node:http";
import { Socket } from "node:net";
import type { Endpoint } from "../settings/mod.ts";

/**
 * Idle time after which the pool closes a connection. Servers of Node.js close
 * theirs after 5 s by default; the pool closes first, so that no request is
 * sent on a connection that the server is closing.
 */
const defaultIdleLimitMilliseconds = 4000;
/** Margin by which the pool closes idle connections before the server does. */
const idleMarginMilliseconds = 1000;

/**
 * Time limit for establishing a connection. A machine without power or network
 * does not refuse connections, so only a timeout detects it. The limit covers
 * eight round trips between regions, and leaves time to try a second target
 * within the deadline of 700 ms that outgoing calls of a target have.
 */
const connectTimeoutMilliseconds = 200;

/** Interval at which expired idle connections are closed. */
const sweepIntervalMilliseconds = 1000;

/**
 * Closes expired idle connections of all pools of the process. The pools share
 * one timer, so that an idle node does not wake up once for each known node.
 */
class IdleSweep {
  readonly #pools = new Set<ConnectionPool>();
  #timer: NodeJS.Timeout | undefined;

  add(pool: ConnectionPool): void {
    this.#pools.add(pool);
    this.#timer ??= setInterval(() => {
      this.#pools.forEach((each) => each.closeIdle());
    }, sweepIntervalMilliseconds).unref();
  }

  remove(pool: ConnectionPool): void {
    this.#pools.delete(pool);
    if (this.#pools.size === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
  }
}

const idleSweep = new IdleSweep();

interface IdleSocket {
  readonly socket: Socket;
  readonly expiresAt: number;
}

/** Settings of a {@link ConnectionPool}. */
export interface ConnectionPoolOptions extends Endpoint {
  /** Maximum number of connections; further requests wait for a free one. */
  readonly limit: number;
}

/**
 * Keeps connections to one endpoint. It replaces `http.Agent`, which builds a
 * lookup key from all options for each request. That costs more than the reuse
 * of a connection itself.
 */
export class ConnectionPool {
  // Members of `http.Agent` that ClientRequest reads.
  readonly keepAlive = true;
  readonly maxSockets: number;
  readonly defaultPort = 80;
  readonly protocol = "http:";
  readonly options = {};

  readonly host: string;
  readonly port: number;
  #limit: number;
  readonly #open = new Set<Socket>();
  readonly #idle: IdleSocket[] = [];
  readonly #waiting: ClientRequest[] = [];
  #idleLimitMilliseconds = defaultIdleLimitMilliseconds;

  /**
   * @param options Endpoint and limit.
   */
  constructor(options: ConnectionPoolOptions) {
    this.host = options.host;
    this.port = options.port;
    this.#limit = options.limit;
    this.maxSockets = Number.POSITIVE_INFINITY;
    idleSweep.add(this);
  }

  /** Gets the number of open connections, including idle ones. */
  getOpenCount(): number {
    return this.#open.size;
  }

  /** Sets the maximum number of connections; open ones are kept. */
  setLimit(limit: number): void {
    if (limit !== this.#limit) {
      this.#limit = limit;
      this.#connectWaiting();
    }
  }

  /**
   * Adjusts the idle time limit to the timeout of the server.
   * @param seconds Timeout from the Keep-Alive header of the server.
   */
  applyKeepAlive(seconds: number): void {
    this.#idleLimitMilliseconds = Math.max(
      0,
      seconds * 1000 - idleMarginMilliseconds,
    );
  }

  /** Assigns a connection to a request; called by ClientRequest. */
  addRequest(request: ClientRequest): void {
    const socket = this.#takeIdle();
    if (socket !== undefined) {
      request.reusedSocket = true;
      request.onSocket(socket);
    } else if (this.#open.size < this.#limit) {
      request.onSocket(this.#connect());
    } else {
      this.#waiting.push(request);
    }
  }

  /** Closes idle connections now, and others when their requests end. */
  close(): void {
    idleSweep.remove(this);
    this.#idleLimitMilliseconds = 0;
    for (const { socket } of this.#idle.splice(0)) {
      socket.destroy();
    }
  }

  readonly #onIdleData = function (this: Socket): void {
    this.destroy();
  };

  #connect(): Socket {
    const socket = new Socket();
    socket.setNoDelay(true);
    socket.connect({ host: this.host, port: this.port });
    this.#startConnectTimeout(socket);
    this.#open.add(socket);
    socket.on("free", () => this.#onFree(socket));
    // For errors of idle sockets; requests add their own listener.
    socket.on("error", ignoreError);
    socket.once("close", () => this.#onClose(socket));
    return socket;
  }

  #startConnectTimeout(socket: Socket): void {
    const timer = setTimeout(() => {
      // If the event loop was blocked, the event of an established connection
      // may still be pending; it is handled before this callback runs.
      setImmediate(() => {
        if (socket.connecting) {
          socket.destroy(createConnectTimeoutError());
        }
      });
    }, connectTimeoutMilliseconds);
    socket.once("connect", () => clearTimeout(timer));
    socket.once("close", () => clearTimeout(timer));
  }

  #onFree(socket: Socket): void {
    if (socket.destroyed || !socket.writable) {
      return;
    }
    const next = this.#takeWaiting();
    if (next !== undefined) {
      next.reusedSocket = true;
      next.onSocket(socket);
    } else if (
      this.#idleLimitMilliseconds === 0 || this.#open.size > this.#limit
    ) {
      socket.destroy();
    } else {
      const expiresAt = performance.now() + this.#idleLimitMilliseconds;
      // Data on an idle connection belongs to no request.
      socket.on("data", this.#onIdleData);
      this.#idle.push({ socket, expiresAt });
    }
  }

  #onClose(socket: Socket): void {
    this.#open.delete(socket);
    const index = this.#idle.findIndex((each) => each.socket === socket);
    if (index >= 0) {
      this.#idle.splice(index, 1);
    }
    this.#connectWaiting();
  }

  #connectWaiting(): void {
    while (this.#open.size < this.#limit) {
      const next = this.#takeWaiting();
      if (next === undefined) {
        return;
      }
      next.onSocket(this.#connect());
    }
  }

  #takeWaiting(): ClientRequest | undefined {
    let next = this.#waiting.shift();
    while (next?.destroyed) {
      next = this.#waiting.shift();
    }
    return next;
  }

  /**
   * Takes the most recently used idle connection, which is the least likely to
   * be closing.
   */
  #takeIdle(): Socket | undefined {
    let idle = this.#idle.pop();
    while (idle !== undefined) {
      if (
        idle.socket.writable && !idle.socket.destroyed &&
        idle.expiresAt > performance.now()
      ) {
        idle.socket.off("data", this.#onIdleData);
        return idle.socket;
      }
      idle.socket.destroy();
      idle = this.#idle.pop();
    }
    return undefined;
  }

  /** Closes the connections whose idle time limit has passed. */
  closeIdle(): void {
    const now = performance.now();
    while (this.#idle[0] !== undefined && this.#idle[0].expiresAt <= now) {
      this.#idle.shift()?.socket.destroy();
    }
  }
}

function ignoreError(): void {}

function createConnectTimeoutError(): Error {
  return Object.assign(
    new Error(`no connection within ${connectTimeoutMilliseconds} ms`),
    { code: "ETIMEDOUT", syscall: "connect" },
  );
}
