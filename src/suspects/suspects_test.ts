import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../common/mod.ts";
import { CrashCorrelator } from "./crash_correlator.ts";
import { SuspectList } from "./suspect_list.ts";

interface Step {
  readonly inFlight: readonly string[];
  readonly wasAlone?: boolean;
  /** Fingerprints that completed before the crash. */
  readonly cleared?: readonly string[];
  readonly waitMilliseconds?: number;
}

const cases: { name: string; steps: Step[]; quarantined: string[] }[] = [
  {
    name: "one crash makes suspects but quarantines none",
    steps: [{ inFlight: ["a", "b"] }],
    quarantined: [],
  },
  {
    name: "a crash of a call that ran alone",
    steps: [{ inFlight: ["a", "b"] }, { inFlight: ["a"], wasAlone: true }],
    quarantined: ["a"],
  },
  {
    name: "the only fingerprint in flight at two crashes of one moment",
    steps: [{ inFlight: ["a", "b"] }, { inFlight: ["c", "a"] }],
    quarantined: [],
  },
  {
    name: "a call that ran alone after two crashes that it was in flight at",
    steps: [
      { inFlight: ["a", "b"] },
      { inFlight: ["c", "a"] },
      { inFlight: ["a"], wasAlone: true },
    ],
    quarantined: ["a"],
  },
  {
    name: "two shared fingerprints",
    steps: [{ inFlight: ["a", "b"] }, { inFlight: ["b", "a"] }],
    quarantined: [],
  },
  {
    name: "a third crash that shares one of two fingerprints",
    steps: [
      { inFlight: ["a", "b"] },
      { inFlight: ["a", "b", "c"] },
      { inFlight: ["a", "d"] },
    ],
    quarantined: [],
  },
  {
    name: "a fingerprint that completed between the crashes",
    steps: [{ inFlight: ["a", "b"] }, {
      inFlight: ["a", "c"],
      cleared: ["a"],
    }],
    quarantined: [],
  },
  {
    name: "a call that ran alone at a node that did not know of its clearance",
    steps: [{ inFlight: ["a", "b"] }, {
      inFlight: ["a"],
      wasAlone: true,
      cleared: ["a"],
    }],
    quarantined: [],
  },
  {
    name: "a call that ran alone twice since its clearance",
    steps: [
      { inFlight: ["a"], cleared: ["a"] },
      { inFlight: ["a"], wasAlone: true },
      { inFlight: ["a"], wasAlone: true },
    ],
    quarantined: ["a"],
  },
  {
    name: "a call that ran alone long after its clearance",
    steps: [
      { inFlight: ["b"], cleared: ["a"] },
      { inFlight: ["a"], wasAlone: true, waitMilliseconds: 10_000 },
    ],
    quarantined: ["a"],
  },
  {
    name: "a request of one caller beside those of others with its path",
    steps: [
      { inFlight: ["path", "ana", "path", "ion"] },
      { inFlight: ["path", "ana"], wasAlone: true },
    ],
    quarantined: ["ana"],
  },
  {
    name: "another caller of a path, alone after one crash",
    steps: [
      { inFlight: ["path", "ana"] },
      { inFlight: ["path", "ion"], wasAlone: true },
    ],
    quarantined: [],
  },
  {
    name: "a request whose headers change each time",
    steps: [
      { inFlight: ["path", "1"] },
      { inFlight: ["path", "2"], wasAlone: true },
      { inFlight: ["path", "3"], wasAlone: true },
    ],
    quarantined: ["path"],
  },
  {
    name: "a crash older than the retention",
    steps: [
      { inFlight: ["a", "b"] },
      { inFlight: ["a", "c"], waitMilliseconds: 600_001 },
    ],
    quarantined: [],
  },
];

for (const { name, steps, quarantined } of cases) {
  test(`CrashCorrelator, quarantine of [${quarantined}]: ${name}`, () => {
    const clock = new ManualClock();
    const correlator = new CrashCorrelator({ clock });
    const found = steps.flatMap((step, index) => {
      clock.advance(step.waitMilliseconds ?? 0);
      step.cleared?.forEach((each) => correlator.onCleared(each));
      const report = {
        reportId: `${index}`,
        targetId: `target ${index}`,
        fingerprints: step.inFlight,
        wasAlone: step.wasAlone ?? false,
      };
      const decision = correlator.onReport(report);
      const repeated = correlator.onReport(report);
      assert.deepEqual(repeated, { suspects: [], quarantined: [] });
      assert.deepEqual(
        new Set([...decision.suspects, ...decision.quarantined]),
        new Set(step.inFlight),
      );
      return decision.quarantined;
    });
    assert.deepEqual(found, quarantined);
  });
}

test("CrashCorrelator bounds the stored reports and fingerprints", () => {
  const clock = new ManualClock();
  const correlator = new CrashCorrelator({
    clock,
    maximumReports: 10,
    maximumFingerprints: 4,
  });
  for (let i = 0; i < 1000; i++) {
    const fingerprints = Array.from({ length: 100 }, (_, j) => `${i} ${j}`);
    const { suspects } = correlator.onReport({
      reportId: `${i}`,
      targetId: "t",
      fingerprints,
      wasAlone: false,
    });
    assert.equal(suspects.length, 4);
  }
  assert.deepEqual([correlator.reportCount, correlator.fingerprintCount], [
    10,
    40,
  ]);
});

test("SuspectList: suspects are cleared by completion, by an update and by expiry", () => {
  const clock = new ManualClock();
  const list = new SuspectList({ clock });
  const report = list.onCrash([["a", "b"], ["c"], ["d"], ["a"]], true);
  assert.deepEqual(report, {
    fingerprints: ["a", "b", "c", "d"],
    wasAlone: false,
  });
  assert.deepEqual([list.onCompleted(["a"]), list.onCompleted(["a"])], [
    ["a"],
    [],
  ]);
  list.applyUpdate({ suspects: ["e"], cleared: ["b"], quarantined: ["d"] });
  const suspects = ["a", "b", "c", "e"].filter((each) =>
    list.isSuspect([each])
  );
  assert.deepEqual(suspects, ["c", "e"]);
  assert.deepEqual(
    [list.isQuarantined(["x", "d"]), list.isQuarantined(["c"])],
    [
      true,
      false,
    ],
  );
  clock.advance(600_000);
  assert.deepEqual([list.isSuspect(["c"]), list.isSuspect(["e"])], [
    false,
    false,
  ]);
  list.applyUpdate({ suspects: [], cleared: [], quarantined: [] });
  assert.ok(!list.isQuarantined(["d"]) && list.isEmpty);
});

// Guards against sound requests that stay in quarantine although they complete.
test("SuspectList: a call that started before its quarantine ends it by completing", () => {
  const list = new SuspectList({ clock: new ManualClock() });
  list.applyUpdate({ suspects: [], cleared: [], quarantined: ["a", "b"] });
  assert.deepEqual(list.onCompleted(["a", "c"]), ["a"]);
  assert.deepEqual([list.isQuarantined(["a"]), list.isQuarantined(["b"])], [
    false,
    true,
  ]);
});

test("SuspectList keeps only the newest suspects up to its limit", () => {
  const list = new SuspectList({
    clock: new ManualClock(),
    maximumSuspects: 10,
  });
  list.onCrash(Array.from({ length: 100 }, (_, i) => [`${i}`]), false);
  assert.deepEqual([list.isSuspect(["89"]), list.isSuspect(["90"])], [
    false,
    true,
  ]);
});
