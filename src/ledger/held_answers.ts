import type { HeldAnswer } from "../protocol/generated/ledger.ts";

/**
 * Limit of the held answers of an environment. Beyond it the oldest answers are
 * dropped; a repeated claim of their keys is still denied as one that ran.
 */
export const heldAnswerLimitBytes = 32 * 1024 * 1024;
/** Memory per answer beyond its own bytes: objects, map entry and headers. */
const entryOverheadBytes = 256;

interface Entry {
  readonly slot: number;
  readonly answer: HeldAnswer;
  readonly heldSince: number;
  readonly size: number;
}

/** Holds the answers of completed claims, within a memory limit. */
export class HeldAnswers {
  readonly #entries = new Map<number, Entry>();
  /**
   * Entries in the order of their age; the oldest is at `#oldest`. The map has
   * the same order, but finding its first entry takes time proportional to the
   * entries deleted before it.
   */
  #queue: (Entry | undefined)[] = [];
  #oldest = 0;
  #bytes = 0;

  /** Memory of the held answers, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  get(slot: number): HeldAnswer | undefined {
    return this.#entries.get(slot)?.answer;
  }

  /** Adds or replaces the answer of the record in a slot. */
  add(slot: number, answer: HeldAnswer, nowMilliseconds: number): void {
    this.remove(slot);
    const size = getAnswerBytes(answer) + entryOverheadBytes;
    const entry = { slot, answer, heldSince: nowMilliseconds, size };
    this.#entries.set(slot, entry);
    this.#queue.push(entry);
    this.#bytes += size;
    this.#removeWhile(() => this.#bytes > heldAnswerLimitBytes);
  }

  remove(slot: number): void {
    const entry = this.#entries.get(slot);
    if (entry !== undefined) {
      this.#entries.delete(slot);
      this.#bytes -= entry.size;
    }
  }

  /** Removes the answers that were added at or before a time. */
  removeHeldUntil(milliseconds: number): void {
    this.#removeWhile((entry) => entry.heldSince <= milliseconds);
  }

  /** Gets the answers, oldest first. */
  *getEntries(): IterableIterator<
    { slot: number; answer: HeldAnswer; heldSince: number }
  > {
    for (const entry of this.#queue.slice(this.#oldest)) {
      if (entry !== undefined && this.#isHeld(entry)) {
        yield entry;
      }
    }
  }

  #removeWhile(shouldRemove: (entry: Entry) => boolean): void {
    let oldest = this.#queue[this.#oldest];
    while (
      oldest !== undefined && (!this.#isHeld(oldest) || shouldRemove(oldest))
    ) {
      if (this.#isHeld(oldest)) {
        this.remove(oldest.slot);
      }
      // Frees the memory of the answer now; the queue is shortened later.
      this.#queue[this.#oldest] = undefined;
      this.#oldest += 1;
      oldest = this.#queue[this.#oldest];
    }
    if (this.#oldest > this.#queue.length / 2) {
      this.#queue = this.#queue.slice(this.#oldest);
      this.#oldest = 0;
    }
  }

  #isHeld(entry: Entry): boolean {
    return this.#entries.get(entry.slot) === entry;
  }
}

/**
 * Gets the size of an answer.
 * @param answer The answer.
 * @returns Bytes of body and headers.
 */
export function getAnswerBytes(answer: HeldAnswer): number {
  return answer.headers.reduce(
    (sum, each) => sum + Buffer.byteLength(each),
    answer.body.length,
  );
}
