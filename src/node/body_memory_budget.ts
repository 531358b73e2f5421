/** Maximum size of a body that is buffered. */
export const maximumBufferedBodyBytes = 64 * 1024;
/** Maximum total size of the bodies that one node buffers. */
const maximumNodeBytes = 16 * 1024 * 1024;

/** Limits the memory for the bodies that a node buffers. */
export class BodyMemoryBudget {
  #usedBytes = 0;

  /** @param limit Maximum number of reserved bytes. */
  constructor(readonly limit: number = maximumNodeBytes) {}

  /** Gets the number of reserved bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /**
   * Reserves memory for a body, unless that would exceed the limit.
   * @param bytes Number of bytes.
   * @returns Whether the bytes were reserved.
   */
  reserve(bytes: number): boolean {
    if (this.#usedBytes + bytes > this.limit) {
      return false;
    }
    this.#usedBytes += bytes;
    return true;
  }

  /** Reserves memory for an existing body, even beyond the limit. */
  reserveUnchecked(bytes: number): void {
    this.#usedBytes += bytes;
  }

  /** Releases reserved memory. */
  release(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}
