/**
 * Measures goodput and recovery of a chain of three services whose processes
 * run on loopback, with nodes of both objectives and with two baselines.
 *
 * Usage: node dist/bench/overload.js [mode ...]
 */
import { type LoadClass, loadClasses, OpenLoopLoad } from "./open_loop_load.ts";
import {
  capacityRequestsPerSecond,
  type Chain,
  type ChainMode,
  registryServiceMilliseconds,
  startChain,
} from "./overload_chain.ts";

const warmUpMilliseconds = 3000;
const measuredMilliseconds = 6000;
const slowMilliseconds = 5000;
const recoveryMilliseconds = 12_000;
const slowdownFactor = 10;
/** Length of the windows over which goodput is averaged to detect recovery. */
const recoveryWindowMilliseconds = 500;
const modes: readonly ChainMode[] = [
  "goodput",
  "recovery",
  "fixed-limit",
  "pass-through",
];

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Gets completed requests per second of one class or of all classes. */
function getGoodput(
  load: OpenLoopLoad,
  range: { from: number; to: number; name?: LoadClass },
): number {
  const count =
    load.completions.filter((each) =>
      each.atMilliseconds >= range.from && each.atMilliseconds < range.to &&
      (range.name === undefined || each.name === range.name)
    ).length;
  return count * 1000 / (range.to - range.from);
}

async function measureGoodput(
  mode: ChainMode,
  chain: Chain,
  demand: number,
): Promise<void> {
  const load = new OpenLoopLoad({ ports: chain.entryPorts, resends: 0 });
  load.setRate(demand * capacityRequestsPerSecond);
  await sleep(warmUpMilliseconds);
  const from = performance.now();
  await sleep(measuredMilliseconds);
  const to = performance.now();
  await load.stop();
  const goodput = loadClasses.map((name) =>
    getGoodput(load, { from, to, name }).toFixed(0)
  );
  const total = getGoodput(load, { from, to }).toFixed(0);
  printLine(`${mode} | ${demand}x | ${total} | ${goodput.join(" | ")}`);
  const reasons = [...load.refusals].sort((a, b) => b[1] - a[1]).slice(0, 6);
  printLine(
    `  refusals: ${reasons.map(([name, n]) => `${name} ${n}`).join(", ")}`,
  );
  await sleep(2000);
}

/** Measures the time until goodput recovers after the registry was slow. */
async function measureRecovery(mode: ChainMode, chain: Chain): Promise<void> {
  const load = new OpenLoopLoad({ ports: chain.entryPorts, resends: 3 });
  load.setRate(0.9 * capacityRequestsPerSecond);
  await sleep(warmUpMilliseconds);
  const from = performance.now();
  await sleep(measuredMilliseconds);
  const before = getGoodput(load, { from, to: performance.now() });
  load.setRate(2 * capacityRequestsPerSecond);
  await chain.setRegistryServiceMilliseconds(
    slowdownFactor * registryServiceMilliseconds,
  );
  await sleep(slowMilliseconds);
  await chain.setRegistryServiceMilliseconds(registryServiceMilliseconds);
  load.setRate(0.9 * capacityRequestsPerSecond);
  const slowdownEnd = performance.now();
  await sleep(recoveryMilliseconds);
  await load.stop();
  const recoveredAfter = getRecoveryMilliseconds(load, {
    before,
    end: slowdownEnd,
  });
  const goodputAfter = getGoodput(load, {
    from: slowdownEnd,
    to: slowdownEnd + 2000,
  });
  printLine(
    `${mode} | before ${before.toFixed(0)} | first 2 s after ${
      goodputAfter.toFixed(0)
    } | back after ${
      recoveredAfter === undefined ? "not" : `${recoveredAfter} ms`
    }`,
  );
}

/**
 * Gets the time until goodput reaches 95% of its value before the slowdown and
 * stays there for 2 s; undefined if it does not recover.
 */
function getRecoveryMilliseconds(
  load: OpenLoopLoad,
  { before, end }: { before: number; end: number },
): number | undefined {
  const isRecovered = (at: number) =>
    getGoodput(load, { from: at, to: at + recoveryWindowMilliseconds }) >=
      0.95 * before;
  for (let at = 0; at < recoveryMilliseconds - 2000; at += 100) {
    const windows = [0, 500, 1000, 1500].map((each) => end + at + each);
    if (windows.every(isRecovered)) {
      return at + recoveryWindowMilliseconds;
    }
  }
  return undefined;
}

const chosen = process.argv.slice(2) as ChainMode[];
printLine(`Capacity ${capacityRequestsPerSecond} whole requests per second.`);
printLine(
  "mode | demand | total | transfers | sheets | balance views, per second",
);
for (const mode of chosen.length > 0 ? chosen : modes) {
  const chain = await startChain(mode);
  try {
    for (const demand of [1, 2, 4]) {
      await measureGoodput(mode, chain, demand);
    }
    await measureRecovery(mode, chain);
  } finally {
    await chain.stop();
  }
}
