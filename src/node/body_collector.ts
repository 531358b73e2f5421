import type { IncomingMessage } from "node:http";
import {
  type BodyMemoryBudget,
  maximumBufferedBodyBytes,
} from "./body_memory_budget.ts";

/** Why a body is not buffered: its own size, or that of all buffered bodies. */
export type OverflowCause = "body-size" | "memory-budget";

/** Receives a collected body. */
export interface BodyCollectorEvents {
  /** The body is complete. The receiver releases its reserved bytes. */
  onBody(body: Buffer): void;
  /**
   * The body is too large or the memory budget is used up. Its reserved bytes
   * were released. The message is paused after the last of the chunks.
   */
  onOverflow(chunks: readonly Buffer[], cause: OverflowCause): void;
  /** The message was aborted before its end. */
  onAborted(message: string): void;
}

const noBytes = Buffer.alloc(0);

/** Buffers a small body of a request or a response. */
export class BodyCollector {
  readonly #message: IncomingMessage;
  readonly #memory: BodyMemoryBudget;
  readonly #events: BodyCollectorEvents;
  #firstChunk: Buffer | undefined;
  #laterChunks: Buffer[] | undefined;
  #size = 0;
  #isDone = false;

  /**
   * @param message Message whose body was not read yet.
   * @param memory Budget in which the bytes are reserved.
   * @param events Receiver of the body.
   */
  constructor(
    message: IncomingMessage,
    memory: BodyMemoryBudget,
    events: BodyCollectorEvents,
  ) {
    this.#message = message;
    this.#memory = memory;
    this.#events = events;
    message.on("data", this.#onData);
    message.on("end", this.#onEnd);
    message.on("error", this.#onClose);
    message.on("close", this.#onClose);
  }

  /** Stops without an event and releases the reserved bytes. */
  stop(): void {
    if (!this.#isDone) {
      this.#finish();
      this.#memory.release(this.#size);
    }
  }

  readonly #onData = (chunk: Buffer): void => {
    const size = this.#size + chunk.length;
    if (size > maximumBufferedBodyBytes) {
      this.#overflow(chunk, "body-size");
      return;
    }
    if (!this.#memory.reserve(chunk.length)) {
      this.#overflow(chunk, "memory-budget");
      return;
    }
    this.#size = size;
    if (this.#firstChunk === undefined) {
      this.#firstChunk = chunk;
    } else {
      (this.#laterChunks ??= []).push(chunk);
    }
  };

  readonly #onEnd = (): void => {
    if (this.#isDone) {
      return;
    }
    this.#finish();
    if (!this.#message.complete) {
      this.#memory.release(this.#size);
      this.#events.onAborted("the message is shorter than its length");
      return;
    }
    const first = this.#firstChunk ?? noBytes;
    this.#events.onBody(
      this.#laterChunks === undefined
        ? first
        : Buffer.concat([first, ...this.#laterChunks]),
    );
  };

  readonly #onClose = (): void => {
    if (!this.#isDone) {
      this.#finish();
      this.#memory.release(this.#size);
      this.#events.onAborted("the connection closed before the message ended");
    }
  };

  #overflow(lastChunk: Buffer, cause: OverflowCause): void {
    this.#finish();
    this.#memory.release(this.#size);
    this.#message.pause();
    const chunks = this.#firstChunk === undefined ? [] : [this.#firstChunk];
    this.#events.onOverflow(
      [...chunks, ...(this.#laterChunks ?? []), lastChunk],
      cause,
    );
  }

  #finish(): void {
    this.#isDone = true;
    this.#message.off("data", this.#onData);
    this.#message.off("end", this.#onEnd);
    this.#message.off("close", this.#onClose);
    // The error listener stays, because an error without one would be thrown.
  }
}
