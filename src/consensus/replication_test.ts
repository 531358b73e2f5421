import assert from "node:assert/strict";
import { test } from "node:test";
import { EntryLog } from "./entry_log.ts";
import { emptySnapshotInfo, type LogEntry } from "./log_entry.ts";
import type { ConsensusMessage } from "./message.ts";
import { Replication } from "./replication.ts";

const leader = { id: "leader", address: "leader:1", isVoter: true };
const follower = { id: "follower", address: "follower:1", isVoter: true };

function createEntry(index: number): LogEntry {
  return {
    index,
    term: 1,
    timeMilliseconds: 0,
    content: { kind: "command", command: new Uint8Array(400 * 1024) },
  };
}

// Guards against parts of a snapshot that are sent again while they are on their way.
test("a part of a snapshot is sent again only once it cannot arrive any more", () => {
  let now = 0;
  let sentCount = 0;
  const snapshot = { ...emptySnapshotInfo, index: 10, term: 1 };
  const replication = new Replication({
    ownId: leader.id,
    log: new EntryLog(snapshot),
    getState: () => ({
      now,
      members: [leader, follower],
      snapshot,
      durableIndex: 10,
      commitIndex: 10,
      readRound: 0,
      leaderSince: 0,
    }),
    send: (_to, { kind }) => sentCount += kind === "snapshotChunk" ? 1 : 0,
    onResend: () => {},
  });
  replication.updateMembers();
  const progress = replication.get(follower.id);
  assert.ok(progress);
  replication.onAppendResponse(progress, { isSuccess: false, index: 0 });
  replication.replicate();
  const advance = (milliseconds: number) => {
    now += milliseconds;
    replication.sendHeartbeats();
    return sentCount;
  };
  assert.deepEqual([advance(0), advance(3000), advance(3000)], [1, 1, 2]);
  replication.onDeliveryFailed(progress, {
    kind: "snapshotChunk",
    info: snapshot,
    offset: 0,
    data: new Uint8Array(),
    isLast: false,
  });
  assert.deepEqual([advance(250), advance(1000)], [2, 3]);
});

/** Creates an append of entries with consecutive indexes. */
function createAppend(indexes: readonly number[]): ConsensusMessage {
  return {
    kind: "append",
    previousIndex: (indexes[0] ?? 1) - 1,
    previousTerm: 1,
    entries: indexes.map(createEntry),
    commitIndex: 1,
    round: 0,
    majorityAgeMilliseconds: 0,
  };
}

/** Creates the replication of a log whose member holds the first entry only. */
function start(entryCount: number) {
  let now = 0;
  const sent: Extract<ConsensusMessage, { kind: "append" }>[] = [];
  const log = new EntryLog(
    emptySnapshotInfo,
    Array.from({ length: entryCount }, (_, index) => createEntry(index + 1)),
  );
  const replication = new Replication({
    ownId: leader.id,
    log,
    getState: () => ({
      now,
      members: [leader, follower],
      snapshot: emptySnapshotInfo,
      durableIndex: entryCount,
      commitIndex: 1,
      readRound: 0,
      leaderSince: 0,
    }),
    send: (_to, message) => {
      if (message.kind === "append") {
        sent.push(message);
      }
    },
    onResend: () => {},
  });
  replication.updateMembers();
  const progress = replication.get(follower.id);
  assert.ok(progress);
  replication.onAppendResponse(progress, { isSuccess: true, index: 1 });
  replication.replicate();
  const takeEntryIndexes = () =>
    sent.splice(0).flatMap(({ entries }) => entries.map(({ index }) => index));
  const firstIndexes = takeEntryIndexes();
  /** Advances the time, then sends heartbeats and what is due. */
  const advance = (milliseconds: number) => {
    now += milliseconds;
    replication.sendHeartbeats();
    replication.replicate();
    return sent;
  };
  return {
    replication,
    progress,
    firstIndexes,
    takeEntryIndexes,
    advance,
    /** Advances the time; the member then states that it holds the first entry. */
    answerProbe: (milliseconds: number) => {
      advance(milliseconds);
      replication.onAppendResponse(progress, { isSuccess: true, index: 1 });
      replication.replicate();
    },
  };
}

test("entries in flight to a member are limited by their size", () => {
  const { replication, progress, firstIndexes, takeEntryIndexes } = start(20);
  assert.deepEqual(firstIndexes, [2, 3, 4]);
  replication.onAppendResponse(progress, { isSuccess: true, index: 3 });
  replication.replicate();
  assert.deepEqual(takeEntryIndexes(), [5, 6]);
});

const cases: {
  name: string;
  run(started: ReturnType<typeof start>): void;
  resent: number[];
}[] = [
  {
    name: "not because of a heartbeat, which follows what the member holds",
    run: ({ advance }) => {
      const [heartbeat] = advance(250);
      assert.equal(heartbeat?.previousIndex, 1);
    },
    resent: [],
  },
  {
    name: "not because of a rejection that came before they arrived",
    run: ({ replication, progress, advance }) => {
      replication.onAppendResponse(progress, { isSuccess: false, index: 1 });
      advance(250);
    },
    resent: [],
  },
  {
    name: "not before they can have arrived over a slow link",
    run: ({ advance }) => {
      advance(1500);
    },
    resent: [],
  },
  {
    name: "not because an earlier delivery failed",
    run: ({ replication, progress, answerProbe }) => {
      replication.onDeliveryFailed(progress, createAppend([1]));
      answerProbe(250);
    },
    resent: [],
  },
  {
    name: "after the member restarted",
    run: ({ replication, progress, answerProbe }) => {
      replication.onRestarted(progress);
      answerProbe(250);
    },
    resent: [2, 3, 4],
  },
  {
    name: "after their delivery failed",
    run: ({ replication, progress, answerProbe }) => {
      replication.onDeliveryFailed(progress, createAppend([2]));
      answerProbe(250);
    },
    resent: [2, 3, 4],
  },
  {
    name: "after no progress for longer than a slow link takes",
    run: ({ answerProbe }) => {
      answerProbe(12_000);
    },
    resent: [2, 3, 4],
  },
];

// Guards against entries that are sent again while they are on their way.
for (const { name, run, resent } of cases) {
  test(`entries in flight are sent again: ${name}`, () => {
    const started = start(20);
    run(started);
    assert.deepEqual(started.takeEntryIndexes(), resent);
  });
}

// Guards against members that take delayed messages for recent ones.
test("an append has the time of the last response of its recipient, and the time since", () => {
  const { progress, advance } = start(1);
  const getSentAfter = () => advance(250).at(-1)?.sentAfter;
  assert.deepEqual(getSentAfter(), { bootId: "", milliseconds: 0 });
  progress.lastResponse = {
    sentAt: { bootId: "f1", milliseconds: 9000 },
    receivedAtMilliseconds: 250,
  };
  assert.deepEqual(getSentAfter(), { bootId: "f1", milliseconds: 9250 });
});
