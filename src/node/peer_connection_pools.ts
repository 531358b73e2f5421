import { parseEndpoint } from "../settings/mod.ts";
import { ConnectionPool } from "./connection_pool.ts";

/** Time without use after which the pool of a node is dropped. */
const unusedMilliseconds = 60_000;

interface KnownPool {
  readonly pool: ConnectionPool;
  usedMilliseconds: number;
}

/** Keeps the connections to other nodes. */
export class PeerConnectionPools {
  readonly #pools = new Map<string, KnownPool>();
  readonly #sweep: NodeJS.Timeout;

  constructor() {
    this.#sweep = setInterval(() => this.#dropUnused(), unusedMilliseconds);
    this.#sweep.unref();
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
      known.usedMilliseconds = performance.now();
      known.pool.setLimit(limit);
      return known.pool;
    }
    const endpoint = parseEndpoint(address);
    if (endpoint === undefined) {
      return undefined;
    }
    const pool = new ConnectionPool({ ...endpoint, limit });
    this.#pools.set(address, { pool, usedMilliseconds: performance.now() });
    return pool;
  }

  /** Closes all idle connections. */
  stop(): void {
    clearInterval(this.#sweep);
    for (const { pool } of this.#pools.values()) {
      pool.close();
    }
  }

  #dropUnused(): void {
    const oldest = performance.now() - unusedMilliseconds;
    for (const [address, { pool, usedMilliseconds }] of this.#pools) {
      if (usedMilliseconds < oldest && pool.getOpenCount() === 0) {
        pool.close();
        this.#pools.delete(address);
      }
    }
  }
}
