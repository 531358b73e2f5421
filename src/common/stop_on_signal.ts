import type { Log } from "./log.ts";

/** Exit code when the stop failed. */
const stopFailedExitCode = 1;
/** Time that buffered log lines have to be written before a forced end. */
const flushLimitMilliseconds = 100;
const pollIntervalMilliseconds = 10;

/** A process that can be stopped. */
export interface Stoppable {
  /**
   * Stops gracefully.
   * @returns The exit code.
   */
  stop(): Promise<number>;
}

/** Options of {@link stopOnSignal}. */
export interface StopOnSignalOptions {
  readonly signals: readonly NodeJS.Signals[];
  /** Time after the signal at which the process ends in any case. */
  readonly limitMilliseconds: number;
  readonly log: Log;
  /**
   * Starts to write the buffered log lines.
   * @param onWritten Called when they are written or cannot be.
   */
  flush(onWritten: () => void): void;
}

/**
 * Ends the process gracefully at a signal, and by force at a limit that is
 * measured from the signal. To be called before the process starts to listen: a
 * signal that has no handler ends the process at once.
 * @param options Signals, limit and log.
 * @returns A function to call with what is to be stopped once it has started. A
 * signal during the start takes effect then.
 */
export function stopOnSignal(
  options: StopOnSignalOptions,
): (started: Stoppable) => void {
  const { log, limitMilliseconds } = options;
  let started: Stoppable | undefined;
  let isRequested = false;
  let isStopping = false;
  const stop = () => {
    if (isRequested && started !== undefined && !isStopping) {
      isStopping = true;
      void stopAndExit(started, options);
    }
  };
  for (const signal of options.signals) {
    process.on(signal, () => {
      if (isRequested) {
        return;
      }
      isRequested = true;
      log.info("stopping", { signal, hasStarted: started !== undefined });
      setTimeout(() => {
        log.error("stop limit reached", { limitMilliseconds });
        const timer = setTimeout(endByForce, flushLimitMilliseconds);
        options.flush(() => {
          clearTimeout(timer);
          endByForce();
        });
      }, Math.max(0, limitMilliseconds - flushLimitMilliseconds));
      stop();
    });
  }
  return (value) => {
    started = value;
    stop();
  };
}

async function stopAndExit(
  started: Stoppable,
  { log, flush }: StopOnSignalOptions,
): Promise<void> {
  let code = stopFailedExitCode;
  try {
    code = await started.stop();
    log.info("stopped", { code });
  } catch (error) {
    log.error("stop failed", { reason: (error as Error).message });
  }
  await new Promise<void>(flush);
  // process.exit() blocks until the file operations in progress have ended. If
  // one never does, the process ends at the limit.
  while (hasFileOperations()) {
    await new Promise((resolve) =>
      setTimeout(resolve, pollIntervalMilliseconds)
    );
  }
  process.exit(code);
}

function hasFileOperations(): boolean {
  return process.getActiveResourcesInfo().some((each) =>
    each.startsWith("FSReq")
  );
}

/** Ends the process without process.exit(), which can block. */
function endByForce(): void {
  process.kill(process.pid, "SIGKILL");
}
