import type { LinkBytes } from "../protocol/generated/session.ts";

/** Adds up the bytes on links until a renewal that reports them is answered. */
export class LinkByteReport {
  #unsent: readonly LinkBytes[] = [];
  #sent: readonly LinkBytes[] = [];

  /**
   * Takes what the next renewal reports.
   * @param added Bytes since the last renewal.
   */
  take(added: readonly LinkBytes[]): LinkBytes[] {
    const sum = sumLinkBytes([...this.#unsent, ...this.#sent, ...added]);
    this.#unsent = [];
    this.#sent = sum;
    return [...sum];
  }

  /** Forgets what the last renewal reported, because it was answered. */
  onAnswered(): void {
    this.#sent = [];
  }

  /** Keeps what was reported for another instance. */
  onLost(): void {
    this.#unsent = [...this.#unsent, ...this.#sent];
    this.#sent = [];
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
