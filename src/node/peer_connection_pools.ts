import { parseEndpoint } from "../settings/mod.ts";
import { ConnectionPool } from "./connection_pool.ts";

/** Time without use after which the pool of a node is dropped. */
const unusedLimitMilliseconds = 60_000;

interface PoolEntry {
  readonly pool: ConnectionPool;
  lastUsedMilliseconds: number;
}

/** Keeps the connections to other nodes. */
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
   * Gets the connections to a node.
   * @param address Its `host:port`.
   * @param limit Most connections at once.
   * @returns The pool, or `undefined` when the address is malformed.
   */
  get(address: string, limit: number): ConnectionPool | undefined {
    const known = this.#pools.get(address);
    if (known !== undefined) {
      known.lastUsedMilliseconds = performance.now();
      known.pool.setLimit(limit);
      return known.pool;
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
