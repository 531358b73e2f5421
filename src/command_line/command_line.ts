import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import process from "node:process";
import { text as readText } from "node:stream/consumers";
import {
  Command,
  CommanderError,
  InvalidArgumentError,
  Option,
} from "commander";
import ora from "ora";
import {
  createClientInterceptor,
  readTokenFile,
} from "../authentication/mod.ts";
import { environments, isEnvironment } from "../configuration/mod.ts";
import type { CommandContext } from "./command_context.ts";
import { ControlConnection } from "./control_connection.ts";
import {
  apply,
  diff,
  promote,
  showHistory,
  validate,
} from "./document_commands.ts";
import { type ExitCode, exitCodes } from "./exit_code.ts";
import {
  clearQuarantine,
  drain,
  listQuarantine,
  replaceInstance,
  showStatus,
} from "./fleet_commands.ts";
import type { CommandOutcome } from "./command_outcome.ts";
import {
  addKey,
  listTenants,
  setQuota,
  showTenant,
  withdrawKey,
} from "./tenant_commands.ts";

/** Streams of the command line. */
export interface CommandLineOutput {
  readonly writeOutput: (text: string) => void;
  readonly writeError: (text: string) => void;
  /** Whether standard error is a terminal, so that progress is shown. */
  readonly isTerminal: boolean;
  /** Reads standard input to its end; that of the process when absent. */
  readonly readInput?: () => Promise<string>;
}

interface CommonOptions {
  readonly control: string;
  readonly tokenFile?: string;
  readonly operator: string;
  readonly timeout: number;
  readonly json?: boolean;
}

/** Runs a command in its context. */
type Action = (
  context: CommandContext,
) => Promise<CommandOutcome> | CommandOutcome;

/**
 * Runs the command line for operators.
 * @param argumentList Arguments after the name of the program.
 * @param output Receives the printed text.
 * @returns The exit code.
 */
export async function runCommandLine(
  argumentList: readonly string[],
  output: CommandLineOutput,
): Promise<ExitCode> {
  let exitCode: ExitCode = exitCodes.ok;
  const run = async (options: CommonOptions, action: Action) => {
    exitCode = await runAction(options, action, output);
  };
  const program = createProgram(run, output);
  try {
    await program.parseAsync([...argumentList], { from: "user" });
  } catch (error) {
    if (error instanceof CommanderError) {
      return error.exitCode === 0 ? exitCodes.ok : exitCodes.invalidInput;
    }
    output.writeError(`${(error as Error).message}\n`);
    return exitCodes.other;
  }
  return exitCode;
}

type RunAction = (options: CommonOptions, action: Action) => Promise<void>;

function createProgram(run: RunAction, output: CommandLineOutput): Command {
  const program = new Command("dogwoodwalk")
    .description("Manages the documents and the fleet of dogwoodwalk.")
    .exitOverride()
    .configureOutput({
      writeOut: output.writeOutput,
      writeErr: output.writeError,
    })
    .addHelpText(
      "after",
      `
Exit codes: 0 ok, 1 other, 2 invalid input, 3 conflict, 4 unreachable,
5 not in force in time.`,
    );
  addDocumentCommands(program, run);
  addFleetCommands(program, run);
  addTenantCommands(program, run);
  return program;
}

function addDocumentCommands(program: Command, run: RunAction): void {
  addCommand(program, "validate <file>", {
    description: "Validates a document and shows every finding.",
    examples: ["validate trial.toml", "validate --json trial.toml"],
  }).action((file: string, options: CommonOptions) =>
    run(options, (context) => validate(context, file))
  );
  addChangeOptions(addCommand(program, "apply <environment> <file>", {
    description: "Applies a document that replaces the base revision.",
    examples: [
      "apply trial trial.toml --base 0",
      "apply trial trial.toml --base 17 --wait",
    ],
  })).action((environment, file, options) =>
    run(options, (context) => apply(context, { ...options, environment, file }))
  );
  addChangeOptions(addCommand(program, "promote", {
    description:
      "Promotes the exact bytes of a revision that is in force in trial.",
    examples: ["promote 18 --base 9", "promote 18 --base 9 --wait"],
  }))
    .argument("<revision>", "revision to promote", parseWholeNumber)
    .option("--from <environment>", "environment of the revision", "trial")
    .option("--to <environment>", "environment to promote to", "production")
    .action((revision, options) =>
      run(options, (context) =>
        promote(context, {
          ...options,
          revision,
          environment: options.to,
        }))
    );
  addCommand(program, "diff <environment> [file]", {
    description:
      "Shows the lines that differ between two revisions, or between a revision and a file.",
    examples: [
      "diff trial trial.toml",
      "diff production --from 8 --to 9",
    ],
  })
    .option("--from <revision>", "older revision", parseWholeNumber)
    .option("--to <revision>", "newer revision", parseWholeNumber)
    .action((environment, file, options) =>
      run(
        options,
        (context) => diff(context, { ...options, environment, file }),
      )
    );
  addCommand(program, "history <environment>", {
    description: "Lists the newest revisions.",
    examples: ["history trial", "history production --limit 5 --json"],
  })
    .option(
      "--limit <count>",
      "maximum number of revisions",
      parseWholeNumber,
      20,
    )
    .action((environment, options) =>
      run(
        options,
        (context) =>
          showHistory(context, { environment, limit: options.limit }),
      )
    );
}

function addFleetCommands(program: Command, run: RunAction): void {
  addCommand(program, "status", {
    description:
      "Shows the control group, nodes, targets, revisions and admission levels.",
    examples: ["status", "status --control 10.0.0.1:7000 --json"],
  }).action((options) => run(options, showStatus));
  addCommand(program, "drain <environment> <target>", {
    description: "Requests that the node of a target drains it.",
    examples: ["drain production treasury-3"],
  }).action((environment, targetId, options) =>
    run(options, (context) => drain(context, { environment, targetId }))
  );
  const control = program.command("control").exitOverride()
    .description("Changes the control group.");
  addCommand(control, "replace <old> <new>", {
    description:
      "Adds a new instance, waits until it has copied the state, and removes the old one.",
    examples: ["control replace 10.0.0.1:7000 10.0.0.4:7000"],
  }).action((oldAddress, newAddress, options) =>
    run(
      options,
      (context) => replaceInstance(context, { oldAddress, newAddress }),
    )
  );
  const quarantine = program.command("quarantine").exitOverride()
    .description("Shows and clears the quarantine of crashing requests.");
  addCommand(quarantine, "list <environment>", {
    description: "Lists the fingerprints in quarantine.",
    examples: ["quarantine list production"],
  }).action((environment, options) =>
    run(options, (context) => listQuarantine(context, environment))
  );
  addCommand(quarantine, "clear <environment> [fingerprint]", {
    description: "Removes a fingerprint from quarantine, or all with --all.",
    examples: [
      "quarantine clear production 9f2c11aa03b7d4e5",
      "quarantine clear production --all",
    ],
  })
    .option("--all", "remove every fingerprint of the environment")
    .action((environment, fingerprint, options, command: Command) => {
      if ((fingerprint === undefined) !== (options.all === true)) {
        command.error("error: expected either a fingerprint or --all");
      }
      return run(
        options,
        (context) => clearQuarantine(context, { environment, fingerprint }),
      );
    });
}

function addTenantCommands(program: Command, run: RunAction): void {
  const tenant = program.command("tenant").exitOverride()
    .description("Shows and changes the tenants of a document.");
  addCommand(tenant, "list <environment>", {
    description: "Lists the tenants of the current document.",
    examples: ["tenant list production"],
  }).action((environment, options) =>
    run(options, (context) => listTenants(context, environment))
  );
  addCommand(tenant, "show <environment> <tenant>", {
    description: "Shows a tenant with the digests of its keys.",
    examples: ["tenant show production pulo"],
  }).action((environment, tenant, options) =>
    run(options, (context) => showTenant(context, { environment, tenant }))
  );
  addWaitOption(addCommand(tenant, "set-quota <environment> <tenant>", {
    description:
      "Limits the requests of a tenant over all nodes together; 0 for no limit.",
    examples: ["tenant set-quota production pulo 25 --burst 50"],
  }))
    .argument("<rate>", "requests per second", parseRate)
    .option("--burst <requests>", "requests at once", parseWholeNumber, 0)
    .action((environment, tenant, requestsPerSecond, options) =>
      run(options, (context) =>
        setQuota(context, {
          ...options,
          environment,
          tenant,
          requestsPerSecond,
        }))
    );
  addWaitOption(addCommand(tenant, "add-key <environment> <tenant>", {
    description:
      "Adds a key, read from standard input or generated; only its digest is stored.",
    examples: [
      "tenant add-key production pulo --generate",
      "tenant add-key production pulo < key.txt",
    ],
  }))
    .option("--generate", "generate the key and print it once")
    .action((environment, tenant, options) =>
      run(
        options,
        (context) => addKey(context, { ...options, environment, tenant }),
      )
    );
  addWaitOption(
    addCommand(tenant, "withdraw-key <environment> <tenant> [digest]", {
      description:
        "Withdraws a key, by the start of its digest or read from standard input.",
      examples: [
        "tenant withdraw-key production pulo n4bQgYhMfWWaL",
        "tenant withdraw-key production pulo < key.txt",
      ],
    }),
  ).action((environment, tenant, digest, options) =>
    run(options, (context) =>
      withdrawKey(context, {
        ...options,
        environment,
        tenant,
        digest,
      }))
  );
}

function addWaitOption(command: Command): Command {
  return command.option(
    "--wait-seconds <seconds>",
    "time in which all live nodes must have the change in force",
    parseSeconds,
    15,
  );
}

function addCommand(
  parent: Command,
  usage: string,
  texts: { description: string; examples: readonly string[] },
): Command {
  const examples = texts.examples.map((each) => `  dogwoodwalk ${each}`);
  return parent.command(usage)
    .exitOverride()
    .description(texts.description)
    .addOption(
      new Option(
        "--control <addresses>",
        "control instances, comma-separated host:port",
      )
        .env("DOGWOODWALK_CONTROL").default("127.0.0.1:7000"),
    )
    .addOption(
      new Option("--token-file <file>", "file with the shared token")
        .env("DOGWOODWALK_TOKEN_FILE"),
    )
    .addOption(
      new Option(
        "--operator <name>",
        "operator name, recorded with each change",
      )
        .env("DOGWOODWALK_OPERATOR").default(userInfo().username),
    )
    .option(
      "--timeout <seconds>",
      "time limit of a call, including resends",
      parseSeconds,
      10,
    )
    .option("--json", "print JSON")
    .hook("preAction", (_, command) => rejectUnknownEnvironment(command))
    .addHelpText("after", `\nExamples:\n${examples.join("\n")}`);
}

/** Fails the command when its environment argument is unknown. */
function rejectUnknownEnvironment(command: Command): void {
  command.registeredArguments.forEach((argument, position) => {
    const name = command.args[position] ?? "";
    if (argument.name() === "environment" && !isEnvironment(name)) {
      command.error(
        `error: expected an environment of ${
          environments.join(", ")
        }, found "${name}"`,
      );
    }
  });
}

function addChangeOptions(command: Command): Command {
  return command
    .requiredOption(
      "--base <revision>",
      "current revision that the change replaces, 0 for none",
      parseWholeNumber,
    )
    .option("--wait", "wait until all live nodes have the revision in force")
    .option(
      "--wait-seconds <seconds>",
      "time limit of --wait",
      parseSeconds,
      15,
    )
    .option(
      "--change-id <id>",
      "change id of an earlier attempt, to resend the same change",
    );
}

async function runAction(
  options: CommonOptions,
  action: Action,
  output: CommandLineOutput,
): Promise<ExitCode> {
  const token = readTokenFile(options.tokenFile);
  if (token.kind === "error") {
    output.writeError(`${token.error}\n`);
    return exitCodes.invalidInput;
  }
  const connection = new ControlConnection({
    addresses: options.control.split(",").map((each) => each.trim()),
    interceptors: token.value === undefined
      ? []
      : [createClientInterceptor(token.value)],
    timeoutMilliseconds: options.timeout * 1000,
  });
  const progress = output.isTerminal && !options.json
    ? ora({ discardStdin: false })
    : undefined;
  try {
    const outcome = await action({
      connection,
      operator: options.operator,
      showProgress: (text) => progress?.start(text),
      readFile: readInputFile,
      readInput: output.readInput ?? (() => readText(process.stdin)),
    });
    progress?.stop();
    printOutcome(outcome, options, output);
    return outcome.exitCode;
  } catch (error) {
    progress?.stop();
    if (error instanceof InputFileError) {
      output.writeError(`${error.message}\n`);
      return exitCodes.invalidInput;
    }
    throw error;
  } finally {
    connection.close();
  }
}

function printOutcome(
  outcome: CommandOutcome,
  options: CommonOptions,
  output: CommandLineOutput,
): void {
  if (options.json) {
    output.writeOutput(`${JSON.stringify(outcome.json, undefined, 2)}\n`);
    return;
  }
  const write = outcome.exitCode === exitCodes.ok
    ? output.writeOutput
    : output.writeError;
  write(outcome.lines.map((line) => `${line}\n`).join(""));
}

/** Error for a file argument that cannot be read. */
class InputFileError extends Error {}

function readInputFile(file: string): Buffer {
  try {
    return readFileSync(file);
  } catch (error) {
    throw new InputFileError(`${file}: ${(error as Error).message}`);
  }
}

function parseWholeNumber(text: string): number {
  const value = Number(text);
  if (!/^\d+$/.test(text) || !Number.isSafeInteger(value)) {
    throw new InvalidArgumentError("Expected a whole number.");
  }
  return value;
}

function parseRate(text: string): number {
  const value = Number(text);
  if (!/^\d+(\.\d+)?$/.test(text) || value > 1_000_000) {
    throw new InvalidArgumentError("Expected a number from 0 to 1000000.");
  }
  return value;
}

function parseSeconds(text: string): number {
  const value = Number(text);
  if (!(value > 0 && value <= 86_400)) {
    throw new InvalidArgumentError("Expected seconds above 0, at most 86400.");
  }
  return value;
}
