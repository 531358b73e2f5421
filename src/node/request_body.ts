import type { IncomingMessage } from "node:http";
import { BodyCollector, type OverflowCause } from "./body_collector.ts";
import {
  type BodyMemoryBudget,
  maximumBufferedBodyBytes,
} from "./body_memory_budget.ts";
import { type CallBody, emptyBody } from "./call_details.ts";
import { maximumStreamedBodyBytes } from "./exchange.ts";
import type { ForwardedHeaders } from "./forwarded_headers.ts";

/** Receives the body of a request. */
export interface RequestBodyEvents {
  /** The receiver releases the reserved bytes of a buffered body. */
  onBody(body: CallBody): void;
  /** The body exceeds the limit. */
  onTooLarge(message: string): void;
  /** The body must be buffered, and the node buffers too many bodies. */
  onMemoryExhausted(): void;
  onAborted(message: string): void;
}

/** Maximum size of a body that is buffered to recognize its call. */
const maximumRecognizedBodyBytes = 1024 * 1024;

/** Settings of {@link readRequestBody}. */
export interface RequestBodyOptions {
  readonly framing: Pick<ForwardedHeaders, "contentLength" | "isChunked">;
  readonly memory: BodyMemoryBudget;
  /** Maximum size of the body; that of a streamed one when absent. */
  readonly maximumBytes?: number | undefined;
  /**
   * Whether longer bodies are buffered too, because the node has to know
   * whether the call is a suspect; false when absent.
   */
  readonly mustRecognize?: boolean;
  /** Whether the body must be buffered, because the call has a key. */
  readonly mustBuffer: boolean;
  readonly events: RequestBodyEvents;
}

/**
 * Reads the body of a request. A small body is buffered, a larger one streamed.
 * @param message The request.
 * @param options Framing, memory budget and receiver of the body.
 * @returns A collector to stop when the call ends earlier; `undefined` when an
 * event was already called.
 */
export function readRequestBody(
  message: IncomingMessage,
  options: RequestBodyOptions,
): BodyCollector | undefined {
  const { framing, events, mustBuffer: mustBuffer } = options;
  if (framing.contentLength <= 0 && !framing.isChunked) {
    events.onBody(emptyBody);
    return undefined;
  }
  const limit = Math.min(
    options.maximumBytes ?? Infinity,
    maximumStreamedBodyBytes,
  );
  const tooLarge = `the body is larger than ${limit} bytes`;
  if (framing.contentLength > limit) {
    events.onTooLarge(tooLarge);
    return undefined;
  }
  const streamedLength = framing.isChunked ? -1 : framing.contentLength;
  const overflow = (chunks: readonly Buffer[], cause: OverflowCause): void => {
    const bytes = chunks.reduce((sum, each) => sum + each.length, 0);
    if (bytes > limit) {
      // No byte was sent to a target yet.
      events.onTooLarge(tooLarge);
    } else if (!mustBuffer) {
      const source = { message, chunks, limit };
      events.onBody({ body: undefined, source, streamedLength });
    } else if (cause === "memory-budget") {
      events.onMemoryExhausted();
    } else {
      events.onTooLarge(
        `the body of a call with a key exceeds ${maximumBufferedBodyBytes} bytes`,
      );
    }
  };
  const { mustRecognize = false } = options;
  if (framing.contentLength > maximumBufferedBodyBytes && !mustRecognize) {
    overflow([], "body-size");
    return undefined;
  }
  return new BodyCollector(message, options.memory, {
    onBody: (body) => {
      if (body.length > limit) {
        options.memory.release(body.length);
        events.onTooLarge(tooLarge);
      } else {
        events.onBody({ body, source: undefined, streamedLength: 0 });
      }
    },
    onOverflow: overflow,
    onAborted: (text) => events.onAborted(text),
  }, mustRecognize ? maximumRecognizedBodyBytes : maximumBufferedBodyBytes);
}
