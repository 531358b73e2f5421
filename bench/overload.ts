/**
 * Measures goodput and recovery of a chain of three services as processes on
 * loopback, with nodes of both objectives and with two baselines.
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
const afterMilliseconds = 12_000;
const slowFactor = 10;
/** Length of the window in which recovery is judged. */
const windowMilliseconds = 500;
const modes: readonly ChainMode[] = [
  "goodput",
  "recovery",
  "fixed-limit",
  "pass-through",
];

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Gets completed requests per second of a class, or of all. */
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
  say(`${mode} | ${demand}x | ${total} | ${goodput.join(" | ")}`);
  const reasons = [...load.refusals].sort((a, b) => b[1] - a[1]).slice(0, 6);
  say(`  refusals: ${reasons.map(([name, n]) => `${name} ${n}`).join(", ")}`);
  await sleep(2000);
}

/** Measures how long goodput stays down after the registry was slow. */
async function measureRecovery(mode: ChainMode, chain: Chain): Promise<void> {
  const load = new OpenLoopLoad({ ports: chain.entryPorts, resends: 3 });
  load.setRate(0.9 * capacityRequestsPerSecond);
  await sleep(warmUpMilliseconds);
  const from = performance.now();
  await sleep(measuredMilliseconds);
  const before = getGoodput(load, { from, to: performance.now() });
  load.setRate(2 * capacityRequestsPerSecond);
  await chain.setRegistryServiceMilliseconds(
    slowFactor * registryServiceMilliseconds,
  );
  await sleep(slowMilliseconds);
  await chain.setRegistryServiceMilliseconds(registryServiceMilliseconds);
  load.setRate(0.9 * capacityRequestsPerSecond);
  const end = performance.now();
  await sleep(afterMilliseconds);
  await load.stop();
  const back = getRecovery(load, { before, end });
  const after = getGoodput(load, { from: end, to: end + 2000 });
  say(
    `${mode} | before ${before.toFixed(0)} | first 2 s after ${
      after.toFixed(0)
    } | back after ${back === undefined ? "not" : `${back} ms`}`,
  );
}

/** Gets the time until goodput is at 95% and stays there for 2 s. */
function getRecovery(
  load: OpenLoopLoad,
  { before, end }: { before: number; end: number },
): number | undefined {
  const isBack = (at: number) =>
    getGoodput(load, { from: at, to: at + windowMilliseconds }) >=
      0.95 * before;
  for (let at = 0; at < afterMilliseconds - 2000; at += 100) {
    const windows = [0, 500, 1000, 1500].map((each) => end + at + each);
    if (windows.every(isBack)) {
      return at + windowMilliseconds;
    }
  }
  return undefined;
}

const chosen = process.argv.slice(2) as ChainMode[];
say(`Capacity ${capacityRequestsPerSecond} whole requests per second.`);
say("mode | demand | total | transfers | sheets | balance views, per second");
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
