import { BytesHasher, getBytesHash } from "../common/mod.ts";

/** Bytes by which a longer body is recognized that is not known as a whole. */
const startBytes = 4096;

/** Hashes of the body of a request. */
export interface BodyHashes {
  /** Hash of the whole body; `undefined` while it is not known. */
  readonly whole: string | undefined;
  /** Hash of the first bytes of a longer body; `undefined` for a short one. */
  readonly start: string | undefined;
}

/**
 * Gets the hashes of a body that was read as a whole.
 * @param body The body.
 * @returns The hashes.
 */
export function getBodyHashes(body: Buffer): BodyHashes {
  return {
    whole: getBytesHash(body),
    start: body.length > startBytes
      ? getBytesHash(body.subarray(0, startBytes))
      : undefined,
  };
}

/** Computes the hashes of a body while it is transferred. */
export class StreamedBodyHashes implements BodyHashes {
  readonly #whole = new BytesHasher();
  readonly #start = new BytesHasher();
  #startBytesLeft = startBytes;
  #isWhole = false;

  /** Adds the next bytes of the body. */
  update(chunk: Buffer): void {
    this.#whole.update(chunk);
    if (this.#startBytesLeft > 0) {
      const part = chunk.subarray(0, this.#startBytesLeft);
      this.#start.update(part);
      this.#startBytesLeft -= part.length;
    }
  }

  /** Records that the body is complete. */
  end(): void {
    this.#isWhole = true;
  }

  get whole(): string | undefined {
    return this.#isWhole ? this.#whole.getDigest() : undefined;
  }

  get start(): string {
    return this.#start.getDigest();
  }
}
