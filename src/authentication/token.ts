import { createHash, timingSafeEqual } from "node:crypto";
import { readFileSync } from "node:fs";
import { isIP } from "node:net";
import { failed, ok, type Result } from "../common/mod.ts";

/** Minimum length of a token in characters. */
const minimumTokenLength = 16;

/** A shared secret that is redacted when it is converted to text or JSON. */
export class Token {
  readonly #secret: string;
  readonly #digest: Buffer;

  /**
   * @param secret The text of the token file, without surrounding white space.
   */
  constructor(secret: string) {
    this.#secret = secret;
    this.#digest = getDigest(`Bearer ${secret}`);
  }

  /** Gets the value of the `authorization` metadata. */
  getAuthorizationHeader(): string {
    return `Bearer ${this.#secret}`;
  }

  /**
   * Reports whether a value of the `authorization` metadata contains the token.
   * Compares digests of equal length in constant time, so that the duration
   * reveals nothing about the token.
   */
  isValidAuthorizationHeader(value: string): boolean {
    return timingSafeEqual(getDigest(value), this.#digest);
  }

  /**
   * Gets the secret, for components that authenticate without the interceptors.
   * It must not be logged.
   */
  getSecret(): string {
    return this.#secret;
  }

  toString(): string {
    return "[token]";
  }

  toJSON(): string {
    return "[token]";
  }
}

/**
 * Reads a token file.
 * @param file Path of the file; `undefined` when no token is configured.
 * @returns The token, `undefined` without a file, or why the file is invalid.
 */
export function readTokenFile(
  file: string | undefined,
): Result<Token | undefined, string> {
  if (file === undefined) {
    return ok(undefined);
  }
  let secret: string;
  try {
    secret = readFileSync(file, "utf8").trim();
  } catch (error) {
    return failed(`Cannot read the token file: ${(error as Error).message}`);
  }
  if (secret.length < minimumTokenLength || /[^\x21-\x7e]/.test(secret)) {
    return failed(
      `Token file ${file}: expected at least ${minimumTokenLength} visible ASCII characters`,
    );
  }
  return ok(new Token(secret));
}

/** Reports whether a host can only be reached from this machine. */
export function isLoopbackHost(host: string): boolean {
  return host === "localhost" || host === "::1" ||
    (isIP(host) === 4 && host.startsWith("127."));
}

function getDigest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}
