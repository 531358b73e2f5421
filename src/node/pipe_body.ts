import type { IncomingMessage } from "node:http";
import type { Writable } from "node:stream";

/** Settings of {@link pipeBody}. */
export interface PipeBodyOptions {
  /** Chunks that were read before. */
  readonly chunks: readonly Buffer[];
  /** Most bytes that may pass. */
  readonly limit: number;
  /**
   * Called once.
   * @param fault What went wrong; `undefined` when the whole body passed.
   * @param bytes The bytes that passed.
   */
  onEnd(fault: PipeBodyError | undefined, bytes: number): void;
}

/** Why a body did not pass whole. */
export type PipeBodyError = "broken" | "too-large";

/**
 * Passes a large body on with back-pressure. The end of the source ends the
 * destination only when the source was complete.
 * @param source Where the body comes from.
 * @param destination Where it goes.
 * @param options Chunks read before, limit and end.
 */
export function pipeBody(
  source: IncomingMessage,
  destination: Writable,
  options: PipeBodyOptions,
): void {
  let bytes = 0;
  let isDone = false;
  const finish = (fault: PipeBodyError | undefined): void => {
    if (isDone) {
      return;
    }
    isDone = true;
    source.off("data", onData);
    destination.off("drain", onDrain);
    destination.off("close", onClose);
    if (fault === undefined) {
      destination.end();
    }
    options.onEnd(fault, bytes);
  };
  const onData = (chunk: Buffer): void => {
    bytes += chunk.length;
    if (bytes > options.limit) {
      source.pause();
      finish("too-large");
    } else if (!destination.write(chunk)) {
      source.pause();
    }
  };
  const onDrain = (): void => {
    source.resume();
  };
  // A paused source would otherwise wait for a receiver that has left.
  const onClose = (): void => finish("broken");
  destination.on("drain", onDrain);
  destination.on("close", onClose);
  source.on("data", onData);
  source.on("end", () => finish(source.complete ? undefined : "broken"));
  source.on("error", () => finish("broken"));
  source.on("close", () => finish("broken"));
  for (const chunk of options.chunks) {
    onData(chunk);
  }
  if (!destination.writableNeedDrain && !isDone) {
    source.resume();
  }
}
