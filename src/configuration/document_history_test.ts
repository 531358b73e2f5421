import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { DocumentResult } from "../protocol/generated/control.ts";
import {
  changeIdLimit,
  DocumentHistory,
  retainedDocumentLimit,
  revisionLimit,
} from "./document_history.ts";
import { getChangedLines } from "./line_diff.ts";
import { QuarantineList } from "./quarantine_list.ts";

const seed = 20261204;

interface Change {
  environment?: string;
  base: number;
  text: string;
  changeId: string;
  operator?: string;
}

function apply(history: DocumentHistory, change: Change): DocumentResult {
  return history.apply({
    environment: change.environment ?? "trial",
    baseRevision: change.base,
    bytes: Buffer.from(change.text),
    changeId: change.changeId,
    operator: change.operator ?? "ana",
    ledgerLimits: undefined,
  }, { time: new Date(1000) });
}

function copy(history: DocumentHistory): DocumentHistory {
  const restored = new DocumentHistory();
  restored.restoreSnapshot(structuredClone(history.takeSnapshot()));
  return restored;
}

test("of concurrent changes one per base is accepted, and a resent change gets its first result", () => {
  const change = fc.record({
    environment: fc.constantFrom("trial", "production"),
    operator: fc.constantFrom("ana", "ben", "cleo"),
    lag: fc.nat(2),
    text: fc.constantFrom("a", "b", "c", "d"),
  });
  // A step is a new change, or a resend of an earlier one.
  const step = fc.oneof(
    { weight: 2, arbitrary: change },
    { weight: 1, arbitrary: fc.nat(30) },
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40, size: "max" }), fc.nat(40), (
      steps,
      restartAt,
    ) => {
      let history = new DocumentHistory();
      const sent: { change: Change; result: DocumentResult }[] = [];
      const acceptedOperators = new Map<string, string>();
      steps.forEach((step, position) => {
        if (position === restartAt) {
          history = copy(history);
        }
        if (typeof step === "number") {
          const earlier = sent[step];
          if (earlier !== undefined) {
            assert.deepEqual(apply(history, earlier.change), earlier.result);
          }
          return;
        }
        const { environment, operator, lag, text } = step;
        const current = history.getCurrent(environment)?.revision ?? 0;
        const base = Math.max(0, current - lag);
        const change = {
          environment,
          operator,
          base,
          text,
          changeId: `change ${position}`,
        };
        const result = apply(history, change);
        sent.push({ change, result });
        assert.equal(result.kind, base === current ? "accepted" : "conflict");
        if (result.kind === "accepted") {
          const key = `${environment} ${base}`;
          assert.equal(
            acceptedOperators.has(key),
            false,
            "two accepted changes of one base",
          );
          acceptedOperators.set(key, operator);
          assert.equal(result.revision, base + 1);
        } else {
          const first = result.sinceBase.at(-1);
          assert.equal(
            first?.operator,
            acceptedOperators.get(`${environment} ${base}`),
          );
        }
      });
      for (const { result } of sent) {
        assert.ok(
          result.kind !== "accepted" ||
            history.getBytes(result.digest) !== undefined,
        );
      }
    }),
    { numRuns: 300, seed },
  );
});

const promotions = [
  { name: "a revision in force", isInForce: true, from: 1, kind: "accepted" },
  {
    name: "a revision not in force",
    isInForce: false,
    from: 1,
    kind: "not-in-force",
  },
  {
    name: "an unknown revision",
    isInForce: true,
    from: 7,
    kind: "unknown-revision",
  },
  {
    name: "a base other than the current revision",
    isInForce: true,
    from: 1,
    base: 3,
    kind: "conflict",
  },
];

for (const { name, isInForce, from, base = 0, kind } of promotions) {
  test(`promote: ${name} gives ${kind}`, () => {
    const history = new DocumentHistory();
    const { digest } = apply(history, { base: 0, text: "x", changeId: "a" });
    const entry = { time: new Date(2000) };
    if (isInForce) {
      history.markInForce({ environment: "trial", revision: 1 }, entry);
    }
    const result = history.promote({
      fromEnvironment: "trial",
      fromRevision: from,
      environment: "production",
      baseRevision: base,
      changeId: "b",
      operator: "ben",
    }, entry);
    assert.equal(result.kind, kind);
    assert.equal(
      history.getCurrent("production")?.digest,
      kind === "accepted" ? digest : undefined,
    );
  });
}

test("a change id that is reused for other content is refused", () => {
  const history = new DocumentHistory();
  apply(history, { base: 0, text: "x", changeId: "a" });
  const other = apply(history, { base: 1, text: "y", changeId: "a" });
  assert.equal(other.kind, "change-id-reused");
  assert.equal(history.getCurrent("trial")?.revision, 1);
});

test("the history stays within its limits and keeps the document in force", () => {
  const history = new DocumentHistory();
  const count = Math.max(revisionLimit, changeIdLimit) + 10;
  for (let base = 0; base < count; base++) {
    apply(history, { base, text: `text ${base}`, changeId: `id ${base}` });
    if (base === 4) {
      history.markInForce({ environment: "trial", revision: 5 }, {
        time: new Date(0),
      });
    }
  }
  const { revisions, documents, changes } = history.takeSnapshot();
  assert.equal(revisions.length, revisionLimit);
  assert.equal(documents.length, retainedDocumentLimit + 1);
  assert.equal(changes.length, changeIdLimit);
  const inForce = history.getInForce("trial");
  assert.equal(inForce?.revision, 5);
  assert.equal(
    Buffer.from(history.getBytes(inForce?.digest ?? "") ?? []).toString(),
    "text 4",
  );
});

// Guards against documents with many keys that exhaust the memory of control.
test("large documents are kept up to a total size, the current one always", () => {
  const history = new DocumentHistory();
  const megabytes = 8;
  for (let base = 0; base < 10; base++) {
    const text = String(base).repeat(megabytes * 1024 * 1024);
    apply(history, { base, text, changeId: `id ${base}` });
  }
  const { documents } = history.takeSnapshot();
  assert.equal(documents.length, Math.floor(50 / megabytes));
  const current = history.getCurrent("trial");
  assert.ok(history.getBytes(current?.digest ?? ""));
});

test("a fingerprint leaves quarantine when it expires or is cleared", () => {
  const list = new QuarantineList();
  const add = (fingerprint: string, seconds: number) =>
    list.add({
      environment: "trial",
      fingerprint,
      seconds,
      firstSeconds: 0,
      reason: "crash",
      reportedBy: "c1",
    }, { time: new Date(0) });
  const getFingerprints = (milliseconds: number) =>
    list.getEntries("trial", new Date(milliseconds))
      .map((each) => each.fingerprint);
  add("a", 10);
  add("b", 5);
  add("a", 2);
  assert.deepEqual(getFingerprints(4999), ["a", "b"]);
  assert.deepEqual(getFingerprints(5000), ["a"]);
  const cleared = list.clear({
    environment: "trial",
    fingerprint: "a",
    operator: "ana",
  });
  assert.equal(cleared.changed, 1);
  assert.deepEqual(getFingerprints(0), ["b"]);
});

// Guards against a mistaken quarantine that lasts for the whole time.
test("the first quarantine is short, and a crash in its trial leads to a long one", () => {
  const list = new QuarantineList();
  const add = (seconds: number) =>
    list.add({
      environment: "trial",
      fingerprint: "a",
      seconds: 100,
      firstSeconds: 10,
      reason: "crash",
      reportedBy: "c1",
    }, { time: new Date(seconds * 1000) });
  const getState = (seconds: number): string => {
    const now = new Date(seconds * 1000);
    const isQuarantined = list.getEntries("trial", now).length > 0;
    const isOnTrial = list.getTrials("trial", now).length > 0;
    return isQuarantined ? "quarantined" : isOnTrial ? "on trial" : "none";
  };
  add(0);
  // Another instance records the same crash.
  add(1);
  assert.deepEqual([getState(10), getState(11), getState(110), getState(111)], [
    "quarantined",
    "on trial",
    "on trial",
    "none",
  ]);
  add(20);
  const restored = new QuarantineList();
  restored.restoreSnapshot(list.takeSnapshot());
  assert.deepEqual(restored.takeSnapshot(), list.takeSnapshot());
  assert.deepEqual([getState(119), getState(120)], ["quarantined", "none"]);
});

const diffs = [
  { before: "a\nb\nc\n", after: "a\nb\nc\n", lines: [] },
  { before: "a\nb\nc\n", after: "a\nx\nc\n", lines: ["-b", "+x"] },
  { before: "", after: "a\n", lines: ["+a"] },
  { before: "a\na\n", after: "a\n", lines: ["-a"] },
  { before: "a\nb\nc\nd\n", after: "b\nx\nd\n", lines: ["-a", "-c", "+x"] },
];

for (const { before, after, lines } of diffs) {
  test(`getChangedLines of ${JSON.stringify([before, after])}`, () => {
    assert.deepEqual(getChangedLines(before, after), lines);
  });
}
