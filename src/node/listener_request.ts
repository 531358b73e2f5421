import { IncomingMessage } from "node:http";
import { ByteBuffer } from "./byte_buffer.ts";

/** A chunk of at least this size is passed on by itself. */
const smallChunkBytes = 1024;
/** Size at which joined chunks are passed on; that of the stream's own buffer. */
const joinedBytes = 16 * 1024;

/**
 * A request of an {@link HttpListener} that joins the small chunks of its body.
 * Node.js keeps a buffer of its own for each chunk of a message, which takes
 * some 300 bytes for a chunk of one byte, and limits only the sum of their sizes.
 */
export class ListenerRequest extends IncomingMessage {
  readonly #smallChunks = new ByteBuffer();
  #isFlushScheduled = false;

  /** Receives a chunk from the HTTP parser; `null` at the end of the body. */
  override push(chunk: Buffer | null): boolean {
    if (chunk === null || chunk.length >= smallChunkBytes) {
      this.#flush();
      return super.push(chunk);
    }
    this.#smallChunks.append(chunk);
    if (this.#smallChunks.size >= joinedBytes) {
      return this.#flush();
    }
    if (!this.#isFlushScheduled) {
      this.#isFlushScheduled = true;
      setImmediate(() => {
        this.#isFlushScheduled = false;
        this.#flush();
      });
    }
    // The rest of what was read from the socket arrives in any case.
    return this.readableLength < this.readableHighWaterMark;
  }

  #flush(): boolean {
    return this.#smallChunks.size === 0 || this.destroyed ||
      super.push(this.#smallChunks.take());
  }
}
