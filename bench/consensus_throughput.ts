/**
 * Measures entries per second, latency, processor time and memory per entry
 * of a group whose instances are processes on loopback with real syncs.
 *
 * Run with `node dist/bench/consensus_throughput.js`.
 */
import assert from "node:assert/strict";
import { type ChildProcess, fork } from "node:child_process";
import { mkdtemp, open, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { build } from "hdr-histogram-js";
import {
  createReplicatedLog,
  type StateMachine,
} from "../src/consensus/mod.ts";
import {
  getFreeAddress,
  waitForValue,
} from "../tests/support/replicated_log_group.ts";

const commandBytes = 256;
const seconds = 5;

interface Usage {
  cpuMicroseconds: number;
  memoryBytes: number;
}

interface LoadResult {
  entries: number;
  milliseconds: number;
  p50: number;
  p99: number;
  failed: number;
}

type InstanceRequest = { kind: "role" } | { kind: "usage" } | {
  kind: "load";
  concurrency: number;
};

/**
 * Creates a state machine that only counts commands, so that the measured cost
 * is that of the log.
 */
function createCommandCounter(): StateMachine {
  let count = 0;
  return {
    apply: () => Buffer.from(String(++count)),
    takeSnapshot: () => Buffer.from(String(count)),
    restoreSnapshot: (bytes) => {
      count = Number(Buffer.from(bytes).toString());
    },
    getDigest: () => String(count),
  };
}

async function runInstance(
  address: string,
  options: { dataFolder: string; initialMembers: string[] },
): Promise<void> {
  const log = await createReplicatedLog({
    address,
    ...options,
    stateMachine: createCommandCounter(),
    // Without snapshots every entry stays in memory, so that the memory per entry
    // can be measured.
    snapshotEntries: Infinity,
    log: { info: () => {}, warn: () => {}, error: () => {} },
  });
  const load = async (concurrency: number): Promise<LoadResult> => {
    const command = Buffer.alloc(commandBytes, 1);
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    let failed = 0;
    const start = performance.now();
    const end = start + seconds * 1000;
    await Promise.all(Array.from({ length: concurrency }, async () => {
      while (performance.now() < end) {
        const sent = performance.now();
        const result = await log.propose(command);
        if (result.kind === "ok") {
          histogram.recordValue(
            Math.round((performance.now() - sent) * 1000),
          );
        } else {
          failed++;
          await new Promise((resolve) => setTimeout(resolve, 10));
        }
      }
    }));
    return {
      entries: histogram.totalCount,
      milliseconds: performance.now() - start,
      p50: histogram.getValueAtPercentile(50) / 1000,
      p99: histogram.getValueAtPercentile(99) / 1000,
      failed,
    };
  };
  const getUsage = (): Usage => {
    globalThis.gc?.();
    const { user, system } = process.cpuUsage();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return {
      cpuMicroseconds: user + system,
      memoryBytes: heapUsed + arrayBuffers,
    };
  };
  process.on("message", async (request: InstanceRequest) => {
    switch (request.kind) {
      case "role":
        process.send?.(log.getStatus().role);
        return;
      case "usage":
        process.send?.(getUsage());
        return;
      case "load":
        process.send?.(await load(request.concurrency));
        return;
    }
  });
  process.on("disconnect", () => process.exit(0));
}

function sendRequest<Response>(
  child: ChildProcess,
  request: InstanceRequest,
): Promise<Response> {
  return new Promise((resolve, reject) => {
    child.once("message", (response) => resolve(response as Response));
    child.send(request, (error) => error && reject(error));
  });
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

async function measureGroup(size: number): Promise<Record<string, unknown>[]> {
  const root = await mkdtemp(join(tmpdir(), "dogwoodwalk-bench-"));
  const addresses = await Promise.all(
    Array.from({ length: size }, () => getFreeAddress()),
  );
  const children = addresses.map((address, slot) =>
    fork(fileURLToPath(import.meta.url), [
      address,
      join(root, String(slot)),
      ...addresses,
    ], { execArgv: ["--expose-gc"] })
  );
  try {
    const leader = await waitForValue(async () => {
      for (const child of children) {
        if (await sendRequest(child, { kind: "role" }) === "leader") {
          return child;
        }
      }
      return undefined;
    }, "a leader");
    await sendRequest(leader, { kind: "load", concurrency: 16 });
    const rows: Record<string, unknown>[] = [];
    for (const concurrency of [1, 16, 128, 1024]) {
      const getUsages = () =>
        Promise.all(
          children.map((each) => sendRequest<Usage>(each, { kind: "usage" })),
        );
      const before = await getUsages();
      const load = await sendRequest<LoadResult>(leader, {
        kind: "load",
        concurrency,
      });
      const after = await getUsages();
      const differences = after.map((usage, position) => ({
        cpu: usage.cpuMicroseconds - (before[position]?.cpuMicroseconds ?? 0),
        memory: usage.memoryBytes - (before[position]?.memoryBytes ?? 0),
      }));
      const leaderUsage = differences[children.indexOf(leader)];
      rows.push({
        instances: size,
        "in flight": concurrency,
        "entries/s": Math.round(load.entries / load.milliseconds * 1000),
        "p50 ms": load.p50,
        "p99 ms": load.p99,
        failed: load.failed,
        "CPU us/entry, all": Math.round(
          sum(differences.map((each) => each.cpu)) / load.entries,
        ),
        "CPU us/entry, leader": Math.round(
          (leaderUsage?.cpu ?? NaN) / load.entries,
        ),
        "memory B/entry, leader": Math.round(
          (leaderUsage?.memory ?? NaN) / load.entries,
        ),
      });
    }
    return rows;
  } finally {
    children.forEach((child) => child.disconnect());
    await Promise.all(
      children.map((child) =>
        new Promise((resolve) => child.once("exit", resolve))
      ),
    );
    await rm(root, { recursive: true, force: true });
  }
}

/** Measures the disk without the log: appends per second with one sync each. */
async function measureDisk(): Promise<number> {
  const root = await mkdtemp(join(tmpdir(), "dogwoodwalk-bench-"));
  const file = await open(join(root, "file"), "a");
  let count = 0;
  const start = performance.now();
  while (performance.now() < start + 2000) {
    await file.write(Buffer.alloc(commandBytes));
    await file.datasync();
    count++;
  }
  const rate = count / (performance.now() - start) * 1000;
  await file.close();
  await rm(root, { recursive: true });
  return rate;
}

const [address, dataFolder, ...initialMembers] = process.argv.slice(2);
if (address !== undefined && dataFolder !== undefined) {
  await runInstance(address, { dataFolder, initialMembers });
} else {
  assert.equal(process.argv.length, 2, "takes no arguments");
  const rate = await measureDisk();
  console.log(
    `commands of ${commandBytes} bytes, ${seconds} s each; the disk alone: ${
      Math.round(rate)
    } synced appends/s`,
  );
  console.table([...await measureGroup(1), ...await measureGroup(3)]);
}
