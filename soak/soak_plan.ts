import { createSeededRandom, type RandomSource } from "../src/common/mod.ts";
import type { DocumentRemoval } from "./document_removal.ts";
import { soakTenants } from "./soak_tenants.ts";

/** Kind of a process that an event concerns. */
export type ProcessKind = "node" | "control";

/** What happens to a process, or to the document. */
export type SoakAction =
  | {
    readonly kind: "stop";
    readonly process: ProcessKind;
    readonly index: number;
    /** Delay of a second SIGTERM; absent to send none. */
    readonly secondSignalMilliseconds?: number;
    /** Time between the exit and the next start. */
    readonly downMilliseconds: number;
    /** Time after the next start at which it is stopped again, if set. */
    readonly stopAfterStartMilliseconds?: number;
  }
  | {
    readonly kind: "kill";
    readonly process: ProcessKind;
    readonly index: number;
    readonly downMilliseconds: number;
  }
  | {
    readonly kind: "freeze";
    readonly process: ProcessKind;
    readonly index: number;
    readonly milliseconds: number;
  }
  | { readonly kind: "roll"; readonly process: ProcessKind }
  | { readonly kind: "apply"; readonly warmUpMilliseconds: number }
  | {
    readonly kind: "remove";
    readonly removal: DocumentRemoval;
    /** Time after the change at which the part is restored. */
    readonly milliseconds: number;
  }
  | {
    readonly kind: "withdraw";
    /** Index of the tenant whose changing key is withdrawn. */
    readonly tenant: number;
    /** Time after the change at which the key is added again. */
    readonly milliseconds: number;
  }
  | {
    readonly kind: "drain";
    readonly index: number;
    /** Time after the drain at which the target is started again. */
    readonly milliseconds: number;
  };

/** An action and its time after the start of the load. */
export interface SoakEvent {
  readonly atMilliseconds: number;
  readonly action: SoakAction;
}

/** Size of a run. */
export interface SoakSize {
  readonly seed: number;
  readonly seconds: number;
  readonly nodeCount: number;
  readonly controlCount: number;
}

type ActionKind = Exclude<SoakAction["kind"], "remove" | "withdraw">;

const weights: readonly (readonly [ActionKind, number])[] = [
  ["stop", 10],
  ["roll", 1],
  ["apply", 4],
  ["drain", 2],
  ["freeze", 2],
  ["kill", 2],
];
/** Mean time between two events. */
const intervalMilliseconds = 1200;
/** Every fourth event comes at once after the one before it. */
const adjoiningShare = 0.25;
/** Parts of the document that callers reach through other nodes. */
const removals: readonly DocumentRemoval[] = [
  { service: "treasury" },
  { service: "roster-registry" },
  { service: "treasury" },
  { service: "roster-registry" },
  { service: "treasury", route: { method: "GET", path: "/balances/*" } },
  { service: "treasury", route: { method: "POST", path: "/transfers" } },
  { service: "roster-registry", route: { method: "*", path: "/rosters/*" } },
];
const removalIntervalMilliseconds = 5000;
/** Leaves time for requests once all nodes must have the change. */
const minimumWithdrawalMilliseconds = 7000;
/** Share of the plans in which keys are withdrawn. */
const withdrawingShare = 0.6;
/** Share of the removals that do not reach some of the nodes at once. */
const lateShare = 0.6;

/**
 * Draws the events of a run. Events overlap: an action that takes long is not
 * awaited by the next one.
 * @param size Seed, duration and number of processes.
 * @returns The events in the order of their times.
 */
export function createSoakPlan(size: SoakSize): SoakEvent[] {
  return [...drawEvents(size), ...drawRemovals(size), ...drawWithdrawals(size)]
    .toSorted((one, other) => one.atMilliseconds - other.atMilliseconds);
}

function drawEvents(size: SoakSize): SoakEvent[] {
  // Spreads the seeds: neighboring ones begin with similar numbers.
  const random = createSeededRandom(Math.imul(size.seed, 0x9e3779b1));
  const events: SoakEvent[] = [];
  let atMilliseconds = 500;
  while (atMilliseconds < size.seconds * 1000) {
    events.push({
      atMilliseconds: Math.round(atMilliseconds),
      action: drawAction(random, size),
    });
    atMilliseconds += random() < adjoiningShare
      ? random() * 100
      : random() * 2 * intervalMilliseconds;
  }
  return events;
}

/**
 * Draws when parts of the document are removed. Before some of the changes, a
 * process freezes, so that nodes have different documents for longer.
 */
function drawRemovals(size: SoakSize): SoakEvent[] {
  // Separate from the other events, whose plan does not depend on these.
  const random = createSeededRandom(Math.imul(size.seed, 0x85ebca6b));
  const events: SoakEvent[] = [];
  let atMilliseconds = 500 + random() * removalIntervalMilliseconds;
  while (atMilliseconds < size.seconds * 1000) {
    const removal =
      removals[Math.floor(random() * removals.length)] as DocumentRemoval;
    events.push({
      atMilliseconds: Math.round(atMilliseconds),
      action: {
        kind: "remove",
        removal,
        milliseconds: Math.round(500 + random() * 3000),
      },
    });
    if (random() < lateShare) {
      events.push({
        atMilliseconds: Math.round(atMilliseconds - random() * 500),
        action: drawFreeze(random, size),
      });
    }
    atMilliseconds += random() * 2 * removalIntervalMilliseconds;
  }
  return events;
}

/** Draws when keys are withdrawn and added again, in some of the plans. */
function drawWithdrawals(size: SoakSize): SoakEvent[] {
  const random = createSeededRandom(Math.imul(size.seed, 0xc2b2ae35));
  if (random() >= withdrawingShare) {
    return [];
  }
  const events: SoakEvent[] = [];
  let atMilliseconds = 300 + random() * 1000;
  const endMilliseconds = size.seconds * 1000;
  while (atMilliseconds + minimumWithdrawalMilliseconds < endMilliseconds) {
    const milliseconds = Math.round(
      Math.min(
        minimumWithdrawalMilliseconds + random() * 4000,
        endMilliseconds - atMilliseconds,
      ),
    );
    events.push({
      atMilliseconds: Math.round(atMilliseconds),
      action: {
        kind: "withdraw",
        tenant: Math.floor(random() * soakTenants.length),
        milliseconds,
      },
    });
    atMilliseconds += milliseconds + random() * 4000;
  }
  return events;
}

function drawFreeze(random: RandomSource, size: SoakSize): SoakAction {
  const process: ProcessKind = random() < 0.5 ? "node" : "control";
  const count = process === "node" ? size.nodeCount : size.controlCount;
  return {
    kind: "freeze",
    process,
    index: Math.floor(random() * count),
    milliseconds: Math.round(500 + random() * 4000),
  };
}

function drawAction(random: RandomSource, size: SoakSize): SoakAction {
  const process: ProcessKind = random() < 0.7 ? "node" : "control";
  const drawIndex = (of: ProcessKind) =>
    Math.floor(
      random() * (of === "node" ? size.nodeCount : size.controlCount),
    );
  const index = drawIndex(process);
  const kind = drawKind(random);
  switch (kind) {
    case "stop":
      return {
        kind,
        process,
        index,
        downMilliseconds: Math.round(random() * 1000),
        ...(random() < 0.3
          ? { secondSignalMilliseconds: Math.round(random() * 3500) }
          : {}),
        ...(random() < 0.25
          ? { stopAfterStartMilliseconds: Math.round(random() * 1500) }
          : {}),
      };
    case "kill":
      return {
        kind,
        process,
        index,
        downMilliseconds: Math.round(random() * 2000),
      };
    case "freeze":
      return {
        kind,
        process,
        index,
        milliseconds: Math.round(500 + random() * 6000),
      };
    case "roll":
      return { kind, process };
    case "apply":
      return { kind, warmUpMilliseconds: Math.round(1000 + random() * 2000) };
    case "drain":
      return {
        kind,
        index: drawIndex("node"),
        milliseconds: Math.round(6000 + random() * 6000),
      };
  }
}

function drawKind(random: RandomSource): ActionKind {
  const sum = weights.reduce((total, [, weight]) => total + weight, 0);
  let rest = random() * sum;
  return weights.find(([, weight]) => (rest -= weight) < 0)?.[0] ?? "stop";
}
