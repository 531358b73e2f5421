import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { waitFor } from "./http_call.ts";
import { getFreePorts } from "./free_ports.ts";
import { ProcessGroup } from "./process_group.ts";
import type { StandInOptions } from "./stand_in_target.ts";

/** Settings of a node and of the stand-in target beside it. */
export interface ClusterNodeOptions {
  readonly name: string;
  readonly service: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** Behavior of the stand-in target; absent to start none. */
  readonly target?: Omit<StandInOptions, "service">;
}

/** A node with its target, and the ports of both. */
export interface ClusterNode extends ClusterNodeOptions {
  /** Port of the listener for calls from outside. */
  readonly outside: number;
  /** Port of the listener for other nodes. */
  readonly node: number;
  /** Port of the listener for the target. */
  readonly loopback: number;
  readonly targetPort: number;
  /** File in which the target records the calls that it runs. */
  readonly recordFile: string;
}

/** Settings of a {@link Cluster}. */
export interface ClusterOptions {
  /** Number of control instances. */
  readonly controlCount: number;
  readonly environment: string;
  readonly nodes: readonly ClusterNodeOptions[];
  /** Time limit of a node for calls in flight after SIGTERM; 5 s by default. */
  readonly stopLimitMilliseconds?: number | undefined;
  /** Keeps the output of each process in a file of the cluster's folder. */
  readonly keepsOutput?: boolean | undefined;
}

/** Control instances, nodes and stand-in targets, each a process of its own. */
export class Cluster {
  readonly folder = mkdtempSync(join(tmpdir(), "dogwoodwalk-"));
  readonly processes: ProcessGroup;
  readonly environment: string;
  readonly stopLimitMilliseconds: number;
  #controlAddresses: string[] = [];
  #nodes: ClusterNode[] = [];

  private constructor(options: ClusterOptions) {
    this.environment = options.environment;
    this.stopLimitMilliseconds = options.stopLimitMilliseconds ?? 5000;
    this.processes = new ProcessGroup(
      options.keepsOutput ? { outputFolder: this.folder } : {},
    );
  }

  /** Gets the addresses of the control instances. */
  get controlAddresses(): readonly string[] {
    return this.#controlAddresses;
  }

  /** Gets the nodes and their targets. */
  get nodes(): readonly ClusterNode[] {
    return this.#nodes;
  }

  /** Starts the control instances, then the nodes, then their targets. */
  static async start(options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options);
    try {
      // In one call, which returns no port twice before it is bound.
      const { controlCount, nodes } = options;
      const ports = await getFreePorts(controlCount + nodes.length * 4);
      cluster.#startControlInstances(ports.slice(0, controlCount));
      await cluster.#startNodes(nodes, ports.slice(controlCount));
    } catch (error) {
      await cluster.stop();
      throw error;
    }
    return cluster;
  }

  /** Runs the command line against the control instances. */
  runCommand(
    ...commandArguments: string[]
  ): Promise<{ code: number; output: string }> {
    return this.processes.run("src/bin/dogwoodwalk.js", {
      arguments: [
        ...commandArguments,
        "--control",
        this.#controlAddresses.join(","),
      ],
    });
  }

  /** Starts a control instance, for example after a test has killed it. */
  startControlInstance(index: number): void {
    this.processes.start(`control-${index}`, "src/bin/dogwoodwalk_control.js", {
      arguments: [join(this.folder, `control-${index}.toml`)],
    });
  }

  /** Starts the process of a node, for example after a test has killed it. */
  startNode(node: ClusterNode): void {
    const settings = join(this.folder, `${node.name}.toml`);
    this.processes.start(`${node.name}-node`, "src/bin/dogwoodwalk_node.js", {
      arguments: [settings],
    });
  }

  /** Starts the target of a node, for example after it has crashed. */
  startTarget(node: ClusterNode): void {
    const options = {
      ...node.target,
      service: node.service,
      nodePort: node.loopback,
      port: node.targetPort,
      recordFile: node.recordFile,
    };
    this.processes.start(
      `${node.name}-target`,
      "tests/support/stand_in_process.js",
      { arguments: [JSON.stringify(options)] },
    );
  }

  /**
   * Stops all processes and removes their files.
   * @param options Whether the files are kept.
   */
  async stop(options: { keepsFiles?: boolean } = {}): Promise<void> {
    await this.processes.stopAll();
    if (options.keepsFiles !== true) {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }

  #startControlInstances(ports: readonly number[]): void {
    this.#controlAddresses = ports.map((port) => `127.0.0.1:${port}`);
    const members = JSON.stringify(this.#controlAddresses);
    this.#controlAddresses.forEach((address, index) => {
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
      this.startControlInstance(index);
    });
  }

  async #startNodes(
    nodeOptions: readonly ClusterNodeOptions[],
    ports: readonly number[],
  ): Promise<void> {
    this.#nodes = nodeOptions.map((options, index) => ({
      ...options,
      outside: ports[index * 4] as number,
      node: ports[index * 4 + 1] as number,
      loopback: ports[index * 4 + 2] as number,
      targetPort: ports[index * 4 + 3] as number,
      recordFile: join(this.folder, `${options.name}.jsonl`),
    }));
    for (const node of this.#nodes) {
      writeFileSync(
        join(this.folder, `${node.name}.toml`),
        this.#createNodeSettings(node),
      );
      this.startNode(node);
    }
    await Promise.all(
      this.#nodes.map((node) => this.#waitUntilNodeStarted(node)),
    );
    this.#nodes.filter((node) => node.target !== undefined)
      .forEach((node) => this.startTarget(node));
  }

  #waitUntilNodeStarted(node: ClusterNode): Promise<void> {
    return waitFor(() =>
      this.processes.getOrThrow(`${node.name}-node`).outputLines
        .some((line) => line.includes("node started"))
    );
  }

  #createNodeSettings(node: ClusterNode): string {
    return `node_id = "${node.name}"
environment = "${this.environment}"
service = "${node.service}"
region = "${node.region}"
availability_zone = "${node.availabilityZone}"
outside = "127.0.0.1:${node.outside}"
node = "127.0.0.1:${node.node}"
loopback = "127.0.0.1:${node.loopback}"
control_addresses = ${JSON.stringify(this.#controlAddresses)}
stop_limit_ms = ${this.stopLimitMilliseconds}
`;
  }
}
