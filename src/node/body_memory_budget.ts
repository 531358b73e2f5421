/** Largest body that is held, in bytes. */
export const maximumBufferedBodyBytes = 64 * 1024;
/** Bytes of bodies that one node holds at once. */
const heldBytesOfNode = 16 * 1024 * 1024;

/** Counts the bytes of bodies that a node holds. */
export class BodyMemoryBudget {
  #held = 0;

  /** @param limit Most bytes at once. */
  constructor(readonly limit: number = heldBytesOfNode) {}

  /** Gets the bytes that are held now. */
  get usedBytes(): number {
    return this.#held;
  }

  /**
   * Takes memory for a body.
   * @param bytes How much.
   * @returns Whether it was there; `false` takes nothing.
   */
  reserve(bytes: number): boolean {
    if (this.#held + bytes > this.limit) {
      return false;
    }
    this.#held += bytes;
    return true;
  }

  /** Takes memory for a body that is there already, beyond the limit too. */
  reserveUnchecked(bytes: number): void {
    this.#held += bytes;
  }

  /** Gives memory back. */
  release(bytes: number): void {
    this.#held -= bytes;
  }
}
