import {
  UnexpectedErrors,
  type UnexpectedErrorsOptions,
} from "./unexpected_errors.ts";

/** Exit code after errors that no code handled. */
const unexpectedErrorExitCode = 1;

/**
 * Handles errors and rejected promises that no other code of this process
 * handles. Without this, the first one ends the process.
 * @param options How to react, and `flush`, which is called before the exit.
 */
export function handleUnexpectedErrors(
  options: UnexpectedErrorsOptions & { flush?(): void },
): void {
  const errors = new UnexpectedErrors(options);
  // Rejected promises without a handler raise this event, too.
  process.on("uncaughtException", (error) => {
    if (errors.record(error) === "end") {
      options.flush?.();
      process.exit(unexpectedErrorExitCode);
    }
  });
}
