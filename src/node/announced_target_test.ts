import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../common/mod.ts";
import { AnnouncedTarget } from "./announced_target.ts";

const endpoint = { host: "127.0.0.1", port: 1 };

const pauses = [
  { milliseconds: 999, hasLease: true, state: "ready" },
  { milliseconds: 1000, hasLease: true, state: "expired" },
  { milliseconds: 30_000, hasLease: true, state: "expired" },
  { milliseconds: 30_000, hasLease: false, state: "ready" },
];

// Guards against a process that was paused and sends calls to a target whose
// lease ended meanwhile, because the timer of the lease has not run yet.
for (const { milliseconds, hasLease, state } of pauses) {
  const lease = hasLease ? "a lease of 1 s" : "no lease";
  test(`a target with ${lease} is ${state} after a pause of ${milliseconds} ms`, () => {
    const clock = new ManualClock();
    const target = new AnnouncedTarget({
      clock,
      leaseMilliseconds: 1000,
      onChange: () => {},
    });
    target.announce({ endpoint, incarnation: 1 }, { hasLease });
    clock.advance(milliseconds);
    target.checkLease();
    assert.equal(target.state, state);
    target.stop();
  });
}

const drainedEnds: {
  name: string;
  end(target: AnnouncedTarget, clock: ManualClock): void;
}[] = [
  {
    name: "its lease ended",
    end: (target, clock) => {
      clock.advance(1000);
      target.checkLease();
    },
  },
  { name: "it crashed", end: (target) => target.onCrash() },
];

// Guards against a drain that is forgotten while a target sends no renewals.
for (const { name, end } of drainedEnds) {
  test(`a drained target that announces itself after ${name} is draining again`, () => {
    const clock = new ManualClock();
    const states: string[] = [];
    const target = new AnnouncedTarget({
      clock,
      leaseMilliseconds: 1000,
      onChange: () => states.push(target.state),
    });
    const announce = (incarnation: number) =>
      target.announce({ endpoint, incarnation }, { hasLease: true });
    announce(1);
    target.drain();
    end(target, clock);
    assert.notEqual(target.state, "draining");
    announce(1);
    assert.equal(target.state, "draining");
    announce(2);
    assert.equal(target.state, "ready");
    assert.equal(states.filter((each) => each === "ready").length, 2);
    target.stop();
  });
}
