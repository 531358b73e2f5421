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
