import { createHash, timingSafeEqual } from "node:crypto";

/** Header by which a node shows another one that it knows the token. */
export const peerHeader = "dogwoodwalk-peer";

/**
 * What nodes with the same token show each other on every call. It is derived
 * from the token, so that the token itself does not travel between nodes.
 */
export class PeerCredential {
  /** Value of the header, in hexadecimal digits. */
  readonly value: string;
  readonly #bytes: Buffer;

  /** @param secret The token of the processes. */
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
