import { setTimeout as sleep } from "node:timers/promises";
import type { Cluster, ClusterNode } from "../tests/support/cluster.ts";
import { sendCall } from "../tests/support/http_call.ts";
import type { ProcessTimeline } from "./process_timeline.ts";

/** A drain that the node of the target confirmed. */
export interface ConfirmedDrain {
  readonly node: string;
  readonly confirmedMilliseconds: number;
  /** Time at which the target was started again. */
  endMilliseconds: number;
}

const pollMilliseconds = 100;

/** Drains targets with the command line, and starts them again. */
export class TargetDrainer {
  readonly confirmed: ConfirmedDrain[] = [];
  readonly #cluster: Cluster;
  readonly #timeline: ProcessTimeline;
  readonly #busy = new Set<string>();

  /**
   * @param cluster The running processes.
   * @param timeline Receives what is done to the targets.
   */
  constructor(cluster: Cluster, timeline: ProcessTimeline) {
    this.#cluster = cluster;
    this.#timeline = timeline;
  }

  /**
   * Drains a target, and starts it again after a while, which ends the drain.
   * @param node The node of the target.
   * @param milliseconds Time after which the target is started again.
   */
  async drain(node: ClusterNode, milliseconds: number): Promise<void> {
    if (this.#busy.has(node.name)) {
      return;
    }
    this.#busy.add(node.name);
    const endMilliseconds = Date.now() + milliseconds;
    const { code } = await this.#cluster.runCommand(
      "drain",
      this.#cluster.environment,
      node.name,
    );
    if (code === 0 && await this.#waitUntilDraining(node, endMilliseconds)) {
      const drain = {
        node: node.name,
        confirmedMilliseconds: Date.now(),
        endMilliseconds: Infinity,
      };
      this.confirmed.push(drain);
      await sleep(Math.max(0, endMilliseconds - Date.now()));
      drain.endMilliseconds = Date.now();
    }
    await this.#restartTarget(node);
    this.#busy.delete(node.name);
  }

  async #waitUntilDraining(
    node: ClusterNode,
    endMilliseconds: number,
  ): Promise<boolean> {
    while (Date.now() < endMilliseconds) {
      if (await getTargetState(node) === "draining") {
        return true;
      }
      await sleep(pollMilliseconds);
    }
    return false;
  }

  async #restartTarget(node: ClusterNode): Promise<void> {
    const name = `${node.name}-target`;
    const end = this.#timeline.begin(name, "killed");
    const target = this.#cluster.processes.getOrThrow(name);
    target.child.kill("SIGTERM");
    await target.exited;
    this.#cluster.startTarget(node);
    end();
  }
}

/** Gets the state in which a node has its target; `undefined` without a node. */
async function getTargetState(node: ClusterNode): Promise<string | undefined> {
  try {
    const { body } = await sendCall({
      port: node.loopback,
      path: "/dogwoodwalk/status",
      signal: AbortSignal.timeout(2000),
    });
    return (JSON.parse(body) as { target?: { state?: string } }).target?.state;
  } catch {
    return undefined;
  }
}
