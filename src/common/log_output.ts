import { destination } from "pino";

/** Lines that wait are dropped above this size, in bytes. */
const maximumWaitingBytes = 1024 * 1024;
/** Lines are collected up to this size, in bytes, before they are written. */
const collectedBytes = 4096;
/** Longest time for which lines are collected. */
const flushMilliseconds = 250;

/** Output that never blocks the process. */
export interface LogOutput {
  /** Takes a line with its end, or drops it when too much waits. */
  write(line: string): void;
  /** Writes what waits, before the process ends. */
  flush(): void;
}

/**
 * Creates an output to standard output. When the reader is slow, lines are
 * dropped and counted in place of them.
 * @param fileDescriptor Where to write; standard output by default.
 * @returns The output.
 */
export function createLogOutput(fileDescriptor = 1): LogOutput {
  const stream = destination({
    dest: fileDescriptor,
    sync: false,
    minLength: collectedBytes,
    maxLength: maximumWaitingBytes,
  });
  let dropped = 0;
  stream.on("drop", () => dropped++);
  // A closed reader must not end the process.
  stream.on("error", () => {});
  setInterval(() => {
    if (dropped > 0) {
      const count = dropped;
      dropped = 0;
      stream.write(`level=warn dropped=${count} event="log lines dropped"\n`);
    }
    stream.flush();
  }, flushMilliseconds).unref();
  return {
    write: (line) => void stream.write(line),
    flush: () => stream.flushSync(),
  };
}
