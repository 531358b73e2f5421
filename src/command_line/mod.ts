export { type CommandLineIo, runCommandLine } from "./command_line.ts";
export { type ExitCode, exitCodes } from "./exit_code.ts";
export { formatColumns } from "./outcome.ts";
