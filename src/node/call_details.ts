import { getBytesHash } from "../common/mod.ts";
import type { RoutePlan } from "./document_view.ts";
import type { BodySource } from "./exchange.ts";
import { setContentLength } from "./forwarded_headers.ts";

/** Details of a call at one node; the same for all of its attempts. */
export interface CallDetails {
  readonly plan: RoutePlan;
  readonly requestId: string;
  readonly caller: string;
  /** Tenant whose name targets get in `dogwoodwalk-tenant`; absent for none. */
  readonly tenant?: string | undefined;
  readonly classIndex: number;
  /** Length of the call chain, including this call. */
  readonly depth: number;
  /** Stable hash of the request identity. */
  readonly hash: number;
  /** Ledger index that the origin's node knew when it sent the call. */
  readonly entryIndex: number;
  /** Monotonic time, in milliseconds. */
  readonly deadlineMilliseconds: number;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** Alternating header names and values for the next hop, with its framing. */
  readonly headers: string[];
  /** Idempotency key, as `getScopedKey` returns it; `undefined` when absent. */
  readonly key: string | undefined;
  /** Whether its key must be claimed at the ledger before the call runs. */
  readonly needsClaim: boolean;
}

/** Body of a call: either buffered or streamed. */
export interface CallBody {
  readonly body: Buffer | undefined;
  readonly source: BodySource | undefined;
  /** Content-Length of a streamed body; -1 when chunked. */
  readonly streamedLength: number;
}

/** Body of a call that has none. */
export const emptyBody: CallBody = {
  body: Buffer.alloc(0),
  source: undefined,
  streamedLength: 0,
};

const bodylessMethods = new Set([
  "GET",
  "HEAD",
  "DELETE",
  "OPTIONS",
  "TRACE",
]);

/**
 * Sets the headers that frame a body: Content-Length or Transfer-Encoding.
 * @param details The call; its headers are changed in place.
 * @param body The body that will be sent.
 */
export function setFramingHeaders(
  details: Pick<CallDetails, "headers" | "method">,
  body: CallBody,
): void {
  if (body.body !== undefined) {
    if (body.body.length > 0 || !bodylessMethods.has(details.method)) {
      setContentLength(details.headers, body.body.length);
    }
  } else if (body.streamedLength < 0) {
    details.headers.push("Transfer-Encoding", "chunked");
  }
}

/**
 * Checks whether a small response to the call is buffered until complete, so
 * that an aborted one can be retried and a complete one stored in the ledger.
 */
export function isResponseBuffered(details: CallDetails): boolean {
  return details.plan.route.idempotent || details.needsClaim;
}

/** Gets a short hash of a key for log lines, which must not contain keys. */
export function getKeyHash(key: string): string {
  return getBytesHash(Buffer.from(key));
}
