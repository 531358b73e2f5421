import assert from "node:assert/strict";
import { test } from "node:test";
import { DeadlineTimers } from "./deadline_timers.ts";
import { DeliveryLimit, type DeliveryTimes } from "./delivery_limit.ts";

const deadlineMilliseconds = 1000;
const times: DeliveryTimes = {
  waitMilliseconds: 200,
  noProgressMilliseconds: 5000,
  totalMilliseconds: 40_000,
};
/** Time at which a response that goes on for as long as it may is ended. */
const totalEnd = deadlineMilliseconds + times.totalMilliseconds;
const limitMilliseconds = 60_000;

/** What a receiver does from a time on, repeated with a period. */
interface LimitCase {
  readonly name: string;
  /** Time within each period for which the receiver is the slower side. */
  readonly blockedMilliseconds: number;
  readonly waitingMilliseconds: number;
  readonly isBehindOthers?: boolean;
  /** Expected reason, and latest time of the end. */
  readonly end?: readonly [string, number];
  readonly earliestEnd?: number;
}

const cases: readonly LimitCase[] = [
  {
    name: "a sender that the receiver waits for",
    blockedMilliseconds: 0,
    waitingMilliseconds: limitMilliseconds,
    end: ["deadline", 1300],
  },
  {
    name: "a sender that is as fast as the receiver",
    blockedMilliseconds: 5,
    waitingMilliseconds: 5,
    end: ["deadline", 2000],
  },
  {
    name: "a sender that is a little slower than the receiver",
    blockedMilliseconds: 1,
    waitingMilliseconds: 19,
    end: ["deadline", 1300],
  },
  {
    name: "a receiver that reads slowly",
    blockedMilliseconds: 95,
    waitingMilliseconds: 5,
    end: ["deadline", totalEnd + 100],
    earliestEnd: totalEnd,
  },
  {
    name: "a receiver that reads after long pauses",
    blockedMilliseconds: 4900,
    waitingMilliseconds: 10,
    end: ["deadline", totalEnd + 100],
    earliestEnd: totalEnd,
  },
  {
    name: "a receiver that stops reading",
    blockedMilliseconds: limitMilliseconds,
    waitingMilliseconds: 0,
    end: ["no-progress", 5300],
  },
  {
    name: "a receiver that gets earlier responses first",
    blockedMilliseconds: limitMilliseconds,
    waitingMilliseconds: 0,
    isBehindOthers: true,
  },
];

for (const each of cases) {
  test(`a delivery limit ends the response only in time: ${each.name}`, (context) => {
    context.mock.timers.enable({ apis: ["setTimeout"] });
    let now = 0;
    const clock = { now: () => new Date(), monotonicMilliseconds: () => now };
    let end: readonly [string, number] | undefined;
    const limit = new DeliveryLimit({
      clock,
      timers: new DeadlineTimers(clock),
      deadlineMilliseconds,
      times,
      isBehindOthers: () => each.isBehindOthers === true,
      onExceeded: (reason) => end = [reason, now],
    });
    const period = each.blockedMilliseconds + each.waitingMilliseconds;
    while (now < limitMilliseconds && end === undefined) {
      if (now % period < each.blockedMilliseconds) {
        limit.onBlocked();
      } else {
        limit.onDrain();
      }
      now++;
      context.mock.timers.tick(1);
    }
    const [reason, latestMilliseconds] = each.end ?? [];
    assert.equal(end?.[0], reason);
    if (end !== undefined && latestMilliseconds !== undefined) {
      const earliest = each.earliestEnd ?? deadlineMilliseconds + 1;
      assert.ok(end[1] >= earliest, String(end[1]));
      assert.ok(end[1] <= latestMilliseconds, String(end[1]));
    }
  });
}

test("a delivery limit that was stopped ends nothing", (context) => {
  context.mock.timers.enable({ apis: ["setTimeout"] });
  let now = 0;
  const clock = { now: () => new Date(), monotonicMilliseconds: () => now };
  const limit = new DeliveryLimit({
    clock,
    timers: new DeadlineTimers(clock),
    deadlineMilliseconds,
    times,
    isBehindOthers: () => false,
    onExceeded: () => assert.fail(),
  });
  limit.stop();
  now = limitMilliseconds;
  context.mock.timers.tick(limitMilliseconds);
});
