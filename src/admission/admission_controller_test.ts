import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ManualClock } from "../common/mod.ts";
import { AdmissionController } from "./admission_controller.ts";
import type { AdmissionRequest } from "./admission_types.ts";

const completed = { kind: "completed", serviceMilliseconds: 10 } as const;

function createController(
  options: { slots: number; objective?: "goodput" | "recovery" },
): { clock: ManualClock; controller: AdmissionController } {
  const clock = new ManualClock();
  const controller = new AdmissionController({
    classCount: 3,
    objective: "goodput",
    callerShare: 0.5,
    clock,
    ...options,
  });
  return { clock, controller };
}

let count = 0;
function createRequest(change: Partial<AdmissionRequest>): AdmissionRequest {
  count++;
  return {
    id: `call ${count}`,
    caller: `caller ${count}`,
    classIndex: 0,
    depth: 1,
    hash: Math.imul(count, 2654435761) >>> 0,
    remainingMilliseconds: 1000,
    isSuspect: false,
    ...change,
  };
}

/** Mirrors the calls of a controller and checks its invariants at each step. */
class InvariantChecker {
  readonly waiting = new Map<string, AdmissionRequest>();
  readonly running = new Map<string, AdmissionRequest>();
  readonly decided = new Set<string>();
  readonly controller: AdmissionController;

  constructor(controller: AdmissionController) {
    this.controller = controller;
  }

  offer(request: AdmissionRequest): void {
    const decision = this.controller.offer(request);
    this.takeEvents();
    if (decision.kind === "queued") {
      this.waiting.set(request.id, request);
      this.takeEvents();
    } else {
      this.#recordDecision(request.id);
      if (decision.kind === "run") {
        this.#start(request);
      }
    }
  }

  finish(index: number, kind: "completed" | "shed" | "cancelled"): void {
    const ids = [...this.running.keys()];
    const id = ids[index % Math.max(1, ids.length)];
    if (id !== undefined) {
      this.running.delete(id);
      this.controller.finish(id, { kind, serviceMilliseconds: index });
      this.takeEvents();
    }
  }

  cancel(index: number): void {
    const ids = [...this.waiting.keys()];
    const id = ids[index % Math.max(1, ids.length)];
    if (id !== undefined) {
      this.waiting.delete(id);
      this.#recordDecision(id);
      this.controller.cancel(id);
      this.takeEvents();
    }
  }

  setSuspect(index: number, isSuspect: boolean): void {
    const requests = [...this.waiting.values()];
    const request = requests[index % Math.max(1, requests.length)];
    if (request !== undefined) {
      this.waiting.set(request.id, { ...request, isSuspect });
      this.controller.setSuspect(request.id, isSuspect);
      this.takeEvents();
    }
  }

  takeEvents(): void {
    for (const event of this.controller.takeEvents()) {
      const request = this.waiting.get(event.id);
      assert.ok(request !== undefined, `event for ${event.id}, not queued`);
      this.waiting.delete(event.id);
      this.#recordDecision(event.id);
      if (event.kind === "run") {
        this.#start(request);
      }
    }
  }

  #recordDecision(id: string): void {
    assert.ok(!this.decided.has(id), `${id} decided twice`);
    this.decided.add(id);
  }

  #start(request: AdmissionRequest): void {
    this.running.set(request.id, request);
    for (const other of this.waiting.values()) {
      assert.ok(
        other.classIndex >= request.classIndex,
        "a lower class runs while a higher one waits",
      );
    }
    assert.ok(this.running.size <= this.controller.getStatus().limit);
    const suspects = [...this.running.values()].filter((it) => it.isSuspect);
    assert.ok(suspects.length === 0 || this.running.size === 1, "not alone");
  }
}

const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("offer" as const),
      caller: fc.constantFrom("a", "b", "c"),
      classIndex: fc.nat(2),
      depth: fc.nat(2),
      hash: fc.nat(0xffffffff),
      remainingMilliseconds: fc.integer({ min: -1, max: 400 }),
      isSuspect: fc.integer({ min: 0, max: 9 }).map((it) => it === 0),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("finish" as const),
      index: fc.nat(40),
      outcome: fc.constantFrom("completed", "completed", "shed", "cancelled"),
    }),
  },
  fc.record({ kind: fc.constant("cancel" as const), index: fc.nat(40) }),
  fc.record({
    kind: fc.constant("set-suspect" as const),
    index: fc.nat(40),
    isSuspect: fc.boolean(),
  }),
  fc.record({ kind: fc.constant("advance" as const), by: fc.nat(120) }),
);

test("over random steps, priorities and the limit hold, suspects run alone and each call gets one decision", () => {
  fc.assert(
    fc.property(
      fc.array(step, { minLength: 20, maxLength: 300, size: "max" }),
      fc.integer({ min: 1, max: 12 }),
      fc.constantFrom("goodput" as const, "recovery" as const),
      (steps, slots, objective) => {
        const { clock, controller } = createController({ slots, objective });
        const checker = new InvariantChecker(controller);
        let offered = 0;
        for (const each of steps) {
          if (each.kind === "offer") {
            checker.offer({ ...each, id: `call ${offered++}` });
          } else if (each.kind === "finish") {
            const outcome = each.outcome as "completed" | "shed" | "cancelled";
            checker.finish(each.index, outcome);
          } else if (each.kind === "cancel") {
            checker.cancel(each.index);
          } else if (each.kind === "set-suspect") {
            checker.setSuspect(each.index, each.isSuspect);
          } else {
            clock.advance(each.by);
            checker.takeEvents();
          }
        }
        clock.advance(1000);
        checker.takeEvents();
        while (checker.running.size > 0) {
          checker.finish(0, "completed");
        }
        assert.equal(checker.decided.size, offered);
        const { running, queued } = controller.getStatus();
        assert.deepEqual({ running, queued }, { running: 0, queued: 0 });
      },
    ),
    { seed: 20263, numRuns: 500 },
  );
});

// Guards against sound suspects that are refused at targets that are always in use.
test("a suspect runs alone beside steady load of its class, which keeps most of the target", () => {
  const { clock, controller } = createController({ slots: 4 });
  const ends = new Map<string, number>();
  let suspectRuns = 0;
  let finished = 0;
  const suspects = new Set<string>();
  const start = (id: string): void => {
    suspectRuns += suspects.has(id) ? 1 : 0;
    ends.set(id, clock.monotonicMilliseconds() + 100);
  };
  const offer = (isSuspect: boolean): void => {
    const request = createRequest({ isSuspect });
    if (isSuspect) {
      suspects.add(request.id);
    }
    if (controller.offer(request).kind === "run") {
      start(request.id);
    }
  };
  for (let milliseconds = 0; milliseconds < 20_000; milliseconds += 10) {
    if (milliseconds % 1000 === 0) {
      offer(true);
    }
    if (milliseconds % 40 === 0) {
      offer(false);
    }
    for (const [id, end] of ends) {
      if (end <= clock.monotonicMilliseconds()) {
        ends.delete(id);
        finished++;
        controller.finish(id, completed);
      }
    }
    for (const event of controller.takeEvents()) {
      if (event.kind === "run") {
        start(event.id);
      }
    }
    clock.advance(10);
  }
  assert.ok(suspectRuns >= 10, `${suspectRuns} suspects ran`);
  assert.ok(finished >= 0.8 * 500, `${finished} calls ran`);
});

// Guards against suspects without a turn after one that left the queue.
test("a suspect that leaves the queue does not delay the turn of the next one", () => {
  const { clock, controller } = createController({ slots: 2 });
  const running = createRequest({ remainingMilliseconds: 1e6 });
  controller.offer(running);
  const [first, second] = [1, 2].map(() =>
    createRequest({ isSuspect: true, remainingMilliseconds: 1e6 })
  ) as [AdmissionRequest, AdmissionRequest];
  controller.offer(first);
  clock.advance(300);
  const waiting = createRequest({ remainingMilliseconds: 1e6 });
  assert.equal(controller.offer(waiting).kind, "queued");
  clock.advance(100);
  controller.cancel(first.id);
  assert.deepEqual(controller.takeEvents(), [{ kind: "run", id: waiting.id }]);
  clock.advance(100_000);
  controller.offer(second);
  clock.advance(300);
  const last = createRequest({ remainingMilliseconds: 1e6 });
  assert.equal(controller.offer(last).kind, "queued");
  controller.finish(running.id, completed);
  controller.finish(waiting.id, completed);
  assert.deepEqual(controller.takeEvents(), [{ kind: "run", id: second.id }]);
  controller.finish(second.id, completed);
  assert.deepEqual(controller.takeEvents(), [{ kind: "run", id: last.id }]);
  // The next turn waits for four times the time that this one took.
  const third = createRequest({ isSuspect: true, remainingMilliseconds: 1e6 });
  controller.offer(third);
  clock.advance(300);
  assert.equal(controller.offer(createRequest({})).kind, "queued");
});

test("a surge of every class at once sheds the least important first", () => {
  const { controller } = createController({ slots: 4 });
  const classes = new Map<string, number>();
  const shed: number[] = [];
  for (let i = 0; i < 60; i++) {
    const request = createRequest({ classIndex: i % 3 });
    classes.set(request.id, request.classIndex);
    if (controller.offer(request).kind === "refused") {
      shed.push(request.classIndex);
    }
  }
  for (const event of controller.takeEvents()) {
    if (event.kind === "refused") {
      shed.push(classes.get(event.id) ?? -1);
    }
  }
  const shedOf = (classIndex: number) =>
    shed.filter((each) => each === classIndex).length;
  const { queued } = controller.getStatus();
  // The first four calls run, and only calls of class 0 stay in the queue.
  assert.deepEqual([shedOf(1), shedOf(2)], [19, 19]);
  assert.equal(20 - 2 - shedOf(0), queued);
});

test("a caller that resends without end does not starve another of its class", () => {
  const { clock, controller } = createController({ slots: 4 });
  const callers = new Map<string, string>();
  const done = new Map<string, number>();
  let running: string[] = [];
  const offer = (caller: string) => {
    // The hashes put the calls of the flooding caller first in the queue.
    const hash = caller === "flood" ? count : 0xf0000000 + count;
    const request = createRequest({ caller, hash });
    callers.set(request.id, caller);
    if (controller.offer(request).kind === "run") {
      running.push(request.id);
    }
  };
  for (let tick = 0; tick < 500; tick++) {
    for (let i = 0; i < 20; i++) {
      offer("flood");
    }
    if (tick % 2 === 0) {
      offer("quiet");
    }
    clock.advance(1);
    if (tick % 4 === 0) {
      for (const id of running.splice(0)) {
        const caller = callers.get(id) ?? "";
        done.set(caller, (done.get(caller) ?? 0) + 1);
        controller.finish(id, completed);
      }
    }
    running = running.concat(
      controller.takeEvents().filter((it) => it.kind === "run").map((it) =>
        it.id
      ),
    );
  }
  // 250 calls of the quiet caller are half of the capacity of 500.
  assert.ok((done.get("quiet") ?? 0) >= 230, `${done.get("quiet")} done`);
});

test("calls that cannot finish in time are refused until the estimated hold time is stale", () => {
  const { clock, controller } = createController({ slots: 1 });
  const first = createRequest({});
  controller.offer(first);
  clock.advance(500);
  controller.finish(first.id, completed);
  const late = createRequest({ remainingMilliseconds: 100 });
  assert.deepEqual(controller.offer(late), {
    kind: "refused",
    reason: "deadline-too-short",
  });
  clock.advance(300);
  assert.equal(controller.offer({ ...late, id: "again" }).kind, "run");
});

test("a short call is not refused because calls of another class take long", () => {
  const { clock, controller } = createController({ slots: 4 });
  for (let index = 0; index < 20; index++) {
    const long = createRequest({ classIndex: 1, remainingMilliseconds: 9000 });
    assert.equal(controller.offer(long).kind, "run");
    clock.advance(600);
    controller.finish(long.id, completed);
    const short = createRequest({ classIndex: 0, remainingMilliseconds: 300 });
    assert.equal(controller.offer(short).kind, "run");
    clock.advance(15);
    controller.finish(short.id, completed);
  }
});

// Guards against shedding without overload: refusals of calls with too little
// time left used to raise the admission level of a target with free slots, so
// that entry nodes shed requests.
test("calls that come too late to a free target do not raise its level", () => {
  const { clock, controller } = createController({ slots: 4 });
  for (let index = 0; index < 3; index++) {
    controller.offer(createRequest({ remainingMilliseconds: 1e6 }));
  }
  for (let index = 0; index < 200; index++) {
    const served = createRequest({});
    assert.equal(controller.offer(served).kind, "run");
    clock.advance(50);
    controller.finish(served.id, completed);
    for (let each = 0; each < 3; each++) {
      const late = createRequest({ remainingMilliseconds: 10 });
      assert.deepEqual(controller.offer(late), {
        kind: "refused",
        reason: "deadline-too-short",
      });
    }
    assert.equal(controller.getLevel(), 0);
  }
});

// Guards against refusals at nearly idle targets: with a mean hold time of
// 50 ms, calls with 30 ms left were refused although many could still finish.
// Each refusal of a nested call failed the request that made it.
const lateAtIdle: readonly {
  readonly name: string;
  readonly running: number;
  readonly remainingMilliseconds: number;
  readonly kind: "run" | "refused";
}[] = [
  {
    name: "below the mean time at an idle target runs",
    running: 2,
    remainingMilliseconds: 30,
    kind: "run",
  },
  {
    name: "far below the mean time at an idle target is refused",
    running: 2,
    remainingMilliseconds: 10,
    kind: "refused",
  },
  {
    name: "below the mean time at a target in use is refused",
    running: 3,
    remainingMilliseconds: 30,
    kind: "refused",
  },
];

for (const { name, running, remainingMilliseconds, kind } of lateAtIdle) {
  test(`a call with a time left ${name}`, () => {
    const { clock, controller } = createController({ slots: 4 });
    for (let index = 0; index < running; index++) {
      controller.offer(createRequest({ remainingMilliseconds: 1e6 }));
    }
    const served = createRequest({});
    assert.equal(controller.offer(served).kind, "run");
    clock.advance(50);
    controller.finish(served.id, completed);
    const late = createRequest({ remainingMilliseconds });
    assert.equal(controller.offer(late).kind, kind);
  });
}

test("a queued call is dropped when its deadline passes, at the reported wake time", () => {
  const { clock, controller } = createController({ slots: 1 });
  controller.offer(createRequest({}));
  const waiting = createRequest({ remainingMilliseconds: 50 });
  controller.offer(waiting);
  const wake = controller.getWakeMilliseconds();
  assert.equal(wake, 50);
  clock.advance(wake ?? 0);
  assert.deepEqual(controller.takeEvents(), [{
    kind: "refused",
    id: waiting.id,
    reason: "deadline-exceeded",
  }]);
});

test("the level rises under refusals, is bounded, and falls to 0 again", () => {
  const { clock, controller } = createController({ slots: 2 });
  for (let i = 0; i < 400; i++) {
    controller.offer(createRequest({ classIndex: i % 3 }));
    clock.advance(2);
  }
  const level = controller.getLevel();
  assert.ok(level > 100 && level < 3 * 128, `level ${level}`);
  clock.advance(10_000);
  controller.takeEvents();
  assert.equal(controller.getLevel(), 0);
});
