import type { Finding } from "../common/mod.ts";

/** Constraints on a number. */
export interface NumberRange {
  readonly minimum: number;
  readonly maximum: number;
  readonly isInteger: boolean;
  /** Value when the key is absent; without a fallback the key is required. */
  readonly fallback?: number;
}

/** Gets the line of a dotted key, or 0 when it is not in the file. */
export type GetKeyLine = (key: string) => number;

/**
 * Reads the keys of one TOML table, and adds a finding for each key that is
 * missing, unknown, of the wrong type or out of range.
 */
export class TomlTableReader {
  readonly #table: Readonly<Record<string, unknown>>;
  readonly #consumedKeys = new Set<string>();

  /**
   * @param table The parsed table.
   * @param path Dotted path of the table; empty for the top level.
   * @param context The file, the lines of its keys and the list of findings.
   */
  constructor(
    table: Readonly<Record<string, unknown>>,
    readonly path: string,
    readonly context: TomlReadContext,
  ) {
    this.#table = table;
  }

  /**
   * Adds a finding about a key of this table.
   * @param key The key; empty for the table itself.
   * @param message Description of the error.
   */
  addFinding(key: string, message: string): void {
    const path = this.getPath(key);
    this.context.findings.push({
      file: this.context.file,
      line: this.context.getLine(path) || this.context.getLine(this.path),
      key: path,
      message,
    });
  }

  /**
   * Gets the dotted path of a key of this table.
   * @param key The key; empty for the table itself.
   * @returns The path.
   */
  getPath(key: string): string {
    return [this.path, key].filter((part) => part !== "").join(".");
  }

  /** Reports whether the table has the key. */
  hasKey(key: string): boolean {
    return this.#table[key] !== undefined;
  }

  /** Reads a number within a range. */
  readNumber(key: string, range: NumberRange): number {
    const value = this.#readValue(key);
    if (value === undefined) {
      if (range.fallback === undefined) {
        this.addFinding(key, "Missing key");
      }
      return range.fallback ?? range.minimum;
    }
    const isNumber = typeof value === "number" && Number.isFinite(value) &&
      (!range.isInteger || Number.isInteger(value));
    if (!isNumber || value < range.minimum || value > range.maximum) {
      const kind = range.isInteger ? "a whole number" : "a number";
      this.addFinding(
        key,
        `Expected ${kind} from ${range.minimum} to ${range.maximum}`,
      );
      return range.fallback ?? range.minimum;
    }
    return value;
  }

  /** Reads a non-empty string; `undefined` when an optional key is absent. */
  readString(key: string, options: { optional: true }): string | undefined;
  readString(key: string, options?: { optional?: false }): string;
  readString(
    key: string,
    options: { optional?: boolean } = {},
  ): string | undefined {
    const value = this.#readValue(key);
    if (value === undefined) {
      if (options.optional) {
        return undefined;
      }
      this.addFinding(key, "Missing key");
      return "";
    }
    if (typeof value !== "string" || value === "") {
      this.addFinding(key, "Expected a text that is not empty");
      return options.optional ? undefined : "";
    }
    return value;
  }

  /** Reads a string that must be one of the given choices. */
  readChoice<Choice extends string>(
    key: string,
    choices: readonly Choice[],
    fallback?: Choice,
  ): Choice {
    const value = this.#readValue(key);
    if (value === undefined && fallback !== undefined) {
      return fallback;
    }
    const choice = choices.find((each) => each === value);
    if (choice === undefined) {
      const names = choices.map((each) => `"${each}"`).join(", ");
      this.addFinding(
        key,
        value === undefined ? "Missing key" : `Expected one of ${names}`,
      );
    }
    return choice ?? (choices[0] as Choice);
  }

  /** Reads a boolean. */
  readBoolean(key: string, fallback?: boolean): boolean {
    const value = this.#readValue(key);
    if (typeof value === "boolean") {
      return value;
    }
    if (value !== undefined || fallback === undefined) {
      this.addFinding(
        key,
        value === undefined ? "Missing key" : "Expected true or false",
      );
    }
    return fallback ?? false;
  }

  /** Reads a list of non-empty strings. */
  readStrings(
    key: string,
    options: { optional?: boolean; allowsEmpty?: boolean } = {},
  ): string[] {
    const value = this.#readValue(key);
    if (value === undefined && options.optional) {
      return [];
    }
    if (options.allowsEmpty && Array.isArray(value) && value.length === 0) {
      return [];
    }
    if (
      !Array.isArray(value) || value.length === 0 ||
      value.some((each) => typeof each !== "string" || each === "")
    ) {
      this.addFinding(
        key,
        value === undefined ? "Missing key" : "Expected a list of texts",
      );
      return [];
    }
    return value as string[];
  }

  /** Reads a list of numbers. */
  readNumbers(key: string): number[] {
    const value = this.#readValue(key);
    if (
      !Array.isArray(value) || value.some((each) => typeof each !== "number")
    ) {
      this.addFinding(
        key,
        value === undefined ? "Missing key" : "Expected a list of numbers",
      );
      return [];
    }
    return value as number[];
  }

  /** Reads a table; `undefined` when it is absent or not a table. */
  readTable(key: string): TomlTableReader | undefined {
    const value = this.#readValue(key);
    if (value === undefined) {
      return undefined;
    }
    if (!isTable(value)) {
      this.addFinding(key, "Expected a table");
      return undefined;
    }
    return new TomlTableReader(value, this.getPath(key), this.context);
  }

  /** Reads a table whose keys are names chosen by the operator. */
  readNamedTables(key: string): Map<string, TomlTableReader> {
    const readers = new Map<string, TomlTableReader>();
    const value = this.#readValue(key);
    if (value === undefined) {
      return readers;
    }
    if (!isTable(value)) {
      this.addFinding(key, "Expected a table");
      return readers;
    }
    const parent = new TomlTableReader(value, this.getPath(key), this.context);
    for (const name of Object.keys(value)) {
      const reader = parent.readTable(name);
      if (reader !== undefined) {
        readers.set(name, reader);
      }
    }
    return readers;
  }

  /** Reads a list of tables; empty when the key is absent. */
  readTables(key: string): TomlTableReader[] {
    const value = this.#readValue(key);
    if (value === undefined) {
      return [];
    }
    if (!Array.isArray(value) || !value.every(isTable)) {
      this.addFinding(key, "Expected a list of tables");
      return [];
    }
    return value.map((each, index) =>
      new TomlTableReader(each, `${this.getPath(key)}.${index}`, this.context)
    );
  }

  /** Adds a finding for each key that has not been read. */
  reportUnknownKeys(): void {
    for (const key of Object.keys(this.#table)) {
      if (!this.#consumedKeys.has(key)) {
        this.addFinding(key, "Unknown key");
      }
    }
  }

  #readValue(key: string): unknown {
    this.#consumedKeys.add(key);
    return Object.hasOwn(this.#table, key) ? this.#table[key] : undefined;
  }
}

/** Context that the readers of all tables of one file share. */
export interface TomlReadContext {
  readonly file: string;
  readonly getLine: GetKeyLine;
  readonly findings: Finding[];
}

function isTable(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null &&
    !Array.isArray(value) && !(value instanceof Date);
}
