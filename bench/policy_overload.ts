// Simulates admission, routing and retries under overload in virtual time, without
// processes. Measures goodput by class and the recovery after a service was slow.
// Run: npm run build && node dist/bench/policy_overload.js [mode ...] [part ...]
// Parts: load (goodput at 1, 2 and 4 times the capacity), slow (recovery after all
// targets of the deepest service were slow) and one (after one of them was slow).
// REFUSALS=1 also prints refusals by class and reason, SERIES=1 the completed
// requests of each 100 ms around the end of the slowdown.
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
  /** Gets the demand at a time in seconds, as a multiple of the capacity. */
  readonly getDemand: (seconds: number) => number;
  /** Times that a caller sends a failed request again. */
  readonly resends: number;
}

/**
 * Starts the callers.
 * @returns Completed requests of each class in each 100 ms.
 */
function startCallers(chain: SimulatedChain, load: Load): number[][] {
  const completed: number[][] = classes.map(() => []);
  const { scheduler, random } = chain;
  const send = (classIndex: number, resends: number) => {
    chain.send(classIndex, (isOk) => {
      if (isOk) {
        const counts = completed[classIndex] ?? [];
        const slot = Math.floor(scheduler.now / 100);
        counts[slot] = (counts[slot] ?? 0) + 1;
      } else if (resends > 0) {
        scheduler.schedule(
          50 + 50 * random(),
          () => send(classIndex, resends - 1),
        );
      }
    });
  };
  let nextArrivalMilliseconds = 0;
  const sendDueRequests = () => {
    while (nextArrivalMilliseconds <= scheduler.now) {
      send(chooseClass(random()), load.resends);
      const demand = load.getDemand(scheduler.now / 1000);
      nextArrivalMilliseconds -= Math.log(1 - random()) /
        (capacityRequestsPerSecond * demand / 1000);
    }
    scheduler.schedule(
      nextArrivalMilliseconds - scheduler.now,
      sendDueRequests,
    );
  };
  sendDueRequests();
  return completed;
}

/**
 * Chooses a class according to the demand shares.
 * @param sample Random number from 0 to 1.
 */
function chooseClass(sample: number): number {
  let end = 0;
  return classes.findIndex(({ demandShare }) => sample < (end += demandShare));
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
  chain.scheduler.runUntil(3000);
  chain.transfersRefusedDuringBalance = 0;
  chain.refusals.clear();
  chain.scheduler.runUntil(10_000);
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

const slowdownStartMilliseconds = 8000;
const slowdownEndMilliseconds = 13_000;
const recoveryWindowMilliseconds = 500;

/**
 * Measures the time until goodput recovers after the deepest service was 10
 * times slower for 5 s, at a demand of twice the capacity.
 */
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
  chain.scheduler.schedule(
    slowdownStartMilliseconds,
    () => chain.slowdownFactor = 10,
  );
  chain.scheduler.schedule(
    slowdownEndMilliseconds,
    () => chain.slowdownFactor = 1,
  );
  chain.scheduler.runUntil(25_000);
  const completedPerSlot = Array.from(
    { length: 250 },
    (_, slot) =>
      completed.reduce((sum, counts) => sum + (counts[slot] ?? 0), 0),
  );
  const before = getRate(completedPerSlot, 4000, slowdownStartMilliseconds);
  const isRecovered = (time: number) =>
    getRate(completedPerSlot, time - recoveryWindowMilliseconds, time) >=
      0.95 * before &&
    getRate(completedPerSlot, time, time + 2000) >= 0.95 * before;
  let recoveryTime = slowdownEndMilliseconds;
  while (recoveryTime < 23_000 && !isRecovered(recoveryTime)) {
    recoveryTime += 100;
  }
  const recovery = recoveryTime < 23_000
    ? `${recoveryTime - slowdownEndMilliseconds}ms`
    : "none in 10s";
  console.log(
    `mode=${mode} resends=${resends} slow_targets=${slowTargets} before=${
      before.toFixed(0)
    }/s ` +
      `during=${
        getRate(
          completedPerSlot,
          slowdownStartMilliseconds,
          slowdownEndMilliseconds,
        )
          .toFixed(0)
      }/s ` +
      `recovery=${recovery} ` +
      `first_2s=${
        getRate(
          completedPerSlot,
          slowdownEndMilliseconds,
          slowdownEndMilliseconds + 2000,
        )
          .toFixed(0)
      }/s ` +
      `transfers_refused_beside_balance=${chain.transfersRefusedDuringBalance}`,
  );
  printRefusals(chain);
  if (process.env["SERIES"] === "1") {
    const from = slowdownEndMilliseconds / 100 - 5;
    console.log("  ", completedPerSlot.slice(from, from + 45).join(" "));
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
