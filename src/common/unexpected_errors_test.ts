import assert from "node:assert/strict";
import { test } from "node:test";
import { createLog } from "./log.ts";
import { ManualClock } from "./manual_clock.ts";
import { disabledMetrics } from "./metrics.ts";
import { UnexpectedErrors } from "./unexpected_errors.ts";

const cases = [
  {
    name: "a node continues after 20 errors in a minute",
    mayContinue: true,
    errors: 20,
    gapMilliseconds: 100,
    expected: "continue",
  },
  {
    name: "a node ends after 21 errors in a minute",
    mayContinue: true,
    errors: 21,
    gapMilliseconds: 100,
    expected: "end",
  },
  {
    name: "a node continues after many errors over hours",
    mayContinue: true,
    errors: 500,
    gapMilliseconds: 60_000,
    expected: "continue",
  },
  {
    name: "a control instance ends after one error",
    mayContinue: false,
    errors: 1,
    gapMilliseconds: 0,
    expected: "end",
  },
];

// Guards against a process that one unexpected error ends, and against one that
// goes on in a state that keeps failing.
for (const { name, mayContinue, errors, gapMilliseconds, expected } of cases) {
  test(name, () => {
    const clock = new ManualClock();
    const lines: string[] = [];
    const unexpectedErrors = new UnexpectedErrors({
      log: createLog({ write: (line) => lines.push(line) }),
      metrics: disabledMetrics,
      clock,
      mayContinue,
    });
    let reaction = "";
    for (let index = 0; index < errors; index++) {
      clock.advance(gapMilliseconds);
      reaction = unexpectedErrors.record(new Error("broken"));
    }
    assert.equal(reaction, expected);
    assert.equal(lines.length, errors);
    assert.match(lines[0] ?? "", /reason=broken/);
  });
}
