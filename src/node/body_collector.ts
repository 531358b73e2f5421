import type { IncomingMessage } from "node:http";
import {
  type BodyMemoryBudget,
  maximumBufferedBodyBytes,
} from "./body_memory_budget.ts";
import { ByteBuffer } from "./byte_buffer.ts";

/** Why a body is not buffered: its own size, or that of all buffered bodies. */
export type OverflowCause = "body-size" | "memory-budget";

/** Receives a collected body. */
export interface BodyCollectorEvents {
  /** The body is complete. The receiver releases its reserved bytes. */
  onBody(body: Buffer): void;
  /**
   * The body is too large or the memory budget is used up. The message is paused
   * after the last of the chunks; its reserved bytes are released once it is
   * resumed or closed.
   */
  onOverflow(chunks: readonly Buffer[], cause: OverflowCause): void;
  /** The message was aborted before its end. */
  onAborted(message: string): void;
}

/** Buffers a small body of a request or a response. */
export class BodyCollector {
  readonly #message: IncomingMessage;
  readonly #memory: BodyMemoryBudget;
  readonly #events: BodyCollectorEvents;
  readonly #maximumBytes: number;
  readonly #buffer = new ByteBuffer();
  #isDone = false;

  /**
   * @param message Message whose body was not read yet.
   * @param memory Budget in which the bytes are reserved.
   * @param events Receiver of the body.
   * @param maximumBytes Maximum size of a body that is buffered.
   */
  constructor(
    message: IncomingMessage,
    memory: BodyMemoryBudget,
    events: BodyCollectorEvents,
    maximumBytes = maximumBufferedBodyBytes,
  ) {
    this.#message = message;
    this.#memory = memory;
    this.#events = events;
    this.#maximumBytes = maximumBytes;
    message.on("data", this.#onData);
    message.on("end", this.#onEnd);
    message.on("error", this.#onClose);
    message.on("close", this.#onClose);
  }

  /** Stops without an event and releases the reserved bytes. */
  stop(): void {
    if (!this.#isDone) {
      this.#finish();
      this.#memory.release(this.#buffer.size);
    }
  }

  readonly #onData = (chunk: Buffer): void => {
    if (this.#buffer.size + chunk.length > this.#maximumBytes) {
      this.#overflow(chunk, "body-size");
      return;
    }
    if (!this.#memory.reserve(chunk.length)) {
      this.#overflow(chunk, "memory-budget");
      return;
    }
    this.#buffer.append(chunk);
  };

  readonly #onEnd = (): void => {
    if (this.#isDone) {
      return;
    }
    this.#finish();
    if (!this.#message.complete) {
      this.#memory.release(this.#buffer.size);
      this.#events.onAborted("the message is shorter than its length");
      return;
    }
    this.#events.onBody(this.#buffer.take());
  };

  readonly #onClose = (): void => {
    if (!this.#isDone) {
      this.#finish();
      this.#memory.release(this.#buffer.size);
      this.#events.onAborted("the connection closed before the message ended");
    }
  };

  #overflow(lastChunk: Buffer, cause: OverflowCause): void {
    this.#finish();
    this.#message.pause();
    this.#releaseAfterPause(this.#buffer.size);
    const chunks = this.#buffer.size === 0 ? [] : [this.#buffer.take()];
    this.#events.onOverflow([...chunks, lastChunk], cause);
  }

  /** The chunks stay in memory while their call waits for a target. */
  #releaseAfterPause(bytes: number): void {
    const message = this.#message;
    const release = (): void => {
      message.off("resume", release);
      message.off("close", release);
      this.#memory.release(bytes);
    };
    message.on("resume", release);
    message.on("close", release);
  }

  #finish(): void {
    this.#isDone = true;
    this.#message.off("data", this.#onData);
    this.#message.off("end", this.#onEnd);
    this.#message.off("close", this.#onClose);
    // The error listener stays, because an error without one would be thrown.
  }
}
