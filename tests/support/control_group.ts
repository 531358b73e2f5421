import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  type CommandLineOutput,
  runCommandLine,
} from "../../src/command_line/mod.ts";
import { getFreePorts } from "./free_ports.ts";
import { waitUntil } from "./wait_until.ts";

const program = fileURLToPath(
  new URL("../../src/bin/dogwoodwalk_control.js", import.meta.url),
);

/** A control process under test. */
export class ControlProcess {
  readonly address: string;
  readonly #file: string;
  readonly #dataFolder: string;
  #child: ChildProcess | undefined;

  constructor(address: string, file: string) {
    this.address = address;
    this.#file = file;
    this.#dataFolder = `${file}.data`;
  }

  /** Writes the settings; a process that joins later has no members. */
  writeSettings(members: readonly string[]): void {
    const membersLine = members.length > 0
      ? `members = ${JSON.stringify(members)}`
      : "";
    writeFileSync(
      this.#file,
      `data_folder = ${JSON.stringify(this.#dataFolder)}
listen = "${this.address}"
${membersLine}
region = "Muntenia"
availability_zone = "muntenia-a"
`,
    );
  }

  /** Starts an ended process again with an empty disk, outside the group. */
  async restartWithEmptyDisk(): Promise<void> {
    rmSync(this.#dataFolder, { recursive: true, force: true });
    this.writeSettings([]);
    this.start();
    await this.waitUntilListening();
  }

  async waitUntilListening(): Promise<void> {
    await waitUntil(
      () => this.getLog().includes("event=listening"),
      "the instance listens",
    );
  }

  /** Starts the process; its log goes to a file beside its settings. */
  start(): void {
    writeFileSync(`${this.#file}.log`, "");
    this.#child = spawn(process.execPath, [program, this.#file], {
      stdio: ["ignore", "ignore", "pipe"],
    });
    this.#child.stderr?.on(
      "data",
      (chunk: Buffer) =>
        writeFileSync(`${this.#file}.log`, chunk, { flag: "a" }),
    );
  }

  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** Gets what the process has logged. */
  getLog(): string {
    return readFileSync(`${this.#file}.log`, "utf8");
  }

  /** Ends the process and waits for its exit code; -1 after a signal. */
  async end(signal: NodeJS.Signals): Promise<number> {
    const child = this.#child;
    this.#child = undefined;
    if (child === undefined || child.exitCode !== null) {
      return child?.exitCode ?? 0;
    }
    const ended = new Promise<number>((resolve) =>
      child.once("exit", (code) => resolve(code ?? -1))
    );
    child.kill(signal);
    return await ended;
  }
}

/** A group of control processes on loopback with real files. */
export class ControlGroup {
  readonly instances: ControlProcess[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), "dogwoodwalk-control-"));
  #members: string[] = [];

  /** Starts a new group and waits until it has a leader. */
  static async start(count: number): Promise<ControlGroup> {
    const group = new ControlGroup();
    group.#members = await findAddresses(count);
    for (const address of group.#members) {
      group.#add(address, group.#members);
    }
    await group.waitForLeader();
    return group;
  }

  /** Addresses of all instances, for the command line. */
  get addresses(): string[] {
    return this.instances.map((each) => each.address);
  }

  /** Starts an instance that is not yet a member. */
  async startSpare(): Promise<ControlProcess> {
    const [address] = await findAddresses(1);
    const spare = this.#add(address as string, []);
    await spare.waitUntilListening();
    return spare;
  }

  /** Runs the command line against the group. */
  async runCommand(
    line: string,
    options: { addresses?: readonly string[] } = {},
  ): Promise<{ code: number; text: string }> {
    let text = "";
    const write = (each: string) => {
      text += each;
    };
    const io: CommandLineOutput = {
      writeOutput: write,
      writeError: write,
      isTerminal: false,
    };
    const control = (options.addresses ?? this.addresses).join(",");
    const code = await runCommandLine(
      [...line.split(" "), "--control", control, "--timeout", "30"],
      io,
    );
    return { code, text };
  }

  /** Gets the leader, once a majority follows it. */
  async waitForLeader(): Promise<ControlProcess> {
    let leader: ControlProcess | undefined;
    let isAsking = false;
    await waitUntil(() => {
      if (!isAsking && leader === undefined) {
        isAsking = true;
        void this.#findLeader().then((found) => {
          leader = found;
          isAsking = false;
        });
      }
      return leader !== undefined;
    }, "the group has a leader");
    return leader as unknown as ControlProcess;
  }

  /** Ends all processes and removes their files. */
  async stop(): Promise<void> {
    await Promise.all(this.instances.map((each) => each.end("SIGKILL")));
    rmSync(this.#folder, { recursive: true });
  }

  async #findLeader(): Promise<ControlProcess | undefined> {
    for (const instance of this.instances) {
      const { code, text } = await this.runCommand(
        "history trial --timeout 1",
        {
          addresses: [instance.address],
        },
      );
      const status = await this.runCommand("status --timeout 1", {
        addresses: [instance.address],
      });
      if (code === 0 && text !== "" && /: leader,/.test(status.text)) {
        return instance;
      }
    }
    return undefined;
  }

  #add(address: string, members: readonly string[]): ControlProcess {
    const file = join(this.#folder, `${this.instances.length}.toml`);
    const instance = new ControlProcess(address, file);
    instance.writeSettings(members);
    this.instances.push(instance);
    instance.start();
    return instance;
  }
}

/** Gets free addresses on loopback. */
async function findAddresses(count: number): Promise<string[]> {
  return (await getFreePorts(count)).map((port) => `127.0.0.1:${port}`);
}
