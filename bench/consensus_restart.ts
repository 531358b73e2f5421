/**
 * Measures the time until restarted instances have applied their whole log
 * again, and compares the digests of their state.
 *
 * Run with `node dist/bench/consensus_restart.js`.
 */
import assert from "node:assert/strict";
import { stat } from "node:fs/promises";
import { join } from "node:path";
import {
  ReplicatedLogGroup,
  type ReplicatedLogInstance,
  waitForValue,
} from "../tests/support/replicated_log_group.ts";

const repetitions = 5;
const commandBytes = 1024;

interface Row {
  instances: number;
  entries: number;
  snapshot: string;
  "log KiB": number;
  "applied ms": number;
  "serving ms": number;
  "serving ms, max": number;
  digest: string;
}

async function fillLog(
  group: ReplicatedLogGroup,
  count: number,
): Promise<void> {
  const { log } = await group.waitForLeader();
  const padding = "x".repeat(commandBytes - 16);
  for (let proposedCount = 0; proposedCount < count; proposedCount += 500) {
    const results = await Promise.all(
      Array.from(
        { length: Math.min(500, count - proposedCount) },
        (_, index) =>
          log.propose(Buffer.from(`${proposedCount + index} ${padding}`)),
      ),
    );
    assert.ok(results.every((each) => each.kind === "ok"));
  }
}

/**
 * Restarts all instances.
 * @returns Milliseconds until every instance has applied all entries, and until
 *   a read is confirmed, which requires a leader.
 */
async function restart(
  group: ReplicatedLogGroup,
  lastIndex: number,
): Promise<{ applied: number; serving: number }> {
  const stopped: ReplicatedLogInstance[] = [...group.instances];
  for (const instance of stopped) {
    await group.stopInstance(instance);
  }
  const start = performance.now();
  await Promise.all(
    stopped.map(({ address, dataFolder }) =>
      group.startInstance({ address, dataFolder })
    ),
  );
  await waitForValue(
    () =>
      group.instances.every(({ log }) =>
        log.getStatus().appliedIndex >= lastIndex
      ) || undefined,
    "all entries",
  );
  const applied = performance.now() - start;
  await waitForValue(async () => {
    const { log } = await group.waitForLeader();
    return (await log.confirmRead()).kind === "ok" || undefined;
  }, "a confirmed read");
  return { applied, serving: performance.now() - start };
}

function getMedian(times: readonly number[]): number {
  const sorted = [...times].sort((a, b) => a - b);
  return Math.round(sorted[repetitions >> 1] ?? NaN);
}

async function measure(
  instances: number,
  options: { entries: number; hasSnapshot: boolean },
): Promise<Row> {
  const { entries, hasSnapshot } = options;
  const group = await ReplicatedLogGroup.start(instances, {
    snapshotEntries: hasSnapshot ? entries : Infinity,
  });
  try {
    await fillLog(group, entries);
    await group.waitForEqualState();
    const [first] = group.instances;
    assert.ok(first);
    const { lastIndex, digest, snapshotIndex } = first.log.getStatus();
    assert.equal(snapshotIndex > 0, hasSnapshot);
    const applied: number[] = [];
    const serving: number[] = [];
    let hasSameDigest = true;
    for (let repetition = 0; repetition < repetitions; repetition++) {
      const times = await restart(group, lastIndex);
      applied.push(times.applied);
      serving.push(times.serving);
      hasSameDigest &&= group.instances.every(({ log }) =>
        log.getStatus().digest === digest
      );
    }
    const { size } = await stat(join(first.dataFolder, "log"));
    return {
      instances,
      entries,
      snapshot: hasSnapshot ? "yes" : "no",
      "log KiB": Math.round(size / 1024),
      "applied ms": getMedian(applied),
      "serving ms": getMedian(serving),
      "serving ms, max": Math.round(Math.max(...serving)),
      digest: hasSameDigest ? "same" : "DIFFERS",
    };
  } finally {
    await group.stop();
  }
}

const rows: Row[] = [];
for (const instances of [1, 3]) {
  for (const entries of [100, 1000, 10_000]) {
    for (const hasSnapshot of [false, true]) {
      rows.push(await measure(instances, { entries, hasSnapshot }));
    }
  }
}
console.log(
  `medians of ${repetitions} restarts, commands of ${commandBytes} bytes; all instances stop and start together`,
);
console.table(rows);
