import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../common/mod.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import { getImportance } from "./importance.ts";
import { LevelTable } from "./level_table.ts";

function createLimit(): ConcurrencyLimit {
  return new ConcurrencyLimit(20, {
    classCount: 1,
    nowMilliseconds: 0,
    increasePerSecond: 0.5,
  });
}

/** Feeds 100 calls per second; returns the limit at the end. */
function feed(
  limit: ConcurrencyLimit,
  options: { from: number; seconds: number; service: number; inUse?: boolean },
): number {
  for (let i = 0; i < options.seconds * 100; i++) {
    if (options.inUse ?? true) {
      limit.onInUse();
    }
    limit.onCompleted(0, options.service, options.from + i * 10);
  }
  return limit.value;
}

test("ConcurrencyLimit does not grow while it is not in use", () => {
  const options = { from: 0, seconds: 5, service: 10, inUse: false };
  assert.equal(feed(createLimit(), options), 20);
});

test("ConcurrencyLimit falls while the target is slow, and returns", () => {
  const limit = createLimit();
  feed(limit, { from: 0, seconds: 1, service: 10 });
  const slow = feed(limit, { from: 1000, seconds: 1, service: 50 });
  assert.ok(slow < 15, `${slow} while slow`);
  const again = feed(limit, { from: 2000, seconds: 3, service: 10 });
  assert.ok(again >= 20, `${again} after`);
});

test("ConcurrencyLimit stays within 1 and twice the slots", () => {
  const limit = createLimit();
  assert.equal(feed(limit, { from: 0, seconds: 60, service: 10 }), 40);
  for (let i = 0; i < 100; i++) {
    limit.onOverload(60_000 + i * 100);
  }
  assert.equal(limit.value, 1);
});

test("ConcurrencyLimit decreases at most once per window", () => {
  const limit = createLimit();
  for (let i = 0; i < 1000; i++) {
    limit.onOverload(101);
  }
  assert.equal(limit.value, 18);
});

test("LevelTable sheds the least important and keeps a probe share open", () => {
  const clock = new ManualClock();
  const table = new LevelTable({ clock, classCount: 3 });
  table.record("deep", 128);
  const shed = (importance: number, services = ["deep"]) => {
    let refused = 0;
    for (let i = 0; i < 1000; i++) {
      refused += table.shouldShed(services, importance) ? 1 : 0;
    }
    return refused;
  };
  assert.equal(shed(getImportance(1, 0xffffffff)), 0);
  assert.equal(shed(300, ["other"]), 0);
  const refused = shed(getImportance(2, 0));
  assert.ok(refused >= 980 && refused <= 991, `${refused} of 1000 refused`);
  clock.advance(250);
  assert.equal(table.shouldShed(["deep"], 300), false, "no probe in 250 ms");
  assert.equal(table.shouldShed(["deep"], 300), true);
});

test("LevelTable opens when nothing more is heard of a service", () => {
  const clock = new ManualClock();
  const table = new LevelTable({ clock, classCount: 3 });
  table.record("deep", 300);
  clock.advance(10_000);
  assert.deepEqual(table.getEntries(), []);
  assert.equal(table.shouldShed(["deep"], 383), false);
});
