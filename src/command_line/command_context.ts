import type { ControlConnection } from "./control_connection.ts";

/** Dependencies of a command. */
export interface CommandContext {
  readonly connection: ControlConnection;
  /** Name of the operator, recorded with each change. */
  readonly operator: string;
  /** Shows a progress message when the output is a terminal. */
  readonly showProgress: (text: string) => void;
  /** Reads a file; throws when the file cannot be read. */
  readonly readFile: (file: string) => Buffer;
  /** Reads standard input to its end. */
  readonly readInput: () => Promise<string>;
}
