import { type ChildProcess, spawn } from "node:child_process";
import { fileURLToPath } from "node:url";

/** Root of the compiled project. */
const dist = fileURLToPath(new URL("../../", import.meta.url));
const keptLines = 2000;

/** A process that a {@link ProcessGroup} started. */
export interface GroupProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Last lines of both outputs. */
  readonly lines: string[];
  /** Resolves with the exit code; -1 after a signal. */
  readonly exited: Promise<number>;
}

/** Starts processes of this project, and stops them by their ids. */
export class ProcessGroup {
  readonly #processes = new Map<string, GroupProcess>();
  readonly #onExit = (): void => this.killAll();

  constructor() {
    // Also when this process fails, nothing that it started stays behind.
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
   * @param options Its arguments.
   */
  start(
    name: string,
    script: string,
    options: { arguments: readonly string[] },
  ): GroupProcess {
    const child = spawn(
      process.execPath,
      [dist + script, ...options.arguments],
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    const lines: string[] = [];
    for (const output of [child.stdout, child.stderr]) {
      output.setEncoding("utf8");
      output.on("data", (text: string) => {
        lines.push(...text.split("\n").filter((line) => line !== ""));
        lines.splice(0, Math.max(0, lines.length - keptLines));
      });
    }
    const exited = new Promise<number>((resolve) =>
      child.once("exit", (code) => {
        if (this.#processes.get(name)?.child === child) {
          this.#processes.delete(name);
        }
        resolve(code ?? -1);
      })
    );
    const started = { name, child, lines, exited };
    this.#processes.set(name, started);
    return started;
  }

  /** Runs a script to its end; returns its code and output. */
  async run(
    script: string,
    options: { arguments: readonly string[] },
  ): Promise<{ code: number; output: string }> {
    const { exited, lines } = this.start(
      `run-${script}-${performance.now()}`,
      script,
      options,
    );
    const code = await exited;
    // The outputs can end after the process.
    await new Promise((resolve) => setTimeout(resolve, 20));
    return { code, output: lines.join("\n") };
  }

  /** Reports whether a process runs. */
  isRunning(name: string): boolean {
    return this.#processes.has(name);
  }

  /** Gets a running process. */
  getOrThrow(name: string): GroupProcess {
    const found = this.#processes.get(name);
    if (found === undefined) {
      throw new Error(`No process "${name}" runs`);
    }
    return found;
  }

  /**
   * Asks all processes to stop, and kills those that do not in time.
   * @param limitMilliseconds The time.
   */
  async stopAll(limitMilliseconds = 5000): Promise<void> {
    const stopping = this.processes;
    stopping.forEach(({ child }) => child.kill("SIGTERM"));
    const timer = setTimeout(() => this.killAll(), limitMilliseconds);
    await Promise.all(stopping.map((each) => each.exited));
    clearTimeout(timer);
    process.off("exit", this.#onExit);
  }

  /** Kills all processes at once. */
  killAll(): void {
    this.processes.forEach(({ child }) => child.kill("SIGKILL"));
  }
}
