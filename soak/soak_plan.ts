import { createSeededRandom, type RandomSource } from "../src/common/mod.ts";

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

type ActionKind = SoakAction["kind"];

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

/**
 * Draws the events of a run. Events overlap: an action that takes long is not
 * awaited by the next one.
 * @param size Seed, duration and number of processes.
 * @returns The events in the order of their times.
 */
export function createSoakPlan(size: SoakSize): SoakEvent[] {
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
