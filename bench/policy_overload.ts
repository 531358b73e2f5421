// Measures the decisions under overload in virtual time, without processes:
// goodput of whole requests by class, and recovery after a slow-down.
// Run: npm run build && node dist/bench/policy_overload.js [mode ...] [part ...]
// A part is load, slow or one (one target slowed); REFUSALS=1 and SERIES=1 print more.
import {
  capacityRequestsPerSecond,
  classes,
  SimulatedChain,
  type SimulationMode,
} from "./simulated_chain.ts";

const modes: readonly SimulationMode[] = [
  "goodput",
  "recovery",
  "fixed-limit",
  "pass-through",
];

interface Load {
  /** Demand as a multiple of the capacity at a time in seconds. */
  readonly getDemand: (seconds: number) => number;
  /** Times that a caller sends again after a failure. */
  readonly resends: number;
}

/** Starts callers; returns completed requests by class and 100 ms. */
function startCallers(chain: SimulatedChain, load: Load): number[][] {
  const completed: number[][] = classes.map(() => []);
  const { loop, random } = chain;
  const send = (classIndex: number, resends: number) => {
    chain.send(classIndex, (isOk) => {
      if (isOk) {
        const counts = completed[classIndex] ?? [];
        const slot = Math.floor(loop.now / 100);
        counts[slot] = (counts[slot] ?? 0) + 1;
      } else if (resends > 0) {
        loop.schedule(50 + 50 * random(), () => send(classIndex, resends - 1));
      }
    });
  };
  let next = 0;
  const arrive = () => {
    while (next <= loop.now) {
      send(chooseClass(random()), load.resends);
      const demand = load.getDemand(loop.now / 1000);
      next -= Math.log(1 - random()) /
        (capacityRequestsPerSecond * demand / 1000);
    }
    loop.schedule(next - loop.now, arrive);
  };
  arrive();
  return completed;
}

/** Gets the class at a point of the demand, 0 to 1. */
function chooseClass(point: number): number {
  let end = 0;
  return classes.findIndex(({ part }) => point < (end += part));
}

/** Gets completed requests per second between two times in milliseconds. */
function getRate(counts: readonly number[], from: number, to: number): number {
  let sum = 0;
  for (let slot = from / 100; slot < to / 100; slot++) {
    sum += counts[slot] ?? 0;
  }
  return sum / (to - from) * 1000;
}

function measureGoodput(mode: SimulationMode, demand: number): number {
  const chain = new SimulatedChain(mode);
  const completed = startCallers(chain, {
    getDemand: () => demand,
    resends: 2,
  });
  chain.loop.runUntil(3000);
  chain.transfersRefusedDuringBalance = 0;
  chain.refusals.clear();
  chain.loop.runUntil(10_000);
  const rates = completed.map((counts) => getRate(counts, 3000, 10_000));
  const total = rates.reduce((sum, rate) => sum + rate, 0);
  const details = classes.map(({ name }, i) =>
    `${name}=${(rates[i] ?? 0).toFixed(0)}`
  ).join(" ");
  console.log(
    `mode=${mode} demand=${demand}x goodput=${total.toFixed(0)}/s ${details} ` +
      `transfers_refused_beside_balance=${chain.transfersRefusedDuringBalance}`,
  );
  printRefusals(chain);
  return total;
}

function printRefusals(chain: SimulatedChain): void {
  if (process.env["REFUSALS"] === "1") {
    console.log("  ", Object.fromEntries(chain.refusals));
  }
}

const slowFrom = 8000;
const slowTo = 13_000;
const windowMilliseconds = 500;

/** Slows the deepest service 10 times for 5 s while demand is twice. */
function measureRecovery(
  mode: SimulationMode,
  resends: number,
  slowTargets = 6,
): void {
  const chain = new SimulatedChain(mode);
  chain.slowTargetCount = slowTargets;
  const completed = startCallers(chain, {
    getDemand: (seconds) => seconds < 3 ? 0.8 : 2,
    resends,
  });
  chain.loop.schedule(slowFrom, () => chain.slowdownFactor = 10);
  chain.loop.schedule(slowTo, () => chain.slowdownFactor = 1);
  chain.loop.runUntil(25_000);
  const all = Array.from(
    { length: 250 },
    (_, slot) =>
      completed.reduce((sum, counts) => sum + (counts[slot] ?? 0), 0),
  );
  const before = getRate(all, 4000, slowFrom);
  const isBack = (time: number) =>
    getRate(all, time - windowMilliseconds, time) >= 0.95 * before &&
    getRate(all, time, time + 2000) >= 0.95 * before;
  let back = slowTo;
  while (back < 23_000 && !isBack(back)) {
    back += 100;
  }
  const recovery = back < 23_000 ? `${back - slowTo}ms` : "none in 10s";
  console.log(
    `mode=${mode} resends=${resends} slow_targets=${slowTargets} before=${
      before.toFixed(0)
    }/s ` +
      `during=${getRate(all, slowFrom, slowTo).toFixed(0)}/s ` +
      `recovery=${recovery} ` +
      `first_2s=${getRate(all, slowTo, slowTo + 2000).toFixed(0)}/s ` +
      `transfers_refused_beside_balance=${chain.transfersRefusedDuringBalance}`,
  );
  printRefusals(chain);
  if (process.env["SERIES"] === "1") {
    const from = slowTo / 100 - 5;
    console.log("  ", all.slice(from, from + 45).join(" "));
  }
}

const chosen = process.argv.slice(2);
const parts = ["load", "slow", "one"].filter((it) => chosen.includes(it));
const chosenModes = modes.filter((it) => chosen.includes(it));
for (const mode of chosenModes.length > 0 ? chosenModes : modes) {
  if (parts.length === 0 || parts.includes("load")) {
    const [one = 0, , four = 0] = [1, 2, 4].map((demand) =>
      measureGoodput(mode, demand)
    );
    console.log(`mode=${mode} 4x/1x=${(100 * four / one).toFixed(1)}%`);
  }
  if (parts.length === 0 || parts.includes("slow")) {
    measureRecovery(mode, 2);
    measureRecovery(mode, 6);
  }
  if (parts.length === 0 || parts.includes("one")) {
    measureRecovery(mode, 2, 1);
  }
}
