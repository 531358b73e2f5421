import { request } from "node:http";

/** A response that was received completely. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly bytes: Buffer;
  /** The body as text. */
  readonly body: string;
}

/** A call that a test sends. */
export interface HttpCall {
  readonly port: number;
  readonly method?: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  readonly signal?: AbortSignal;
}

/**
 * Sends one request to a loopback port on a connection of its own.
 * @param call The request.
 * @returns The complete response; rejected if the connection fails.
 */
export function sendCall(call: HttpCall): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host: "127.0.0.1",
      port: call.port,
      method: call.method ?? "GET",
      path: call.path,
      headers: call.headers,
      agent: false,
      maxHeaderSize: 128 * 1024,
      signal: call.signal,
    }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", reject);
      response.on("end", () => {
        const bytes = Buffer.concat(chunks);
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          bytes,
          body: bytes.toString(),
        });
      });
    });
    outgoing.on("error", reject);
    outgoing.end(call.body);
  });
}

/**
 * Waits until a condition holds.
 * @param condition The condition, checked every 5 ms.
 * @param timeoutMilliseconds Time after which the wait fails.
 */
export async function waitFor(
  condition: () => boolean | Promise<boolean>,
  timeoutMilliseconds = 10_000,
): Promise<void> {
  const end = performance.now() + timeoutMilliseconds;
  while (!await condition()) {
    if (performance.now() > end) {
      throw new Error(
        `The condition did not hold within ${timeoutMilliseconds} ms: ` +
          condition.toString(),
      );
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
