import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { getFreePorts } from "./free_ports.ts";
import { ProcessGroup } from "./process_group.ts";

/** A node that runs as a process of its own; its state is read from its log. */
export interface NodeProcess {
  /** Gets the revision of the document in force; 0 for none. */
  getRevision(): number;
  /** Gets the address of the control instance that accepted the node last. */
  getControlAddress(): string | undefined;
}

/** Nodes of the environment "trial", without targets, each a process of its own. */
export class NodeProcesses {
  readonly #folder = mkdtempSync(join(tmpdir(), "dogwoodwalk-nodes-"));
  readonly #processes = new ProcessGroup();
  #count = 0;

  /**
   * Starts a node.
   * @param controlAddresses The instances that it knows at first.
   */
  async start(controlAddresses: readonly string[]): Promise<NodeProcess> {
    const name = `n${this.#count++}`;
    const [outside, node, loopback] = await getFreePorts(3);
    const file = join(this.#folder, `${name}.toml`);
    writeFileSync(
      file,
      `node_id = "${name}"
environment = "trial"
service = "treasury"
region = "Muntenia"
availability_zone = "muntenia-a"
outside = "127.0.0.1:${outside}"
node = "127.0.0.1:${node}"
loopback = "127.0.0.1:${loopback}"
control_addresses = ${JSON.stringify(controlAddresses)}
`,
    );
    const { outputLines } = this.#processes.start(
      name,
      "src/bin/dogwoodwalk_node.js",
      { arguments: [file] },
    );
    const findLast = (event: string, field: RegExp): string | undefined => {
      const line = outputLines.findLast((each) => each.includes(event));
      return field.exec(line ?? "")?.[1];
    };
    return {
      getRevision: () =>
        Number(findLast("document in force", / revision=(\d+)/) ?? 0),
      getControlAddress: () => findLast("control-connected", / address=(\S+)/),
    };
  }

  /** Ends all nodes and removes their files. */
  async stop(): Promise<void> {
    await this.#processes.stopAll();
    rmSync(this.#folder, { recursive: true });
  }
}
