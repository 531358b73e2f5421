import type { ControlConnection } from "./control_connection.ts";

/** What a command works with. */
export interface CommandContext {
  readonly connection: ControlConnection;
  /** Name of the operator, recorded with each change. */
  readonly operator: string;
  /** Shows what the command waits for, on a terminal only. */
  readonly showProgress: (text: string) => void;
  /** Reads a file; throws when it cannot. */
  readonly readFile: (file: string) => Buffer;
}
