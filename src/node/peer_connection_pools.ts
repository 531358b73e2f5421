import { parseEndpoint } from "../settings/mod.ts";
import { ConnectionPool } from "./connection_pool.ts";

/** Time without use after which the pool of a node is removed. */
const unusedLimitMilliseconds = 60_000;

interface PoolEntry {
  readonly pool: ConnectionPool;
  lastUsedMilliseconds: number;
}

/** Keeps one connection pool for each other node. */
export class PeerConnectionPools {
  readonly #pools = new Map<string, PoolEntry>();
  readonly #sweepTimer: NodeJS.Timeout;

  constructor() {
    this.#sweepTimer = setInterval(
      () => this.#removeUnused(),
      unusedLimitMilliseconds,
    );
    this.#sweepTimer.unref();
  }

  /**
   * Gets the connection pool of a node, and sets its limit.
   * @param address Address of the node, as `host:port`.
   * @param limit Maximum number of open connections.
   * @returns The pool, or `undefined` when the address is malformed.
   */
  get(address: string, limit: number): ConnectionPool | undefined {
    const entry = this.#pools.get(address);
    if (entry !== undefined) {
      entry.lastUsedMilliseconds = performance.now();
      entry.pool.setLimit(limit);
      return entry.pool;
    }
    const endpoint = parseEndpoint(address);
    if (endpoint === undefined) {
      return undefined;
    }
    const pool = new ConnectionPool({ ...endpoint, limit });
    this.#pools.set(address, { pool, lastUsedMilliseconds: performance.now() });
    return pool;
  }

  /** Closes all idle connections. */
  stop(): void {
    clearInterval(this.#sweepTimer);
    for (const { pool } of this.#pools.values()) {
      pool.close();
    }
  }

  #removeUnused(): void {
    const oldest = performance.now() - unusedLimitMilliseconds;
    for (
      const [address, { pool, lastUsedMilliseconds }] of this
        .#pools
    ) {
      if (lastUsedMilliseconds < oldest && pool.getOpenCount() === 0) {
        pool.close();
        this.#pools.delete(address);
      }
    }
  }
}
