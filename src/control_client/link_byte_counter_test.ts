import assert from "node:assert/strict";
import { test } from "node:test";
import { LinkByteCounter } from "./link_byte_counter.ts";

type Step = number | "answered" | "lost";

// Guards against bytes that are reported twice, or not at all, when a renewal is
// not answered or the session is lost.
const cases: readonly {
  readonly name: string;
  /** Bytes that a renewal adds, or the outcome of the last renewal. */
  readonly steps: readonly Step[];
  readonly reported: readonly number[];
}[] = [
  {
    name: "answered renewals",
    steps: [5, "answered", 7],
    reported: [5, 7],
  },
  { name: "a renewal without an answer", steps: [5, 7], reported: [5, 12] },
  {
    name: "a session that was lost",
    steps: [5, "lost", 7, "answered", 1],
    reported: [5, 12, 1],
  },
  {
    name: "a session that was lost twice",
    steps: [5, "lost", "lost", 0],
    reported: [5, 5],
  },
];

for (const { name, steps, reported } of cases) {
  test(`bytes on links are reported once over ${name}`, () => {
    const counter = new LinkByteCounter();
    const sums: number[] = [];
    for (const step of steps) {
      if (step === "answered") {
        counter.onAnswered();
      } else if (step === "lost") {
        counter.onSessionLost();
      } else {
        const link = { fromRegion: "r1", toRegion: "r2", bytes: step };
        sums.push(counter.createReport([link])[0]?.bytes ?? 0);
      }
    }
    assert.deepEqual(sums, reported);
  });
}
