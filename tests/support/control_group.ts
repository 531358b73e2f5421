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
import { SlowLink, type SlowLinkOptions } from "./slow_link.ts";
import { waitUntil } from "./wait_until.ts";

const controlProgram = fileURLToPath(
  new URL("../../src/bin/dogwoodwalk_control.js", import.meta.url),
);

/** A control instance that runs as a process of its own. */
export class ControlProcess {
  readonly address: string;
  /** Address at which the process listens; the same one without a link. */
  readonly listenAddress: string;
  readonly #settingsFile: string;
  readonly #dataFolder: string;
  #child: ChildProcess | undefined;

  constructor(
    address: string,
    settingsFile: string,
    listenAddress: string = address,
  ) {
    this.address = address;
    this.listenAddress = listenAddress;
    this.#settingsFile = settingsFile;
    this.#dataFolder = `${settingsFile}.data`;
  }

  /**
   * Writes the settings file.
   * @param members Initial members; empty for an instance that joins later.
   */
  writeSettings(members: readonly string[]): void {
    const membersLine = members.length > 0
      ? `members = ${JSON.stringify(members)}`
      : "";
    writeFileSync(
      this.#settingsFile,
      `data_folder = ${JSON.stringify(this.#dataFolder)}
listen = "${this.listenAddress}"
address = "${this.address}"
${membersLine}
region = "Muntenia"
availability_zone = "muntenia-a"
`,
    );
  }

  /**
   * Starts a stopped process again with an empty data folder, so that it is no
   * longer a member of the group.
   */
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

  /** Starts the process, which logs to a file next to its settings file. */
  start(): void {
    writeFileSync(`${this.#settingsFile}.log`, "");
    this.#child = spawn(
      process.execPath,
      [controlProgram, this.#settingsFile],
      {
        stdio: ["ignore", "ignore", "pipe"],
      },
    );
    this.#child.stderr?.on(
      "data",
      (chunk: Buffer) =>
        writeFileSync(`${this.#settingsFile}.log`, chunk, { flag: "a" }),
    );
  }

  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** Gets the log of the process since its last start. */
  getLog(): string {
    return readFileSync(`${this.#settingsFile}.log`, "utf8");
  }

  /**
   * Sends a signal to the process and waits until it has exited.
   * @param signal The signal.
   * @returns The exit code; -1 if a signal ended the process, and 0 if it was
   * never started or is already stopped.
   */
  async stop(signal: NodeJS.Signals): Promise<number> {
    const child = this.#child;
    this.#child = undefined;
    if (child === undefined || child.exitCode !== null) {
      return child?.exitCode ?? 0;
    }
    const exited = new Promise<number>((resolve) =>
      child.once("exit", (code) => resolve(code ?? -1))
    );
    child.kill(signal);
    return await exited;
  }
}

/** A group of control instances on loopback, as processes with data on disk. */
export class ControlGroup {
  readonly instances: ControlProcess[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), "dogwoodwalk-control-"));
  /** Links in front of the instances, if the group was started with them. */
  readonly links: SlowLink[] = [];
  #members: string[] = [];

  /**
   * Starts a new group and waits until it has a leader.
   * @param count Number of instances.
   * @param options Link in front of each instance; none by default.
   */
  static async start(
    count: number,
    options: { link?: Omit<SlowLinkOptions, "target"> } = {},
  ): Promise<ControlGroup> {
    const { link } = options;
    const group = new ControlGroup();
    group.#members = await getFreeAddresses(count);
    const listenAddresses = link === undefined
      ? group.#members
      : await getFreeAddresses(count);
    for (const [index, address] of group.#members.entries()) {
      const target = listenAddresses[index] as string;
      if (link !== undefined) {
        const slowLink = new SlowLink({ ...link, target });
        await slowLink.listen(address);
        group.links.push(slowLink);
      }
      group.#startInstance(address, group.#members, target);
    }
    await group.waitForLeader();
    return group;
  }

  /** Gets the addresses of all instances, as the command line needs them. */
  get addresses(): string[] {
    return this.instances.map((each) => each.address);
  }

  /** Starts an instance that is not yet a member of the group. */
  async startSpare(): Promise<ControlProcess> {
    const [address] = await getFreeAddresses(1);
    const spare = this.#startInstance(address as string, []);
    await spare.waitUntilListening();
    return spare;
  }

  /** Runs a command line against all instances, or some of them. */
  async runCommand(
    commandLine: string,
    options: { addresses?: readonly string[] } = {},
  ): Promise<{ code: number; text: string }> {
    let text = "";
    const write = (chunk: string) => {
      text += chunk;
    };
    const output: CommandLineOutput = {
      writeOutput: write,
      writeError: write,
      isTerminal: false,
    };
    const control = (options.addresses ?? this.addresses).join(",");
    const code = await runCommandLine(
      [...commandLine.split(" "), "--control", control, "--timeout", "30"],
      output,
    );
    return { code, text };
  }

  /** Waits until a majority follows a leader, and gets the leader. */
  async waitForLeader(): Promise<ControlProcess> {
    let leader: ControlProcess | undefined;
    let isQuerying = false;
    await waitUntil(() => {
      if (!isQuerying && leader === undefined) {
        isQuerying = true;
        void this.#findLeader().then((found) => {
          leader = found;
          isQuerying = false;
        });
      }
      return leader !== undefined;
    }, "the group has a leader");
    return leader as unknown as ControlProcess;
  }

  /** Kills all processes and removes their files. */
  async stop(): Promise<void> {
    await Promise.all(this.instances.map((each) => each.stop("SIGKILL")));
    this.links.forEach((each) => each.close());
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

  #startInstance(
    address: string,
    members: readonly string[],
    listenAddress: string = address,
  ): ControlProcess {
    const file = join(this.#folder, `${this.instances.length}.toml`);
    const instance = new ControlProcess(address, file, listenAddress);
    instance.writeSettings(members);
    this.instances.push(instance);
    instance.start();
    return instance;
  }
}

/** Gets free addresses on loopback. */
async function getFreeAddresses(count: number): Promise<string[]> {
  return (await getFreePorts(count)).map((port) => `127.0.0.1:${port}`);
}
