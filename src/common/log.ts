import { pino } from "pino";

/** Values that a log line can carry. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes one line of key=value pairs per event. */
export interface Log {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Settings of a log. */
export interface LogOptions {
  /** Written on every line, such as the process's name. */
  readonly base?: LogFields;
  /** Receives each line with its end; standard error by default. */
  readonly write?: (line: string) => void;
}

const plainValue = /^[^\s"=]+$/;

/**
 * Formats fields as key=value pairs; values with spaces are quoted.
 * @param fields The fields, in the order to write them.
 * @returns One line without its end.
 */
export function formatKeyValues(fields: LogFields): string {
  const pairs: string[] = [];
  for (const [key, value] of Object.entries(fields)) {
    if (value === undefined) {
      continue;
    }
    const text = String(value);
    pairs.push(
      `${key}=${plainValue.test(text) ? text : JSON.stringify(text)}`,
    );
  }
  return pairs.join(" ");
}

/**
 * Creates a log. pino decides levels and times; its records are written as
 * key=value lines.
 * @param options Fields of every line and the destination.
 * @returns The log.
 */
export function createLog(options: LogOptions = {}): Log {
  const write = options.write ?? ((line) => process.stderr.write(line));
  const destination = {
    write: (record: string) =>
      write(formatKeyValues(JSON.parse(record) as LogFields) + "\n"),
  };
  const logger = pino({
    base: options.base ?? {},
    messageKey: "event",
    timestamp: pino.stdTimeFunctions.isoTime,
    formatters: { level: (label) => ({ level: label }) },
  }, destination);
  return {
    info: (event, fields = {}) => logger.info(fields, event),
    warn: (event, fields = {}) => logger.warn(fields, event),
    error: (event, fields = {}) => logger.error(fields, event),
  };
}
