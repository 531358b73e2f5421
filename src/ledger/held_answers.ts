import type { HeldAnswer } from "../protocol/generated/ledger.ts";

/**
 * Bytes of held answers per environment. Beyond it the oldest answers are
 * dropped, and their claims still answer that they ran.
 */
export const heldAnswerLimitBytes = 32 * 1024 * 1024;
/** Memory for an answer beside its bytes: objects, map entry, headers. */
const overheadBytes = 256;

interface Entry {
  readonly answer: HeldAnswer;
  readonly heldSince: number;
  readonly size: number;
}

/** Holds answers of completed claims for a while, within a bound. */
export class HeldAnswers {
  readonly #entries = new Map<number, Entry>();
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
    this.#entries.set(slot, { answer, heldSince: nowMilliseconds, size });
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
    for (const [slot, { answer, heldSince }] of this.#entries) {
      yield { slot, answer, heldSince };
    }
  }

  #removeWhile(shouldRemove: (entry: Entry) => boolean): void {
    for (const [slot, entry] of this.#entries) {
      if (!shouldRemove(entry)) {
        break;
      }
      this.remove(slot);
    }
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
