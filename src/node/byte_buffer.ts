/** Smallest buffer to which chunks are copied. */
const minimumBytes = 1024;

/**
 * Joins chunks. A chunk of a few bytes takes hundreds of bytes as a buffer of its
 * own, so further chunks are copied behind the first one into a growing buffer,
 * which is at most twice as large as its content.
 */
export class ByteBuffer {
  #bytes: Buffer = noBytes;
  #size = 0;

  /** Gets the number of bytes. */
  get size(): number {
    return this.#size;
  }

  /** Appends a chunk, which must not be changed afterwards. */
  append(chunk: Buffer): void {
    const size = this.#size + chunk.length;
    if (this.#size === 0) {
      this.#bytes = chunk;
    } else {
      if (size > this.#bytes.length) {
        const larger = Buffer.allocUnsafeSlow(
          Math.max(minimumBytes, size, 2 * this.#size),
        );
        this.#bytes.copy(larger, 0, 0, this.#size);
        this.#bytes = larger;
      }
      chunk.copy(this.#bytes, this.#size);
    }
    this.#size = size;
  }

  /** Removes and gets all bytes. */
  take(): Buffer {
    const bytes = this.#bytes.subarray(0, this.#size);
    this.#bytes = noBytes;
    this.#size = 0;
    return bytes;
  }
}

const noBytes = Buffer.alloc(0);
