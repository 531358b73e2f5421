/** Largest body that is held, in bytes. */
export const maximumBufferedBodyBytes = 64 * 1024;
/** Bytes of bodies that one node holds at once. */
const maximumNodeBytes = 16 * 1024 * 1024;

/** Counts the bytes of bodies that a node holds. */
export class BodyMemoryBudget {
  #usedBytes = 0;

  /** @param limit Most bytes at once. */
  constructor(readonly limit: number = maximumNodeBytes) {}

  /** Gets the bytes that are held now. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /**
   * Takes memory for a body.
   * @param bytes How much.
   * @returns Whether it was there; `false` takes nothing.
   */
  reserve(bytes: number): boolean {
    if (this.#usedBytes + bytes > this.limit) {
      return false;
    }
    this.#usedBytes += bytes;
    return true;
  }

  /** Takes memory for a body that is there already, beyond the limit too. */
  reserveUnchecked(bytes: number): void {
    this.#usedBytes += bytes;
  }

  /** Gives memory back. */
  release(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}
