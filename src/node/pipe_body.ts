import type { IncomingMessage } from "node:http";
import type { Writable } from "node:stream";

/** Settings of {@link pipeBody}. */
export interface PipeBodyOptions {
  /** Chunks that were already read from the source. */
  readonly chunks: readonly Buffer[];
  /** Maximum size of the body, in bytes. */
  readonly limit: number;
  /** Called with each chunk before it is written. */
  onChunk?(chunk: Buffer): void;
  /** Called when the destination takes no further bytes for now. */
  onBlocked?(): void;
  /** Called when the destination took what was written. */
  onDrain?(): void;
  /**
   * Called once, at the end.
   * @param error Why the body is incomplete; `undefined` when it is complete.
   * @param bytes Number of bytes that were read.
   */
  onEnd(error: PipeBodyError | undefined, bytes: number): void;
}

/** Why a body was not transferred completely. */
export type PipeBodyError =
  | "source-aborted"
  | "destination-closed"
  | "too-large"
  /** The transfer was aborted by its owner. */
  | "stopped";

/** A body that is being transferred. */
export interface BodyTransfer {
  /** Ends the transfer before the body is complete. */
  abort(): void;
}

/**
 * Transfers a large body with back-pressure. The destination is ended only when
 * the source was complete.
 * @param source Message to read the body from.
 * @param destination Stream to write the body to.
 * @param options Chunks already read, size limit and listeners.
 * @returns The transfer.
 */
export function pipeBody(
  source: IncomingMessage,
  destination: Writable,
  options: PipeBodyOptions,
): BodyTransfer {
  let bytes = 0;
  let isDone = false;
  const finish = (error: PipeBodyError | undefined): void => {
    if (isDone) {
      return;
    }
    isDone = true;
    source.off("data", onData);
    destination.off("drain", onDrain);
    destination.off("close", onClose);
    if (error === undefined) {
      destination.end();
    } else {
      // An unread rest would block the next message of the connection.
      source.resume();
    }
    options.onEnd(error, bytes);
  };
  const onData = (chunk: Buffer): void => {
    bytes += chunk.length;
    if (bytes > options.limit) {
      finish("too-large");
      return;
    }
    options.onChunk?.(chunk);
    if (!destination.write(chunk)) {
      source.pause();
      options.onBlocked?.();
    }
  };
  const onDrain = (): void => {
    options.onDrain?.();
    source.resume();
  };
  // Otherwise a paused source would wait forever for a closed destination.
  const onClose = (): void => finish("destination-closed");
  destination.on("drain", onDrain);
  destination.on("close", onClose);
  source.on("data", onData);
  const onSourceAborted = (): void => finish("source-aborted");
  source.on(
    "end",
    () => source.complete ? finish(undefined) : onSourceAborted(),
  );
  source.on("error", onSourceAborted);
  source.on("close", onSourceAborted);
  for (const chunk of options.chunks) {
    onData(chunk);
  }
  if (!destination.writableNeedDrain && !isDone) {
    source.resume();
  }
  return { abort: () => finish("stopped") };
}
