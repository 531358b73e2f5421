import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { waitFor } from "./http_call.ts";
import { getFreePorts } from "./free_ports.ts";
import { ProcessGroup } from "./process_group.ts";
import type { StandInOptions } from "./stand_in_target.ts";

/** A target and its node. */
export interface ClusterNodeOptions {
  readonly name: string;
  readonly service: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** Behavior of the stand-in target; absent to start none. */
  readonly target?: Omit<StandInOptions, "service">;
}

/** Ports of a target and its node. */
export interface ClusterNode extends ClusterNodeOptions {
  readonly outside: number;
  readonly node: number;
  readonly loopback: number;
  readonly targetPort: number;
  readonly recordFile: string;
}

/** Settings of a {@link Cluster}. */
export interface ClusterOptions {
  readonly controlCount: number;
  readonly environment: string;
  readonly nodes: readonly ClusterNodeOptions[];
}

/** Control instances, nodes and stand-in targets as processes. */
export class Cluster {
  readonly processes = new ProcessGroup();
  readonly folder = mkdtempSync(join(tmpdir(), "dogwoodwalk-"));
  readonly environment: string;
  #controls: string[] = [];
  #members: ClusterNode[] = [];

  private constructor(options: ClusterOptions) {
    this.environment = options.environment;
  }

  /** Gets the addresses of the control instances. */
  get controlAddresses(): readonly string[] {
    return this.#controls;
  }

  /** Gets the targets and nodes. */
  get nodes(): readonly ClusterNode[] {
    return this.#members;
  }

  /** Starts the control instances, then nodes and targets. */
  static async start(options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options);
    try {
      await cluster.#startControls(options.controlCount);
      await cluster.#startMembers(options.nodes);
    } catch (error) {
      await cluster.stop();
      throw error;
    }
    return cluster;
  }

  /** Runs the command line against the control instances. */
  runCommand(...words: string[]): Promise<{ code: number; output: string }> {
    return this.processes.run("src/bin/dogwoodwalk.js", {
      arguments: [...words, "--control", this.#controls.join(",")],
    });
  }

  /** Starts a control instance, such as after it was killed. */
  startControl(index: number): void {
    this.processes.start(`control-${index}`, "src/bin/dogwoodwalk_control.js", {
      arguments: [join(this.folder, `control-${index}.toml`)],
    });
  }

  /** Starts the node of a member, such as after it was killed. */
  startNode(member: ClusterNode): void {
    const settings = join(this.folder, `${member.name}.toml`);
    this.processes.start(`${member.name}-node`, "src/bin/dogwoodwalk_node.js", {
      arguments: [settings],
    });
  }

  /** Starts the target of a member, such as after it crashed. */
  startTarget(member: ClusterNode): void {
    const options = {
      ...member.target,
      service: member.service,
      nodePort: member.loopback,
      port: member.targetPort,
      recordFile: member.recordFile,
    };
    this.processes.start(
      `${member.name}-target`,
      "tests/support/stand_in_process.js",
      { arguments: [JSON.stringify(options)] },
    );
  }

  /** Stops all processes and removes their files. */
  async stop(): Promise<void> {
    await this.processes.stopAll();
    rmSync(this.folder, { recursive: true, force: true });
  }

  async #startControls(count: number): Promise<void> {
    const ports = await getFreePorts(count);
    this.#controls = ports.map((port) => `127.0.0.1:${port}`);
    const members = JSON.stringify(this.#controls);
    this.#controls.forEach((address, index) => {
      const data = join(this.folder, `control-${index}`);
      mkdirSync(data);
      const file = join(this.folder, `control-${index}.toml`);
      writeFileSync(
        file,
        `data_folder = "${data}"
listen = "${address}"
members = ${members}
region = "Muntenia"
availability_zone = "muntenia-a"
`,
      );
      this.startControl(index);
    });
  }

  async #startMembers(members: readonly ClusterNodeOptions[]): Promise<void> {
    const ports = await getFreePorts(members.length * 4);
    this.#members = members.map((member, index) => ({
      ...member,
      outside: ports[index * 4] as number,
      node: ports[index * 4 + 1] as number,
      loopback: ports[index * 4 + 2] as number,
      targetPort: ports[index * 4 + 3] as number,
      recordFile: join(this.folder, `${member.name}.jsonl`),
    }));
    for (const member of this.#members) {
      writeFileSync(
        join(this.folder, `${member.name}.toml`),
        this.#getNodeSettings(member),
      );
      this.startNode(member);
    }
    await Promise.all(this.#members.map((member) => this.#waitForNode(member)));
    this.#members.filter((member) => member.target !== undefined)
      .forEach((member) => this.startTarget(member));
  }

  #waitForNode(member: ClusterNode): Promise<void> {
    return waitFor(() =>
      this.processes.getOrThrow(`${member.name}-node`).lines.some((line) =>
        line.includes("node started")
      )
    );
  }

  #getNodeSettings(member: ClusterNode): string {
    return `node_id = "${member.name}"
environment = "${this.environment}"
service = "${member.service}"
region = "${member.region}"
availability_zone = "${member.availabilityZone}"
outside = "127.0.0.1:${member.outside}"
node = "127.0.0.1:${member.node}"
loopback = "127.0.0.1:${member.loopback}"
control_addresses = ${JSON.stringify(this.#controls)}
stop_limit_ms = 5000
`;
  }
}
