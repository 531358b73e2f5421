import type { LinkBytes } from "../protocol/generated/session.ts";

/**
 * Counts the bytes on links until a renewal that reports them is answered. Each
 * report holds all bytes that no answered renewal has reported.
 */
export class LinkByteCounter {
  /** Bytes whose report was lost with a session. */
  #unreported: readonly LinkBytes[] = [];
  /** Bytes that the last renewal reported, until it is answered. */
  #unanswered: readonly LinkBytes[] = [];

  /**
   * Creates the report of the next renewal.
   * @param added Bytes since the last renewal.
   * @returns One entry for each link.
   */
  createReport(added: readonly LinkBytes[]): LinkBytes[] {
    const sum = sumLinkBytes([
      ...this.#unreported,
      ...this.#unanswered,
      ...added,
    ]);
    this.#unreported = [];
    this.#unanswered = sum;
    return [...sum];
  }

  /** Discards the bytes that the last renewal reported; it was answered. */
  onAnswered(): void {
    this.#unanswered = [];
  }

  /** Keeps unanswered bytes, to report them to another instance. */
  onSessionLost(): void {
    this.#unreported = [...this.#unreported, ...this.#unanswered];
    this.#unanswered = [];
  }
}

function sumLinkBytes(entries: readonly LinkBytes[]): LinkBytes[] {
  const sums = new Map<string, LinkBytes>();
  for (const entry of entries) {
    const key = `${entry.fromRegion}\0${entry.toRegion}`;
    const sum = sums.get(key);
    sums.set(key, { ...entry, bytes: entry.bytes + (sum?.bytes ?? 0) });
  }
  return [...sums.values()];
}
