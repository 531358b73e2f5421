import { compareHolders, type Holder, selectWorst } from "./select_worst.ts";

/** A connection as a {@link HeadWatch} sees it. */
export interface WatchedConnection {
  /** Bytes that were received so far. */
  readonly receivedBytes: number;
  /** Requests whose heads were received so far. */
  readonly requestCount: number;
  readonly isReceivingBody: boolean;
  readonly hasOpenRequests: boolean;
  /** Whether what it receives is discarded. */
  readonly isClosing: boolean;
}

/** Limits of a {@link HeadWatch}. */
export interface HeadLimits {
  /** Largest size of a head, with the empty lines in front of it. */
  readonly headBytes: number;
  /** Time for a head. */
  readonly headMilliseconds: number;
  /** Bytes of all incomplete heads together. */
  readonly totalBytes: number;
}

/** Why a connection has to be refused. */
export type HeadViolation = "late" | "too-large" | "total-size";

interface Entry<Connection> extends Holder {
  readonly connection: Connection;
  bytes: number;
  sinceMilliseconds: number;
  /** Received bytes at which no head had begun. */
  startBytes: number;
  requestCount: number;
  wasReceivingBody: boolean;
}

/**
 * Watches the bytes that connections receive while no request is complete. The
 * HTTP parser of Node.js bounds one head only, and ignores empty lines before it:
 * they count neither as bytes nor, behind an earlier request, as a started head.
 * The connections are looked at from time to time, so a head may be counted with
 * fewer bytes than it has, never with more.
 */
export class HeadWatch<Connection extends WatchedConnection> {
  readonly #entries = new Map<Connection, Entry<Connection>>();

  /** Gets the number of connections. */
  get size(): number {
    return this.#entries.size;
  }

  /** Adds a new connection. */
  add(connection: Connection, nowMilliseconds: number): void {
    this.#entries.set(connection, {
      connection,
      bytes: 0,
      sinceMilliseconds: nowMilliseconds,
      startBytes: 0,
      requestCount: 0,
      wasReceivingBody: false,
    });
  }

  /** Removes a connection that was closed or refused. */
  remove(connection: Connection): void {
    this.#entries.delete(connection);
  }

  /**
   * Finds the connections that have to be refused.
   * @param nowMilliseconds The time.
   * @param limits The limits.
   * @returns The connections, each with the first limit that it violates.
   */
  check(
    nowMilliseconds: number,
    limits: HeadLimits,
  ): { connection: Connection; violation: HeadViolation }[] {
    const violations = new Map<Connection, HeadViolation>();
    const holders: Entry<Connection>[] = [];
    for (const entry of this.#entries.values()) {
      update(entry, nowMilliseconds);
      if (entry.bytes === 0) {
        continue;
      }
      const elapsed = nowMilliseconds - entry.sinceMilliseconds;
      if (entry.bytes > limits.headBytes) {
        violations.set(entry.connection, "too-large");
      } else if (elapsed > limits.headMilliseconds) {
        violations.set(entry.connection, "late");
      } else {
        holders.push(entry);
      }
    }
    for (const { connection } of selectWorst(holders, limits.totalBytes)) {
      violations.set(connection, "total-size");
    }
    return [...violations].map(([connection, violation]) => ({
      connection,
      violation,
    }));
  }

  /**
   * Finds the connection that is closed first when there are too many: one with
   * an incomplete head, or that has never had a request.
   * @param nowMilliseconds The time.
   * @returns The connection; `undefined` when all had requests.
   */
  findWorst(nowMilliseconds: number): Connection | undefined {
    const candidates: Entry<Connection>[] = [];
    for (const entry of this.#entries.values()) {
      update(entry, nowMilliseconds);
      const { connection } = entry;
      if (
        !connection.isClosing && !connection.hasOpenRequests &&
        (entry.bytes > 0 || connection.requestCount === 0)
      ) {
        candidates.push(entry);
      }
    }
    return candidates.toSorted(compareHolders)[0]?.connection;
  }
}

function update(
  entry: Entry<WatchedConnection>,
  nowMilliseconds: number,
): void {
  const { connection } = entry;
  const { receivedBytes, requestCount, isReceivingBody } = connection;
  const hasNewStart = requestCount !== entry.requestCount ||
    isReceivingBody || entry.wasReceivingBody || connection.isClosing;
  entry.requestCount = requestCount;
  entry.wasReceivingBody = isReceivingBody;
  if (hasNewStart) {
    entry.startBytes = receivedBytes;
  }
  entry.bytes = receivedBytes - entry.startBytes;
  if (hasNewStart || (entry.bytes === 0 && requestCount > 0)) {
    entry.sinceMilliseconds = nowMilliseconds;
  }
}
