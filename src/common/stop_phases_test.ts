import assert from "node:assert/strict";
import { test } from "node:test";
import type { Log, LogFields } from "./log.ts";
import { ManualClock } from "./manual_clock.ts";
import { StopPhases } from "./stop_phases.ts";

interface Line {
  readonly event: string;
  readonly fields: LogFields;
}

function createLineLog(lines: Line[]): Log {
  const add = (event: string, fields: LogFields = {}) =>
    lines.push({ event, fields });
  return { info: add, warn: add, error: add };
}

// Guards against a process that is killed in its stop without a line that says
// which phase it was in and what it waited for.
test("a phase is logged before it runs, and with its duration when it ends", async () => {
  const lines: Line[] = [];
  const clock = new ManualClock();
  const phases = new StopPhases(createLineLog(lines), clock);
  clock.advance(20);
  let calls = 2;
  const result = await phases.run("calls", () => {
    assert.deepEqual(lines, [
      { event: "stop phase", fields: { phase: "calls", sinceStop: 20, calls } },
    ]);
    clock.advance(300);
    calls = 1;
    return "done";
  }, () => ({ calls }));
  assert.equal(result, "done");
  assert.deepEqual(lines.slice(1), [{
    event: "stop phase ended",
    fields: { phase: "calls", milliseconds: 300, calls: 1 },
  }]);
});

// Guards against a failed phase that looks as if it were still running.
test("a phase that fails is logged as ended", async () => {
  const lines: Line[] = [];
  const phases = new StopPhases(createLineLog(lines), new ManualClock());
  const failure = phases.run("files", () => Promise.reject(new Error("disk")));
  await assert.rejects(failure, /disk/);
  assert.deepEqual(
    lines.map(({ event }) => event),
    ["stop phase", "stop phase ended"],
  );
});
