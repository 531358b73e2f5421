/** A response that was received completely. */
export interface ParsedResponse {
  readonly status: number;
  /** Values by lower-case name. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
}

const headEnd = Buffer.from("\r\n\r\n");

/**
 * Parses the responses on a connection with pipelined requests, which the client
 * of `node:http` does not support. Every response must have a Content-Length.
 */
export class ResponseParser {
  #pending: Buffer[] = [];
  #pendingBytes = 0;
  #head: Omit<ParsedResponse, "body"> | undefined;
  #bodyBytes = 0;

  /** Reports whether a response has been received in part. */
  get hasPartialResponse(): boolean {
    return this.#head !== undefined || this.#pendingBytes > 0;
  }

  /**
   * Adds received bytes.
   * @param chunk The bytes.
   * @returns The responses that are complete now.
   * @throws {Error} If a head is malformed.
   */
  push(chunk: Buffer): ParsedResponse[] {
    this.#pending.push(chunk);
    this.#pendingBytes += chunk.length;
    const responses: ParsedResponse[] = [];
    while (this.#head !== undefined || this.#readHead()) {
      const body = this.#takeBody();
      if (body === undefined) {
        break;
      }
      responses.push({ ...this.#head as ParsedResponse, body });
      this.#head = undefined;
    }
    return responses;
  }

  #readHead(): boolean {
    const bytes = this.#joinPending();
    const end = bytes.indexOf(headEnd);
    if (end < 0) {
      return false;
    }
    this.#head = parseHead(bytes.subarray(0, end).toString("latin1"));
    this.#bodyBytes = Number(this.#head.headers.get("content-length"));
    this.#setPending(bytes.subarray(end + headEnd.length));
    return true;
  }

  #takeBody(): Buffer | undefined {
    if (this.#pendingBytes < this.#bodyBytes) {
      return undefined;
    }
    const bytes = this.#joinPending();
    this.#setPending(bytes.subarray(this.#bodyBytes));
    return bytes.subarray(0, this.#bodyBytes);
  }

  #joinPending(): Buffer {
    const [first] = this.#pending;
    return this.#pending.length === 1 && first !== undefined
      ? first
      : Buffer.concat(this.#pending);
  }

  #setPending(bytes: Buffer): void {
    this.#pending = [bytes];
    this.#pendingBytes = bytes.length;
  }
}

function parseHead(text: string): Omit<ParsedResponse, "body"> {
  const [statusLine = "", ...lines] = text.split("\r\n");
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(statusLine)?.[1]);
  const headers = new Map(lines.map((line) => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
  if (!(status >= 200) || !/^\d+$/.test(headers.get("content-length") ?? "")) {
    throw new Error(`Malformed response head: ${text}`);
  }
  return { status, headers };
}
