import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeLogRecord, encodeLogRecord } from "./codec.ts";
import { advancePeerState, type PeerState, verifyStart } from "./peer_state.ts";

function createMemory(
  [term, lastTerm, lastIndex]: readonly [number, number, number],
): PeerState {
  return { bootCount: 1, bootId: "1", term, lastTerm, lastIndex };
}

// Each position is the term of the instance, the entry term and the index.
for (
  const { name, memory, start, verdict } of [
    {
      name: "the same position",
      memory: [3, 2, 5],
      start: [3, 2, 5],
      verdict: "confirmed",
    },
    {
      name: "the replaced entry at the same index",
      memory: [3, 3, 5],
      start: [3, 2, 5],
      verdict: "denied",
    },
    {
      name: "replaced entries in a longer log",
      memory: [3, 3, 5],
      start: [3, 2, 7],
      verdict: "denied",
    },
    {
      name: "a shorter log with a later entry",
      memory: [3, 2, 5],
      start: [3, 3, 4],
      verdict: "confirmed",
    },
    {
      name: "a lower index",
      memory: [3, 2, 5],
      start: [3, 2, 4],
      verdict: "denied",
    },
    {
      name: "a lower term",
      memory: [3, 2, 5],
      start: [2, 2, 5],
      verdict: "denied",
    },
    {
      name: "a later term with a lower position",
      memory: [3, 3, 5],
      start: [4, 2, 4],
      verdict: "confirmed",
    },
    {
      name: "the index of the earlier layout",
      memory: [3, 0, 5],
      start: [3, 2, 5],
      verdict: "confirmed",
    },
    {
      name: "less than the index of the earlier layout",
      memory: [3, 0, 5],
      start: [3, 2, 4],
      verdict: "denied",
    },
  ] as const
) {
  // Guards against confirming an older disk, and against denying a valid one.
  test(`a start with ${name} is ${verdict}`, () => {
    const judged = verifyStart(createMemory(memory), {
      ...createMemory(start),
      bootCount: 2,
      bootId: "2",
    });
    assert.equal(judged.verdict, verdict);
  });
}

for (
  const { memory, progress, expected } of [
    { memory: [3, 2, 5], progress: [3, 3, 4], expected: [3, 3, 4] },
    { memory: [3, 3, 4], progress: [3, 2, 5], expected: [3, 3, 4] },
    { memory: [3, 3, 4], progress: [3, 3, 6], expected: [3, 3, 6] },
    { memory: [3, 3, 4], progress: [4, 0, 0], expected: [4, 0, 0] },
    { memory: [3, 0, 4], progress: [3, 2, 3], expected: [3, 0, 4] },
    { memory: [3, 0, 4], progress: [3, 2, 5], expected: [3, 2, 5] },
  ] as const
) {
  // Guards against a memory that forgets a promise of the same term.
  test(`memory ${memory} with promise ${progress} is ${expected}`, () => {
    const [term, lastTerm, lastIndex] = progress;
    assert.deepEqual(
      advancePeerState(createMemory(memory), { term, lastTerm, lastIndex }),
      createMemory(expected),
    );
  });
}

// Guards against a data folder that cannot be read after an upgrade.
test("a memory of the earlier layout is read", () => {
  const memory = createMemory([3, 2, 5]);
  const current = encodeLogRecord([], new Map([["a", memory]]));
  assert.deepEqual(decodeLogRecord(current).peers.get("a"), memory);
  // Fields 1 to 5 of a PeerRecord: the layout without the entry term.
  const peer = Buffer.from([10, 1, 97, 16, 1, 26, 1, 49, 32, 3, 40, 5]);
  const earlier = Buffer.concat([Buffer.from([18, peer.length]), peer]);
  assert.deepEqual(
    decodeLogRecord(earlier).peers.get("a"),
    createMemory([3, 0, 5]),
  );
});
