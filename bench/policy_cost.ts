// Measures nanoseconds and allocated bytes per decision of admission, routing
// and retries. Run: npm run build && node --expose-gc dist/bench/policy_cost.js
import {
  AdmissionController,
  type AdmissionRequest,
  LevelTable,
} from "../src/admission/mod.ts";
import { createSeededRandom, ManualClock } from "../src/common/mod.ts";
import { AllowanceAccount, decideRetry } from "../src/retries/mod.ts";
import { Router } from "../src/routing/mod.ts";

const rounds = 7;

/** Prints the median time and allocation of a step over several rounds. */
function measure(name: string, count: number, step: (i: number) => void): void {
  const nanoseconds: number[] = [];
  const bytes: number[] = [];
  for (let round = 0; round < rounds; round++) {
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const start = process.hrtime.bigint();
    for (let i = 0; i < count; i++) {
      step(round * count + i);
    }
    nanoseconds.push(Number(process.hrtime.bigint() - start) / count);
    bytes.push((process.memoryUsage().heapUsed - heapBefore) / count);
  }
  // A garbage collection during a round makes its allocation too low. Negative
  // results are left out.
  const positive = bytes.filter((it) => it >= 0).sort((a, b) => a - b);
  nanoseconds.sort((a, b) => a - b);
  console.log(
    `${name} median_ns=${nanoseconds[rounds >> 1]?.toFixed(0)} ` +
      `slowest_ns=${nanoseconds[rounds - 1]?.toFixed(0)} ` +
      `bytes=${positive[positive.length >> 1]?.toFixed(0) ?? "unknown"}`,
  );
}

const random = createSeededRandom(20267);
const hashes = Array.from({ length: 4096 }, () => random() * 2 ** 32 >>> 0);

function createRequest(i: number): AdmissionRequest {
  const hash = hashes[i & 4095] ?? 0;
  return {
    id: `${i}`,
    caller: `caller ${hash % 200}`,
    classIndex: hash % 3,
    depth: hash % 4,
    hash,
    remainingMilliseconds: 10_000,
    isSuspect: false,
  };
}

/** Measures offering a call to a queue; every second step also finishes a call. */
function measureAdmission(queueLength: number): void {
  const clock = new ManualClock();
  const controller = new AdmissionController({
    slots: queueLength / 2,
    classCount: 3,
    objective: "goodput",
    callerShare: 0.5,
    clock,
  });
  const running: string[] = [];
  const step = (i: number) => {
    const request = createRequest(i);
    if (controller.offer(request).kind === "run") {
      running.push(request.id);
    }
    for (const event of controller.takeEvents()) {
      if (event.kind === "run") {
        running.push(event.id);
      }
    }
  };
  for (let i = 0; i < 4 * queueLength + 8; i++) {
    step(-1 - i);
  }
  const outcome = { kind: "completed", serviceMilliseconds: 10 } as const;
  measure(`admission queue=${queueLength}`, 50_000, (i) => {
    clock.advance(0.1);
    if (i % 2 === 0) {
      const id = running.shift();
      if (id !== undefined) {
        controller.finish(id, outcome);
      }
    }
    step(i);
    controller.getLevel();
  });
  const { queued } = controller.getStatus();
  console.log(`  queued at the end: ${queued}`);
}

function measureRouting(count: number): void {
  const clock = new ManualClock();
  const router = new Router({
    clock,
    random,
    region: "r0",
    availabilityZone: "z0",
  });
  const rule = { slots: 36, connections: 300, warmUpMilliseconds: 3000 };
  router.updateService("s", rule);
  const targets = Array.from({ length: count }, (_, i) => ({
    targetId: `target ${i}`,
    nodeAddress: `address ${i}`,
    region: `r${i % 8}`,
    availabilityZone: `z${i % 24}`,
    incarnation: 1,
    isDraining: false,
    ageMilliseconds: 1e6,
  }));
  router.updateView("s", targets);
  const request = { service: "s", classIndex: 1, excluded: new Set<string>() };
  const hint = { running: 20, queued: 0, limit: 36 };
  const runningTargetIds: string[] = [];
  const step = (i: number) => {
    clock.advance(0.01);
    const choice = router.choose(request);
    if (choice.kind === "target") {
      runningTargetIds.push(choice.targetId);
    }
    if (runningTargetIds.length > 100) {
      const id = runningTargetIds[i % 100] ?? "";
      runningTargetIds[i % 100] = runningTargetIds.pop() ?? "";
      router.onFinish(id, {
        kind: i % 64 === 0 ? "failed" : "completed",
        hint,
      });
    }
  };
  measure(`routing targets=${count}`, 200_000, step);
  measure(
    `view update targets=${count}`,
    20,
    () => router.updateView("s", targets),
  );
}

function measureRetries(): void {
  const state = {
    disposition: "not-run",
    reason: "target-shed",
    attempts: 1,
    isIdempotent: true,
    isSuspect: false,
    remainingAllowance: 5,
    remainingMilliseconds: 1000,
    hasRetryToken: true,
    isServiceRefusing: false,
  } as const;
  const options = {
    objective: "goodput",
    requiredAttempts: 3,
    random,
  } as const;
  measure("retry decision", 500_000, () => {
    decideRetry(state, options);
  });
  measure("allowance begin and settle", 500_000, () => {
    const account = new AllowanceAccount(12);
    account.reclaimUnused(account.startAttempt(3)?.delegatedAttempts ?? 0, 2);
  });
  const table = new LevelTable({ clock: new ManualClock(), classCount: 3 });
  const services = Array.from({ length: 10 }, (_, i) => `service ${i}`);
  services.forEach((service, i) => table.record(service, 10 * i));
  measure("level table, 10 services", 500_000, (i) => {
    table.shouldShed(services, i % 384);
  });
}

[1, 10, 100, 500].forEach(measureAdmission);
[10, 100, 1000, 10_000].forEach(measureRouting);
measureRetries();
