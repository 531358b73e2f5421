import { destination } from "pino";

/** Further lines are dropped while this much output waits to be written. */
const maximumBufferedBytes = 1024 * 1024;
/** Lines are buffered up to this size, so that they are written in batches. */
const writeBatchBytes = 4096;
/** Interval at which buffered lines are written even when they are few. */
const flushIntervalMilliseconds = 250;

/** Log output whose writes never block the process. */
export interface LogOutput {
  /** Buffers a line with its line break; drops it when the buffer is full. */
  write(line: string): void;
  /** Writes all buffered lines and blocks until done; for process exit. */
  flush(): void;
  /**
   * Starts to write all buffered lines.
   * @param onWritten Called when they are written or cannot be.
   */
  drain(onWritten: () => void): void;
}

/**
 * Creates an asynchronous log output. When the reader is too slow, lines are
 * dropped, and a line with the number of dropped lines is written.
 * @param fileDescriptor Where to write; standard output by default.
 * @returns The output.
 */
export function createLogOutput(fileDescriptor = 1): LogOutput {
  const stream = destination({
    dest: fileDescriptor,
    sync: false,
    minLength: writeBatchBytes,
    maxLength: maximumBufferedBytes,
  });
  let droppedLineCount = 0;
  stream.on("drop", () => droppedLineCount++);
  // A write error, such as a closed pipe, must not end the process.
  stream.on("error", () => {});
  setInterval(() => {
    if (droppedLineCount > 0) {
      const count = droppedLineCount;
      droppedLineCount = 0;
      stream.write(`level=warn dropped=${count} event="log lines dropped"\n`);
    }
    stream.flush();
  }, flushIntervalMilliseconds).unref();
  return {
    write: (line) => void stream.write(line),
    flush: () => stream.flushSync(),
    drain: (onWritten) => stream.flush(() => onWritten()),
  };
}
