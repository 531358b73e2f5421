import type { HeldAnswer } from "../protocol/generated/ledger.ts";

/**
 * Bytes of held answers per environment. Beyond it the oldest answers are
 * dropped, and their claims still answer that they ran.
 */
export const heldAnswerLimitBytes = 32 * 1024 * 1024;
/** Memory for an answer beside its bytes: objects, map entry, headers. */
const overheadBytes = 256;

interface Entry {
  readonly slot: number;
  readonly answer: HeldAnswer;
  readonly heldSince: number;
  readonly size: number;
}

/** Holds answers of completed claims for a while, within a bound. */
export class HeldAnswers {
  readonly #entries = new Map<number, Entry>();
  /**
   * Entries by age, from the index of the oldest one. A map alone would do, but
   * finds its first entry only after all that were deleted before it.
   */
  #queue: (Entry | undefined)[] = [];
  #oldest = 0;
  #bytes = 0;

  /** Memory taken, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  get(slot: number): HeldAnswer | undefined {
    return this.#entries.get(slot)?.answer;
  }

  /** Holds the answer of the record in a slot. */
  add(slot: number, answer: HeldAnswer, nowMilliseconds: number): void {
    this.remove(slot);
    const size = getAnswerBytes(answer) + overheadBytes;
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

  /** Removes the answers held since a time or before it. */
  removeUntil(milliseconds: number): void {
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
      // Lets go of the answer before the queue is cut.
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
 * Gets the size by which an answer is measured.
 * @param answer The answer.
 * @returns Bytes of body and headers.
 */
export function getAnswerBytes(answer: HeldAnswer): number {
  return answer.headers.reduce(
    (sum, each) => sum + Buffer.byteLength(each),
    answer.body.length,
  );
}
