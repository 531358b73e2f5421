import assert from "node:assert/strict";
import { test } from "node:test";
import { createLog, ManualClock } from "../common/mod.ts";
import { DecisionLog, type DecisionPriority } from "./decision_log.ts";
import type { ListenerResponse } from "./listener_response.ts";
import { describeUnanswered } from "./report_unanswered.ts";

function createDecisions() {
  const clock = new ManualClock();
  const lines: string[] = [];
  const log = createLog({ write: (line) => lines.push(line) });
  const decisions = new DecisionLog(log, clock);
  const record = (priority: DecisionPriority, hash: number) =>
    decisions.record({
      requestId: `r-${hash}`,
      hash,
      priority,
      event: "decided",
      fields: { reason: "x" },
    });
  return { clock, lines, record };
}

test("a flood of refusals writes a bounded number of lines and counts the rest", () => {
  const { clock, lines, record } = createDecisions();
  for (let index = 0; index < 10_000; index++) {
    record("failure", index);
    clock.advance(1);
  }
  // The burst, then the rate over 10 s, then one line about the dropped ones.
  assert.ok(lines.length <= 200 + 40 * 10 + 2, `${lines.length} lines`);
  assert.ok(lines.length >= 400, `${lines.length} lines`);
  record("failure", 1);
  assert.ok(
    lines.some((line) => /count=\d+ event="decisions dropped"/.test(line)),
  );
});

const samples: {
  priority: DecisionPriority;
  hash: number;
  isWritten: boolean;
}[] = [
  { priority: "routine", hash: 64, isWritten: true },
  { priority: "routine", hash: 65, isWritten: false },
  { priority: "failure", hash: 65, isWritten: true },
];

for (const { priority: weight, hash, isWritten } of samples) {
  test(`a ${weight} decision about hash ${hash} is ${isWritten ? "" : "not "}written`, () => {
    const { lines, record } = createDecisions();
    record(weight, hash);
    assert.equal(lines.length, isWritten ? 1 : 0);
  });
}

test("routine decisions leave room for failures", () => {
  const { lines, record } = createDecisions();
  for (let index = 0; index < 1000; index++) {
    record("routine", 0);
  }
  const routine = lines.length;
  record("failure", 1);
  assert.equal(lines.length, routine + 1);
});

// Guards against lines of megabytes for calls whose callers chose long IDs.
test("lines about calls with IDs of 64 KiB stay short", () => {
  const lines: string[] = [];
  const log = createLog({ write: (line) => lines.push(line) });
  const requestId = "a".repeat(64 * 1024);
  const response = { call: { requestId }, phase: "waiting" };
  const responses = Array(8).fill(response) as ListenerResponse[];
  new DecisionLog(log, new ManualClock()).record({
    requestId,
    hash: 0,
    priority: "failure",
    event: "decided",
    fields: describeUnanswered("outside", {
      end: { closedBy: "caller", reason: "closed" },
      responses,
      unread: 0,
    }),
  });
  const [line = ""] = lines;
  assert.match(line, / request=a{256} .* requests=(a{256}:waiting,?){8} /);
  assert.ok(line.length < 4096, `${line.length} characters`);
});
