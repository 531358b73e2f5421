import assert from "node:assert/strict";
import { test } from "node:test";
import { type LogFields, ManualClock } from "../common/mod.ts";
import type { ConsensusStatus } from "../consensus/mod.ts";
import { ControlCommand } from "../protocol/generated/control.ts";
import { ControlStateMachine, formatVersion } from "./control_state_machine.ts";
import { DocumentLog } from "./document_log.ts";

interface Line extends LogFields {
  readonly event: string;
}

const members = ["a", "b", "c"].map((id) => ({
  id,
  address: `10.0.0.1:${id}`,
  isVoter: true,
}));

const initialStatus = {
  bootCount: 2,
  role: "follower",
  term: 3,
  members,
  matchIndexes: new Map(),
  snapshotIndex: 0,
  appliedIndex: 0,
  commitIndex: 0,
  lastIndex: 2,
} as unknown as ConsensusStatus;

/** Applies a document as the given entry. */
function applyDocument(
  stateMachine: ControlStateMachine,
  { index, baseRevision }: { index: number; baseRevision: number },
): void {
  const command = ControlCommand.encode({
    formatVersion,
    command: {
      $case: "applyDocument",
      applyDocument: {
        environment: "production",
        baseRevision,
        bytes: Buffer.from(`document ${index}`),
        changeId: `change ${index} of an operator`,
        operator: "ana",
        ledgerLimits: undefined,
      },
    },
  }).finish();
  stateMachine.apply({ index, time: new Date(0), command });
}

function start() {
  const lines: Line[] = [];
  const add = (event: string, fields: LogFields = {}) =>
    lines.push({ event, ...fields });
  const stateMachine = new ControlStateMachine();
  const clock = new ManualClock();
  let status = initialStatus;
  const documentLog = new DocumentLog({
    stateMachine,
    log: { getStatus: () => status },
    eventLog: { info: add, warn: add, error: add },
    clock,
  });
  return {
    lines,
    stateMachine,
    clock,
    documentLog,
    update: (changes: Partial<ConsensusStatus>) =>
      status = { ...status, ...changes },
  };
}

// Guards against a restart whose log does not tell which document was on the
// disk of which instance.
test("the state on the disk is logged at the start and when it is applied", () => {
  const { lines, stateMachine, clock, documentLog, update } = start();
  assert.deepEqual(lines, [{
    event: "state loaded",
    boot: 2,
    term: 3,
    snapshot: 0,
    applied: 0,
    lastIndex: 2,
    members: 3,
    revisions: undefined,
  }]);
  applyDocument(stateMachine, { index: 1, baseRevision: 0 });
  const leader = { id: "b", address: "10.0.0.1:b" };
  update({ appliedIndex: 1, commitIndex: 2, leader });
  documentLog.checkRecovery();
  assert.equal(lines.length, 1, "an entry of the disk is not applied yet");
  applyDocument(stateMachine, { index: 2, baseRevision: 1 });
  update({ appliedIndex: 2, term: 4 });
  clock.advance(700);
  documentLog.checkRecovery();
  documentLog.checkRecovery();
  assert.deepEqual(lines.slice(1), [{
    event: "state recovered",
    role: "follower",
    leader: "10.0.0.1:b",
    term: 4,
    snapshot: 0,
    applied: 2,
    lastIndex: 2,
    lastIndexAtStart: 2,
    revisions: "production:2",
    milliseconds: 700,
  }]);
});

// Guards against an acknowledged document of which no line says at which index
// it was and which disks held it; and against a line for each replayed one.
test("the last document of a turn is logged with its index and its holders", async () => {
  const { lines, stateMachine, update } = start();
  update({
    role: "leader",
    matchIndexes: new Map([["a", 9], ["b", 8], ["c", 7]]),
  });
  applyDocument(stateMachine, { index: 7, baseRevision: 0 });
  applyDocument(stateMachine, { index: 8, baseRevision: 1 });
  // Refused, so the document is still the one of index 8.
  applyDocument(stateMachine, { index: 9, baseRevision: 1 });
  await new Promise((resolve) => setImmediate(resolve));
  const recorded = lines.filter((each) => each.event === "document recorded");
  assert.equal(recorded.length, 1);
  assert.deepEqual({ ...recorded[0], digest: undefined }, {
    event: "document recorded",
    environment: "production",
    revision: 2,
    changeId: "change 8 of ",
    digest: undefined,
    index: 8,
    term: 3,
    role: "leader",
    onDisk: "10.0.0.1:a,10.0.0.1:b",
  });
});
