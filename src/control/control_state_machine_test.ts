import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  ControlCommand,
  ControlResult,
  ControlSnapshot,
} from "../protocol/generated/control.ts";
import { ControlStateMachine } from "./control_state_machine.ts";

type Command = ControlCommand["command"];

const limits = {
  retentionSeconds: 1200,
  answerSeconds: 60,
  answerBytes: 16,
  maximumClaims: 4,
};

const key = fc.constantFrom("k1", "k2", "k3", "k4", "k5", "k6");
const claimId = fc.constantFrom("a", "b", "c");
const environment = fc.constantFrom("trial", "production");

const operation = fc.oneof(
  claimId.map((id) => ({
    $case: "claim" as const,
    claim: {
      claimId: id,
      fingerprint: "p",
      deadlineMilliseconds: 1000,
      entryIndex: 5,
    },
  })),
  fc.tuple(claimId, fc.nat(20)).map(([id, size]) => ({
    $case: "complete" as const,
    complete: {
      claimId: id,
      answer: { status: 200, headers: ["a", "b"], body: Buffer.alloc(size) },
    },
  })),
  claimId.map((id) => ({
    $case: "release" as const,
    release: { claimId: id },
  })),
  fc.constant({ $case: "fence" as const, fence: {} }),
);

const command: fc.Arbitrary<Command> = fc.oneof(
  fc.record({
    environment,
    baseRevision: fc.nat(3),
    bytes: fc.constantFrom(Buffer.from("x"), Buffer.from("y")),
    changeId: fc.constantFrom("1", "2", "3", "4", "5"),
    operator: fc.constant("ana"),
    ledgerLimits: fc.constant(limits),
  }).map((applyDocument): Command => ({
    $case: "applyDocument",
    applyDocument,
  })),
  fc.record({ environment, revision: fc.nat(3) })
    .map((markInForce): Command => ({ $case: "markInForce", markInForce })),
  fc.record({
    environment,
    fingerprint: fc.constantFrom("f", "g"),
    seconds: fc.nat(100),
    firstSeconds: fc.nat(10),
    reason: fc.constant("crash"),
    reportedBy: fc.constant("c1"),
  }).map((quarantine): Command => ({ $case: "quarantine", quarantine })),
  {
    weight: 4,
    arbitrary: fc.array(fc.tuple(key, operation), { maxLength: 5 })
      .map((operations): Command => ({
        $case: "ledger",
        ledger: {
          batches: [{
            formatVersion: 1,
            environment: "trial",
            nodeId: "n",
            incarnation: 1,
            operations: operations.map(([key, operation]) => ({
              service: "treasury",
              key,
              operation,
            })),
          }],
        },
      })),
  },
);

function encode(command: Command, formatVersion = 1): Uint8Array {
  return ControlCommand.encode({ formatVersion, command }).finish();
}

test("an instance restored from a snapshot returns the same results as one that never stopped", () => {
  const entry = fc.record({
    command,
    wait: fc.constantFrom(0, 0, 1000, 5000, 60_000, 1_200_000),
    isRestarted: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(entry, { maxLength: 40, size: "max" }), (entries) => {
      const uninterrupted = new ControlStateMachine();
      let restarted = new ControlStateMachine();
      let milliseconds = 0;
      entries.forEach(({ command, wait, isRestarted }, position) => {
        milliseconds += wait;
        if (isRestarted) {
          const snapshot = restarted.takeSnapshot();
          restarted = new ControlStateMachine();
          restarted.restoreSnapshot(snapshot);
        }
        const entry = {
          index: position + 1,
          time: new Date(milliseconds),
          command: encode(command),
        };
        assert.deepEqual(restarted.apply(entry), uninterrupted.apply(entry));
      });
      assert.equal(restarted.getDigest(), uninterrupted.getDigest());
    }),
    { numRuns: 300, seed: 20261204 },
  );
});

test("a snapshot or a log entry of a newer format version is rejected", () => {
  const machine = new ControlStateMachine();
  const snapshot = ControlSnapshot.encode({
    formatVersion: 2,
    index: 1,
    timeMilliseconds: 0,
    history: undefined,
    quarantine: [],
    ledger: undefined,
  }).finish();
  assert.throws(() => machine.restoreSnapshot(snapshot), /format version 2/);
  const entry = { index: 1, time: new Date(0), command: encode(undefined, 2) };
  assert.throws(() => machine.apply(entry), /format version 2/);
});

test("a command without content has the result unsupported", () => {
  const machine = new ControlStateMachine();
  const bytes = machine.apply({
    index: 1,
    time: new Date(0),
    command: encode(undefined),
  });
  assert.equal(ControlResult.decode(bytes).result?.$case, "unsupported");
});
