import type { ClientRequest } from "node:http";
import { Socket } from "node:net";
import type { Endpoint } from "../settings/mod.ts";

/**
 * Idle time after which a connection is closed here. Node's own servers close
 * theirs after 5 s; closing first avoids requests that meet a closing socket.
 */
const defaultIdleLimitMilliseconds = 4000;
/** How much earlier than the other side says an idle connection is closed. */
const idleMarginMilliseconds = 1000;

/**
 * Time for a new connection: eight round trips between regions, and short enough
 * for a second target within the 700 ms of a call that a target makes. A machine
 * that lost its power or is cut off does not refuse a connection.
 */
const connectTimeoutMilliseconds = 200;

/** Interval at which idle connections are closed. */
const sweepIntervalMilliseconds = 1000;

/**
 * Closes idle connections of all pools of the process. One timer for all keeps
 * a quiet node from waking up for each node that it knows.
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

/** Settings of a pool. */
export interface ConnectionPoolOptions extends Endpoint {
  /** Most connections at once; further requests wait for a free one. */
  readonly limit: number;
}

/**
 * Keeps connections to one endpoint. It stands in for `http.Agent`, whose
 * lookup by a name built from all options costs more than the reuse itself.
 */
export class ConnectionPool {
  // Read by ClientRequest.
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
   * @param options The endpoint and the limit.
   */
  constructor(options: ConnectionPoolOptions) {
    this.host = options.host;
    this.port = options.port;
    this.#limit = options.limit;
    this.maxSockets = Number.POSITIVE_INFINITY;
    idleSweep.add(this);
  }

  /** Gets the number of open connections, idle ones included. */
  getOpenCount(): number {
    return this.#open.size;
  }

  /** Sets the most connections at once; open ones are kept. */
  setLimit(limit: number): void {
    if (limit !== this.#limit) {
      this.#limit = limit;
      this.#connectWaiting();
    }
  }

  /**
   * Notes how long the other side keeps idle connections.
   * @param seconds The time that it announced.
   */
  applyKeepAlive(seconds: number): void {
    this.#idleLimitMilliseconds = Math.max(
      0,
      seconds * 1000 - idleMarginMilliseconds,
    );
  }

  /** Gives a request its connection; called by ClientRequest. */
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

  /** Closes all idle connections, and others when their request ends. */
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
    // Requests have their own listener; this one serves idle sockets.
    socket.on("error", ignoreError);
    socket.once("close", () => this.#onClose(socket));
    return socket;
  }

  #startConnectTimeout(socket: Socket): void {
    const timer = setTimeout(() => {
      // In a process that was busy, the news of the connection may still wait.
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
      // Bytes on an idle connection belong to no request.
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

  /** The connection used last is the least likely to be closing. */
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

  /** Closes the connections that have been idle for too long. */
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
