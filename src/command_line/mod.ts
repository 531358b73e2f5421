export { type CommandLineOutput, runCommandLine } from "./command_line.ts";
export { type ExitCode, exitCodes } from "./exit_code.ts";
export { formatColumns } from "./command_outcome.ts";
