import { setTimeout as sleep } from "node:timers/promises";
import type { Cluster } from "../tests/support/cluster.ts";
import type { GroupProcess } from "../tests/support/process_group.ts";
import { waitUntil } from "../tests/support/wait_until.ts";
import type { ProcessTimeline } from "./process_timeline.ts";
import type { ProcessKind, SoakAction } from "./soak_plan.ts";
import { createViolation, type Violation } from "./violation.ts";

type StopAction = SoakAction & { kind: "stop" };

/** `stop_limit_ms` of a control instance, which the cluster leaves at its default. */
const controlStopLimitMilliseconds = 5000;
/** Time beyond its stop limit that a process has on a busy machine. */
const stopMarginMilliseconds = 20_000;

/** A process that the plan stops and starts. */
interface Slot {
  readonly name: string;
  readonly stopLimitMilliseconds: number;
  readonly start: () => void;
  /** Whether an action owns the process. */
  isBusy: boolean;
}

/** Stops, kills, freezes and starts the nodes and control instances. */
export class ProcessSupervisor {
  readonly violations: Violation[] = [];
  /** Actions that were left out because another one owned the process. */
  skipped = 0;
  readonly #cluster: Cluster;
  readonly #timeline: ProcessTimeline;
  readonly #slots: Readonly<Record<ProcessKind, readonly Slot[]>>;
  /** Processes whose exit is expected. */
  readonly #expectedExits = new WeakSet<GroupProcess>();
  #isReleased = false;

  /**
   * @param cluster The running processes.
   * @param timeline Receives what is done to them.
   */
  constructor(cluster: Cluster, timeline: ProcessTimeline) {
    this.#cluster = cluster;
    this.#timeline = timeline;
    this.#slots = {
      node: cluster.nodes.map((node) => ({
        name: `${node.name}-node`,
        stopLimitMilliseconds: cluster.stopLimitMilliseconds,
        start: () => cluster.startNode(node),
        isBusy: false,
      })),
      control: cluster.controlAddresses.map((_, index) => ({
        name: `control-${index}`,
        stopLimitMilliseconds: controlStopLimitMilliseconds,
        start: () => cluster.startControlInstance(index),
        isBusy: false,
      })),
    };
    this.#allSlots.forEach((slot) => this.#watch(slot));
  }

  get #allSlots(): Slot[] {
    return [...this.#slots.node, ...this.#slots.control];
  }

  /** Stops a process and starts it again; signals it again if it is busy. */
  async stopAndStart(action: StopAction): Promise<void> {
    const slot = this.#getSlotOrThrow(action.process, action.index);
    if (slot.isBusy) {
      this.#signalAgain(slot);
      return;
    }
    await this.#own(slot, async () => {
      await this.#stop(slot, action.secondSignalMilliseconds);
      await sleep(action.downMilliseconds);
      this.#start(slot);
      if (action.stopAfterStartMilliseconds !== undefined) {
        await sleep(action.stopAfterStartMilliseconds);
        await this.#stop(slot);
        this.#start(slot);
      }
    });
  }

  /** Stops and starts every process of a kind, one after the other. */
  async roll(process: ProcessKind): Promise<void> {
    for (const index of this.#slots[process].keys()) {
      await this.stopAndStart({
        kind: "stop",
        process,
        index,
        downMilliseconds: 0,
      });
    }
  }

  /** Kills a process with SIGKILL and starts it again. */
  async kill(action: SoakAction & { kind: "kill" }): Promise<void> {
    await this.#ownIfFree(action, async (slot, running) => {
      const end = this.#timeline.begin(slot.name, "killed");
      this.#expectedExits.add(running);
      running.child.kill("SIGKILL");
      await running.exited;
      await sleep(action.downMilliseconds);
      this.#start(slot);
      end();
    });
  }

  /** Pauses a process with SIGSTOP and resumes it. */
  async freeze(action: SoakAction & { kind: "freeze" }): Promise<void> {
    await this.#ownIfFree(action, async (slot, running) => {
      const end = this.#timeline.begin(slot.name, "frozen");
      running.child.kill("SIGSTOP");
      await sleep(action.milliseconds);
      running.child.kill("SIGCONT");
      end();
    });
  }

  /** Stops every process of a kind at the same time, and starts none again. */
  async stopAll(process: ProcessKind): Promise<void> {
    await Promise.all(
      this.#slots[process].map((slot) =>
        this.#own(slot, () => this.#stop(slot))
      ),
    );
  }

  /** Leaves the processes to their group, which stops them. */
  release(): void {
    this.#isReleased = true;
  }

  #getSlotOrThrow(process: ProcessKind, index: number): Slot {
    const slot = this.#slots[process][index];
    if (slot === undefined) {
      throw new Error(`There is no ${process} ${index}`);
    }
    return slot;
  }

  async #own(slot: Slot, act: () => Promise<void>): Promise<void> {
    slot.isBusy = true;
    try {
      await act();
    } finally {
      slot.isBusy = false;
    }
  }

  async #ownIfFree(
    action: { process: ProcessKind; index: number },
    act: (slot: Slot, running: GroupProcess) => Promise<void>,
  ): Promise<void> {
    const slot = this.#getSlotOrThrow(action.process, action.index);
    if (slot.isBusy || !this.#cluster.processes.isRunning(slot.name)) {
      this.skipped++;
      return;
    }
    const running = this.#cluster.processes.getOrThrow(slot.name);
    await this.#own(slot, () => act(slot, running));
  }

  #signalAgain(slot: Slot): void {
    const running = this.#cluster.processes.processes
      .find((each) => each.name === slot.name);
    if (running !== undefined && this.#expectedExits.has(running)) {
      running.child.kill("SIGTERM");
    } else {
      this.skipped++;
    }
  }

  async #stop(slot: Slot, secondSignalMilliseconds?: number): Promise<void> {
    if (!this.#cluster.processes.isRunning(slot.name)) {
      return;
    }
    const running = this.#cluster.processes.getOrThrow(slot.name);
    const end = this.#timeline.begin(slot.name, "stopped");
    const start = Date.now();
    this.#expectedExits.add(running);
    running.child.kill("SIGTERM");
    if (secondSignalMilliseconds !== undefined) {
      sleep(secondSignalMilliseconds)
        .then(() => running.child.kill("SIGTERM"));
    }
    const limit = slot.stopLimitMilliseconds + stopMarginMilliseconds;
    const timer = setTimeout(() => {
      this.violations.push(createViolation("not-stopped", {
        process: slot.name,
        limit,
      }));
      running.child.kill("SIGKILL");
    }, limit);
    const code = await running.exited;
    clearTimeout(timer);
    end();
    this.#timeline.stops.push({
      process: slot.name,
      milliseconds: Date.now() - start,
      code,
      signal: running.child.signalCode,
    });
  }

  #start(slot: Slot): void {
    if (this.#isReleased) {
      return;
    }
    slot.start();
    this.#watch(slot);
  }

  #watch(slot: Slot): void {
    const running = this.#cluster.processes.getOrThrow(slot.name);
    running.exited.then((code) => {
      if (this.#isReleased || this.#expectedExits.has(running)) {
        return;
      }
      const { signalCode } = running.child;
      this.violations.push(createViolation("unexpected-exit", {
        process: slot.name,
        code,
        signal: signalCode ?? undefined,
        output: running.outputLines.slice(-3).join(" | "),
      }));
      this.#start(slot);
    });
  }

  /** Waits until no action owns a process. */
  async waitUntilFree(): Promise<void> {
    await waitUntil(
      () => this.#allSlots.every((slot) => !slot.isBusy),
      "no action owns a process",
      120_000,
    );
  }
}
