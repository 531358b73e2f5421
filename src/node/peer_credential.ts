import { createHash, timingSafeEqual } from "node:crypto";

/** Header that proves to another node that the sender knows the token. */
export const peerHeader = "dogwoodwalk-peer";

/**
 * Credential that nodes with the same token send each other with every call. It
 * is derived from the token, so that the token itself is not transmitted.
 */
export class PeerCredential {
  /** Value of the header, as hexadecimal digits. */
  readonly value: string;
  readonly #bytes: Buffer;

  /** @param secret The token that all processes share. */
  constructor(secret: string) {
    this.value = createHash("sha256").update(`dogwoodwalk-peer ${secret}`)
      .digest("hex").slice(0, 32);
    this.#bytes = Buffer.from(this.value);
  }

  /**
   * Reports whether a header value is this credential.
   * @param value The value; `undefined` when the header is absent.
   */
  isValid(value: string | undefined): boolean {
    const bytes = Buffer.from(value ?? "");
    return bytes.length === this.#bytes.length &&
      timingSafeEqual(bytes, this.#bytes);
  }
}
