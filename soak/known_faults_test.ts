import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { getKnownFault, knownFaults } from "./known_faults.ts";
import { createViolation, type Violation } from "./violation.ts";

test("every known fault has its entry in KNOWN-RED.txt", () => {
  const lines = readFileSync("KNOWN-RED.txt", "utf8").split("\n");
  for (const { entry } of knownFaults) {
    assert.ok(lines.includes(entry), entry);
  }
});

const newFaults: readonly Violation[] = [
  createViolation("work-after-drain", { restarted: false }),
  createViolation("work-after-drain", { restarted: true }),
  createViolation("false-not-run", { reason: "no-target" }),
  createViolation("false-not-run", { reason: "no-target", key: "k" }),
  createViolation("false-not-run", { reason: "stopping", key: "k" }),
  createViolation("lost", {
    client: "v1/pipelining",
    oldestMilliseconds: 2000,
  }),
  createViolation("lost", {
    client: "v1/slow-reader",
    oldestMilliseconds: 900,
  }),
  createViolation("lost", {
    client: "v1/slow-reader",
    oldestMilliseconds: 2000,
  }),
  createViolation("read-unanswered", {
    client: "v1/slow-reader",
    oldestMilliseconds: 2000,
  }),
  createViolation("read-unanswered", { key: "k", stoppingMilliseconds: 4000 }),
  createViolation("read-unanswered", { key: "k", stoppingMilliseconds: 9500 }),
  createViolation("read-unanswered", { key: "k" }),
  createViolation("ran-twice", { key: "k" }),
  createViolation("denied", { status: 404, reason: "unknown-route" }),
  createViolation("accepted-invalid", { status: 200 }),
];

for (const violation of newFaults) {
  test(`a new fault fails the run: ${JSON.stringify(violation)}`, () => {
    assert.equal(getKnownFault(violation), undefined);
  });
}
