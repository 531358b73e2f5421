import { createHash, timingSafeEqual } from "node:crypto";
import { readFileSync } from "node:fs";
import { isIP } from "node:net";
import { failed, ok, type Result } from "../common/mod.ts";

/** Shortest token that is accepted, in characters. */
const shortestToken = 16;

/** A shared secret that shows itself in no log or message. */
export class Token {
  readonly #secret: string;
  readonly #digest: Buffer;

  /**
   * @param secret The text of the token file, without space around it.
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
   * Reports whether a value of the `authorization` metadata carries the token.
   * Digests of equal length are compared, so that the time tells nothing.
   */
  isValidAuthorizationHeader(value: string): boolean {
    return timingSafeEqual(getDigest(value), this.#digest);
  }

  /** Gets the secret, for the metadata of other slices; never to be logged. */
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
 * @param file Its path; `undefined` when there is none.
 * @returns The token, no token, or why the file cannot be used.
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
  if (secret.length < shortestToken || /[^\x21-\x7e]/.test(secret)) {
    return failed(
      `Token file ${file}: expected at least ${shortestToken} visible ASCII characters`,
    );
  }
  return ok(new Token(secret));
}

/** Reports whether a host is reached from this machine only. */
export function isLoopbackHost(host: string): boolean {
  return host === "localhost" || host === "::1" ||
    (isIP(host) === 4 && host.startsWith("127."));
}

function getDigest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}
