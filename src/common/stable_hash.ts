import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/**
 * Gets a 32-bit hash that is the same in every process and release.
 * @param text The text to hash.
 * @param seed A 32-bit seed.
 * @returns An unsigned 32-bit integer.
 */
export function getStableHash(text: string, seed = 0): number {
  return hasher.h32(text, seed);
}

/**
 * Gets a 64-bit hash of bytes as 16 hexadecimal digits.
 * @param bytes The bytes to hash.
 * @returns The digits.
 */
export function getBytesHash(bytes: Uint8Array): string {
  return hasher.h64Raw(bytes).toString(16).padStart(16, "0");
}

/** Computes the hash of {@link getBytesHash} of bytes that come in parts. */
export class BytesHasher {
  readonly #hash = hasher.create64();

  /** Adds bytes. */
  update(bytes: Uint8Array): void {
    this.#hash.update(bytes);
  }

  /** Gets the hash of the bytes so far as 16 hexadecimal digits. */
  getDigest(): string {
    return this.#hash.digest().toString(16).padStart(16, "0");
  }
}
