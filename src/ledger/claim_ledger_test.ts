import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  type LedgerLimits,
  LedgerSnapshot,
} from "../protocol/generated/control.ts";
import type {
  LedgerOperation,
  LedgerResult,
} from "../protocol/generated/ledger.ts";
import { ClaimLedger } from "./claim_ledger.ts";
import { ClaimTable } from "./claim_table.ts";
import { heldAnswerLimitBytes } from "./held_answers.ts";

const seed = 20261204;
const limits: LedgerLimits = {
  retentionSeconds: 8 * 24 * 3600,
  answerSeconds: 3600,
  answerBytes: 4096,
  maximumClaims: 1000,
};

type Step =
  | { do: "claim"; id: string; entry?: number; fingerprint?: string }
  | { do: "complete"; id: string; body?: string }
  | { do: "release"; id: string }
  | { do: "fence" }
  | { do: "lookup" };

function toOperation(step: Step, key: string): LedgerOperation {
  const operation = (): LedgerOperation["operation"] => {
    switch (step.do) {
      case "claim":
        return {
          $case: "claim",
          claim: {
            claimId: step.id,
            fingerprint: step.fingerprint ?? "fingerprint",
            deadlineMilliseconds: 1000,
            entryIndex: step.entry ?? 1_000_000,
          },
        };
      case "complete":
        return {
          $case: "complete",
          complete: {
            claimId: step.id,
            answer: step.body === undefined ? undefined : {
              status: 200,
              headers: [],
              body: Buffer.from(step.body),
            },
          },
        };
      case "release":
        return { $case: "release", release: { claimId: step.id } };
      case "fence":
        return { $case: "fence", fence: {} };
      case "lookup":
        return { $case: "lookup", lookup: {} };
    }
  };
  return { service: "treasury", key, operation: operation() };
}

function describe(result: LedgerResult | undefined): string {
  const each = result?.result;
  switch (each?.$case) {
    case "denied":
      return each.denied.answer === undefined
        ? each.denied.reason
        : `${each.denied.reason} ${each.denied.answer.body}`;
    case "state":
      return `${each.state.status}${each.state.notRun ? " not-run" : ""}${
        each.state.answer === undefined ? "" : ` ${each.state.answer.body}`
      }`;
    default:
      return each?.$case ?? "none";
  }
}

/** Applies one operation per entry, at a time that the test sets. */
class Harness {
  ledger: ClaimLedger;
  index = 0;
  milliseconds = 1_000_000;

  constructor(readonly limits: LedgerLimits) {
    this.ledger = new ClaimLedger(() => limits);
  }

  run(step: Step, key = "key"): string {
    this.index += 1;
    const answer = this.ledger.apply({
      index: this.index,
      time: new Date(this.milliseconds),
      batch: {
        formatVersion: 1,
        environment: "trial",
        nodeId: "node",
        incarnation: 1,
        operations: [toOperation(step, key)],
      },
    });
    return describe(answer.results[0]);
  }

  restart(): void {
    const snapshot = LedgerSnapshot.decode(
      LedgerSnapshot.encode(this.ledger.takeSnapshot()).finish(),
    );
    this.ledger = new ClaimLedger(() => this.limits);
    this.ledger.restoreSnapshot(snapshot);
  }
}

const claim = (id: string, entry?: number): Step =>
  entry === undefined ? { do: "claim", id } : { do: "claim", id, entry };
const day = 24 * 3600 * 1000;

// Each row is a step with its expected result, or a wait in milliseconds.
const cases: { name: string; rows: (number | [Step, string])[] }[] = [
  {
    name:
      "a completed key returns its answer, and once the answer expired only that it ran",
    rows: [
      [claim("a"), "granted"],
      [{ do: "complete", id: "a", body: "paid" }, "accepted"],
      [{ do: "complete", id: "a", body: "paid" }, "accepted"],
      [claim("b"), "claim-ran paid"],
      [{ do: "lookup" }, "completed paid"],
      3600 * 1000,
      [claim("c"), "claim-ran"],
    ],
  },
  {
    name: "an answer above the limit is not held",
    rows: [
      [claim("a"), "granted"],
      [{ do: "complete", id: "a", body: "x".repeat(4097) }, "accepted"],
      [claim("b"), "claim-ran"],
    ],
  },
  {
    name: "a second claim is denied at once with the state of the first",
    rows: [
      [claim("a"), "granted"],
      [claim("b"), "claim-in-progress"],
      [claim("a"), "claim-in-progress"],
      2999,
      [claim("c"), "claim-in-progress"],
      1,
      [claim("d"), "claim-unknown"],
      [{ do: "lookup" }, "unknown"],
    ],
  },
  {
    name:
      "a late completion by the holder resolves an unknown key, by another does not",
    rows: [
      [claim("a"), "granted"],
      5000,
      [{ do: "complete", id: "b" }, "claim-unknown"],
      [{ do: "lookup" }, "unknown"],
      [{ do: "complete", id: "a", body: "late" }, "accepted"],
      [claim("b"), "claim-ran late"],
    ],
  },
  {
    name: "a release frees the key, and its claim is refused afterwards",
    rows: [
      [claim("a"), "granted"],
      [{ do: "release", id: "a" }, "accepted"],
      [{ do: "release", id: "a" }, "accepted"],
      [claim("a"), "claim-released"],
      [{ do: "complete", id: "a" }, "claim-released"],
      [claim("b"), "granted"],
    ],
  },
  {
    name: "a release that arrives before its claim refuses the claim",
    rows: [
      [{ do: "release", id: "a" }, "accepted"],
      [claim("a"), "claim-released"],
      [claim("b"), "granted"],
      [{ do: "release", id: "c" }, "accepted"],
      [{ do: "lookup" }, "claimed"],
    ],
  },
  {
    name: "a release does not free unknown and completed keys",
    rows: [
      [claim("a"), "granted"],
      5000,
      [{ do: "release", id: "a" }, "claim-unknown"],
      [claim("b"), "claim-unknown"],
      [{ do: "complete", id: "a" }, "accepted"],
      [{ do: "release", id: "a" }, "claim-ran"],
    ],
  },
  {
    name: "a claim with another fingerprint for the key is a conflict",
    rows: [
      [claim("a"), "granted"],
      [{ do: "claim", id: "b", fingerprint: "other" }, "key-conflict"],
    ],
  },
  {
    name: "a fence refuses claims with an earlier entry index, not later ones",
    rows: [
      [{ do: "fence" }, "absent not-run"],
      [claim("a", 0), "claim-superseded"],
      [{ do: "lookup" }, "absent not-run"],
      [claim("b", 1), "granted"],
      [{ do: "fence" }, "claimed"],
      [{ do: "release", id: "b" }, "accepted"],
      [claim("c", 0), "claim-superseded"],
      [{ do: "fence" }, "absent not-run"],
      [claim("d", 7), "claim-superseded"],
      [claim("e", 8), "granted"],
    ],
  },
  {
    name: "a key is kept for the retention time after its last change",
    rows: [
      [claim("a"), "granted"],
      4000,
      [{ do: "complete", id: "a" }, "accepted"],
      8 * day - 1,
      [{ do: "lookup" }, "completed"],
      1,
      [{ do: "lookup" }, "absent"],
    ],
  },
  {
    name: "a tombstone and a fence are kept as long as a claim",
    rows: [
      [{ do: "release", id: "a" }, "accepted"],
      [{ do: "fence" }, "absent not-run"],
      8 * day - 1,
      [claim("a"), "claim-released"],
      [claim("b", 1), "claim-superseded"],
      1,
      [claim("b", 1), "granted"],
    ],
  },
];

for (const { name, rows } of cases) {
  for (const isRestarted of [false, true]) {
    test(`${name}${isRestarted ? ", restored from a snapshot before each step" : ""}`, () => {
      const harness = new Harness(limits);
      for (const row of rows) {
        if (isRestarted) {
          harness.restart();
        }
        if (typeof row === "number") {
          harness.milliseconds += row;
        } else {
          assert.equal(harness.run(row[0]), row[1], JSON.stringify(row[0]));
        }
      }
    });
  }
}

test("a full ledger refuses claims, and still fences and releases", () => {
  const harness = new Harness({ ...limits, maximumClaims: 2 });
  assert.equal(harness.run(claim("a"), "k1"), "granted");
  assert.equal(harness.run(claim("b"), "k2"), "granted");
  assert.equal(harness.run(claim("c"), "k3"), "ledger-full");
  assert.equal(harness.run({ do: "fence" }, "k3"), "absent not-run");
  assert.equal(harness.run({ do: "release", id: "d" }, "k4"), "accepted");
  harness.milliseconds += 8 * day;
  assert.equal(harness.run(claim("c", 3), "k3"), "claim-superseded");
  assert.equal(harness.run(claim("d", 4), "k4"), "claim-superseded");
  assert.equal(harness.run(claim("c", 5), "k3"), "granted");
});

test("held answers stay within their memory limit", () => {
  const harness = new Harness({ ...limits, maximumClaims: 20_000 });
  const body = "x".repeat(4096);
  for (let number = 0; number < 10_000; number++) {
    harness.run(claim(`c${number}`), `k${number}`);
    harness.run({ do: "complete", id: `c${number}`, body }, `k${number}`);
  }
  const { answerBytes } = harness.ledger.getUsage("trial");
  assert.ok(answerBytes <= heldAnswerLimitBytes, `${answerBytes}`);
  assert.equal(harness.run(claim("again"), "k0"), "claim-ran");
  assert.match(harness.run(claim("again"), "k9999"), /^claim-ran x/);
});

test("an entry with an earlier time does not set the clock back", () => {
  const harness = new Harness(limits);
  harness.run(claim("a"));
  harness.milliseconds += 3000;
  assert.equal(harness.run({ do: "lookup" }), "unknown");
  harness.milliseconds -= 3000;
  assert.equal(harness.run({ do: "lookup" }), "unknown");
});

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      do: fc.constant("claim" as const),
      id: fc.constantFrom("a", "b", "c", "d", "e", "f"),
      // Age of the claim's entry index in entries; converted to an index below.
      entry: fc.nat(16),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      do: fc.constantFrom(
        "release" as const,
        "release" as const,
        "release" as const,
        "complete" as const,
      ),
      // The holder of the key, or another claim.
      id: fc.constantFrom("held", "held", "a", "b"),
    }),
  },
  { weight: 2, arbitrary: fc.constant({ do: "fence" as const }) },
  { weight: 1, arbitrary: fc.constant({ do: "lookup" as const }) },
);

const historyArbitrary = fc.array(
  fc.record({
    step: stepArbitrary,
    key: fc.constantFrom("k1", "k2"),
    // The sum over a history stays well below the minimum retention. Mostly 0,
    // because an unknown key stays unknown for the rest of the history.
    wait: fc.oneof(
      { weight: 12, arbitrary: fc.constant(0) },
      { weight: 1, arbitrary: fc.constantFrom(500, 2000, 4000) },
    ),
    isRestarted: fc.boolean(),
  }),
  { maxLength: 60, size: "max" },
);

for (const maximumClaims of [1000, 3]) {
  test(`no key is granted twice, and not-run is reported only for keys that did not run, with room for ${maximumClaims} claims`, () => {
    fc.assert(
      fc.property(historyArbitrary, (history) => {
        const harness = new Harness({ ...limits, maximumClaims });
        const holders = new Map<string, { id: string; until: number }>();
        const released = new Set<string>();
        const fences = new Map<string, number>();
        for (const { step: generated, key, wait, isRestarted } of history) {
          const step = "id" in generated && generated.id === "held"
            ? { ...generated, id: holders.get(key)?.id ?? "none" }
            : generated;
          harness.milliseconds += wait;
          if (isRestarted) {
            harness.restart();
          }
          const entry = step.do === "claim"
            ? Math.max(0, harness.index - (step.entry ?? 0))
            : 0;
          const result = harness.run(
            step.do === "claim" ? { ...step, entry } : step,
            key,
          );
          if (result === "granted" && step.do === "claim") {
            assert.equal(holders.get(key), undefined, "granted twice");
            assert.ok(
              !released.has(`${key} ${step.id}`),
              "granted after its release",
            );
            assert.ok(
              entry >= (fences.get(key) ?? 0),
              "granted before the fence",
            );
            const until = harness.milliseconds + 3000;
            holders.set(key, { id: step.id, until });
          } else if (step.do === "release" && result === "accepted") {
            released.add(`${key} ${step.id}`);
            const holder = holders.get(key);
            if (holder?.id === step.id) {
              assert.ok(
                harness.milliseconds < holder.until,
                "released an unknown key",
              );
              holders.delete(key);
            }
          } else if (result.includes("not-run")) {
            assert.equal(
              holders.get(key),
              undefined,
              "reported a granted key as not-run",
            );
            if (step.do === "fence") {
              fences.set(key, harness.index);
            }
          } else if (step.do === "fence" || step.do === "lookup") {
            assert.equal(result === "absent", !holders.has(key));
          }
        }
      }),
      { numRuns: 2000, seed },
    );
  });
}

test("ClaimTable finds the same records as a map, with removals and hash collisions", () => {
  const operation = fc.record({
    kind: fc.constantFrom("insert", "insert", "remove", "touch"),
    // Few distinct first words, so that most records collide in a bucket.
    key: fc.tuple(fc.nat(3), fc.nat(5)),
  });
  fc.assert(
    fc.property(
      fc.array(operation, { maxLength: 80, size: "max" }),
      (operations) => {
        const table = new ClaimTable();
        const model = new Map<string, number>();
        operations.forEach(({ kind, key }, position) => {
          const digest = Uint32Array.from([...key, 7, 7]);
          const name = key.join(" ");
          const slot = table.find(digest);
          assert.equal(slot >= 0, model.has(name));
          if (kind === "insert" && slot < 0) {
            table.setFence(table.insert(digest, position), position);
            model.set(name, position);
          } else if (kind === "remove" && slot >= 0) {
            table.remove(slot);
            model.delete(name);
          } else if (slot >= 0) {
            assert.equal(table.getFence(slot), model.get(name));
            table.touch(slot, position);
          }
        });
        assert.equal(table.size, model.size);
        const copy = new ClaimTable();
        copy.decode(table.encode());
        assert.deepEqual(copy.encode(), table.encode());
      },
    ),
    { numRuns: 500, seed },
  );
});
