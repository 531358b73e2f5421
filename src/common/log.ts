import { pino } from "pino";

/** Fields of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes one line of key=value pairs per event. */
export interface Log {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Options of {@link createLog}. */
export interface LogOptions {
  /** Fields of every line, such as the name of the process. */
  readonly base?: LogFields;
  /** Receives each line with its line break; standard error by default. */
  readonly write?: (line: string) => void;
}

const unquotedValuePattern = /^[^\s"=]+$/;

/**
 * Formats fields as key=value pairs. Values that are empty or contain spaces,
 * quotes or equals signs are quoted; undefined values are left out.
 * @param fields The fields, in the order to write them.
 * @returns One line without a line break.
 */
export function formatKeyValues(fields: LogFields): string {
  const keyValuePairs: string[] = [];
  for (const [key, value] of Object.entries(fields)) {
    if (value === undefined) {
      continue;
    }
    const text = String(value);
    keyValuePairs.push(
      `${key}=${unquotedValuePattern.test(text) ? text : JSON.stringify(text)}`,
    );
  }
  return keyValuePairs.join(" ");
}

/**
 * Creates a log. pino adds the level and the time; its JSON records are
 * reformatted as key=value lines.
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
