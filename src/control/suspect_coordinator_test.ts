import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { ManualClock } from "../common/mod.ts";
import {
  type QuarantineRecord,
  SuspectCoordinator,
} from "./suspect_coordinator.ts";

/** A leader whose proposals are decided by the test. */
class Leader {
  record: QuarantineRecord = "none";
  readonly changes: string[] = [];
  readonly decide: (() => void)[] = [];
  readonly coordinator = new SuspectCoordinator({
    clock: new ManualClock(),
    isLeader: () => true,
    getRecord: () => this.record,
    publishQuarantine: () => {},
    publishSuspects: () => {},
    propose: (change) => {
      this.changes.push(change);
      return new Promise((resolve) =>
        this.decide.push(() => {
          this.record = change === "quarantine" ? "quarantined" : "none";
          resolve(true);
        })
      );
    },
  });

  reportCrash(wasAlone: boolean): void {
    this.coordinator.onCrashReport("trial", {
      reportId: `${Math.random()}`,
      targetId: "t",
      fingerprints: ["a"],
      wasAlone,
    });
  }
}

const cases: { name: string; isDecidedBefore: boolean }[] = [
  { name: "after it is recorded", isDecidedBefore: true },
  { name: "before it is recorded", isDecidedBefore: false },
];

for (const { name, isDecidedBefore } of cases) {
  // Guards against a quarantine that outlasts the proof of a mistake.
  test(`a completion ends a quarantine ${name}`, async (context) => {
    context.mock.timers.enable({ apis: ["setTimeout"] });
    const leader = new Leader();
    const { coordinator } = leader;
    context.after(() => coordinator.stop());
    leader.reportCrash(false);
    leader.reportCrash(true);
    assert.deepEqual(leader.changes, ["quarantine"]);
    if (isDecidedBefore) {
      leader.decide.shift()?.();
      await nextTurn();
    }
    coordinator.onCleared("trial", "a");
    assert.equal(coordinator.getPendingChanges("trial").get("a"), "clear");
    leader.decide.shift()?.();
    await nextTurn();
    context.mock.timers.tick(500);
    await nextTurn();
    leader.decide.shift()?.();
    await nextTurn();
    context.mock.timers.tick(500);
    assert.deepEqual(leader.changes, ["quarantine", "clear"]);
    assert.equal(leader.record, "none");
    assert.equal(coordinator.getPendingChanges("trial").size, 0);
    assert.deepEqual(coordinator.getSuspects("trial"), []);
  });
}
