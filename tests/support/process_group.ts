import { type ChildProcess, spawn } from "node:child_process";
import { appendFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** Folder of the compiled project. */
const compiledFolder = fileURLToPath(new URL("../../", import.meta.url));
const maximumOutputLines = 2000;

/** A process that a {@link ProcessGroup} started. */
export interface GroupProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Last lines of standard output and standard error. */
  readonly outputLines: string[];
  /** Resolves with the exit code; -1 if a signal ended the process. */
  readonly exited: Promise<number>;
}

/** Starts processes of this project, and stops just these. */
export class ProcessGroup {
  readonly #processes = new Map<string, GroupProcess>();
  /** Output of the last process of each name that has ended. */
  readonly #lastOutput = new Map<string, readonly string[]>();
  readonly #onExit = (): void => this.killAll();
  readonly #outputFolder: string | undefined;

  /** @param options Folder in which the output of each process is kept. */
  constructor(options: { outputFolder?: string } = {}) {
    this.#outputFolder = options.outputFolder;
    // If this process fails, the processes that it started are killed as well.
    process.on("exit", this.#onExit);
  }

  /** Gets the running processes. */
  get processes(): readonly GroupProcess[] {
    return [...this.#processes.values()];
  }

  /**
   * Starts a script of the compiled project.
   * @param name Name of the process, unique in the group.
   * @param script Path below the root, such as `src/bin/dogwoodwalk_node.js`.
   * @param options Arguments of the script.
   */
  start(
    name: string,
    script: string,
    options: { arguments: readonly string[] },
  ): GroupProcess {
    const child = spawn(
      process.execPath,
      [compiledFolder + script, ...options.arguments],
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    const outputLines: string[] = [];
    for (const output of [child.stdout, child.stderr]) {
      output.setEncoding("utf8");
      output.on("data", (text: string) => {
        if (this.#outputFolder !== undefined && !name.startsWith("run-")) {
          appendFileSync(join(this.#outputFolder, `${name}.log`), text);
        }
        outputLines.push(...text.split("\n").filter((line) => line !== ""));
        outputLines.splice(
          0,
          Math.max(0, outputLines.length - maximumOutputLines),
        );
      });
    }
    const exited = new Promise<number>((resolve) =>
      child.once("exit", (code) => {
        if (this.#processes.get(name)?.child === child) {
          this.#processes.delete(name);
        }
        this.#lastOutput.set(name, outputLines);
        resolve(code ?? -1);
      })
    );
    const started = { name, child, outputLines, exited };
    this.#processes.set(name, started);
    return started;
  }

  /** Runs a script and waits for its exit code and output. */
  async run(
    script: string,
    options: { arguments: readonly string[] },
  ): Promise<{ code: number; output: string }> {
    const { exited, outputLines } = this.start(
      `run-${script}-${performance.now()}`,
      script,
      options,
    );
    const code = await exited;
    // Output can still arrive after the process has exited.
    await new Promise((resolve) => setTimeout(resolve, 20));
    return { code, output: outputLines.join("\n") };
  }

  /** Reports whether a process runs. */
  isRunning(name: string): boolean {
    return this.#processes.has(name);
  }

  /** Gets a running process. */
  getOrThrow(name: string): GroupProcess {
    const found = this.#processes.get(name);
    if (found === undefined) {
      const output = this.#lastOutput.get(name)?.slice(-5).join("\n") ?? "";
      throw new Error(`No process "${name}" runs; its last lines:\n${output}`);
    }
    return found;
  }

  /**
   * Sends SIGTERM to all processes, and kills those that still run after a
   * timeout.
   * @param timeoutMilliseconds The timeout.
   */
  async stopAll(timeoutMilliseconds = 5000): Promise<void> {
    const stopping = this.processes;
    stopping.forEach(({ child }) => child.kill("SIGTERM"));
    const timer = setTimeout(() => this.killAll(), timeoutMilliseconds);
    await Promise.all(stopping.map((each) => each.exited));
    clearTimeout(timer);
    process.off("exit", this.#onExit);
  }

  /** Kills all processes with SIGKILL. */
  killAll(): void {
    this.processes.forEach(({ child }) => child.kill("SIGKILL"));
  }
}
