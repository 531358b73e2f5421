import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeLogRecord, encodeLogRecord } from "./codec.ts";
import { advancePeerState, type PeerState, verifyStart } from "./peer_state.ts";

function createPeerState(
  [term, lastTerm, lastIndex]: readonly [number, number, number],
): PeerState {
  return { bootCount: 1, bootId: "1", term, lastTerm, lastIndex };
}

// Each triple is the term of the instance, and the term and index of its last
// entry.
for (
  const { name, recorded, start, verdict } of [
    {
      name: "the same position",
      recorded: [3, 2, 5],
      start: [3, 2, 5],
      verdict: "confirmed",
    },
    {
      name: "the replaced entry at the same index",
      recorded: [3, 3, 5],
      start: [3, 2, 5],
      verdict: "denied",
    },
    {
      name: "replaced entries in a longer log",
      recorded: [3, 3, 5],
      start: [3, 2, 7],
      verdict: "denied",
    },
    {
      name: "a shorter log with a later entry",
      recorded: [3, 2, 5],
      start: [3, 3, 4],
      verdict: "confirmed",
    },
    {
      name: "a lower index",
      recorded: [3, 2, 5],
      start: [3, 2, 4],
      verdict: "denied",
    },
    {
      name: "a lower term",
      recorded: [3, 2, 5],
      start: [2, 2, 5],
      verdict: "denied",
    },
    {
      name: "a later term with a lower position",
      recorded: [3, 3, 5],
      start: [4, 2, 4],
      verdict: "confirmed",
    },
    {
      name: "the index recorded by an earlier release",
      recorded: [3, 0, 5],
      start: [3, 2, 5],
      verdict: "confirmed",
    },
    {
      name: "less than the index recorded by an earlier release",
      recorded: [3, 0, 5],
      start: [3, 2, 4],
      verdict: "denied",
    },
  ] as const
) {
  // Guards against confirming an older disk, and against denying a current one.
  test(`a start with ${name} is ${verdict}`, () => {
    const result = verifyStart(createPeerState(recorded), {
      ...createPeerState(start),
      bootCount: 2,
      bootId: "2",
    });
    assert.equal(result.verdict, verdict);
  });
}

for (
  const { recorded, progress, expected } of [
    { recorded: [3, 2, 5], progress: [3, 3, 4], expected: [3, 3, 4] },
    { recorded: [3, 3, 4], progress: [3, 2, 5], expected: [3, 3, 4] },
    { recorded: [3, 3, 4], progress: [3, 3, 6], expected: [3, 3, 6] },
    { recorded: [3, 3, 4], progress: [4, 0, 0], expected: [4, 0, 0] },
    { recorded: [3, 0, 4], progress: [3, 2, 3], expected: [3, 0, 4] },
    { recorded: [3, 0, 4], progress: [3, 2, 5], expected: [3, 2, 5] },
  ] as const
) {
  // Guards against replacing a recorded position by an earlier one of its term.
  test(`state ${recorded} advanced by ${progress} is ${expected}`, () => {
    const [term, lastTerm, lastIndex] = progress;
    assert.deepEqual(
      advancePeerState(createPeerState(recorded), {
        term,
        lastTerm,
        lastIndex,
      }),
      createPeerState(expected),
    );
  });
}

// Guards against a data folder that cannot be read after an upgrade.
test("a peer record of an earlier release is read", () => {
  const recorded = createPeerState([3, 2, 5]);
  const current = encodeLogRecord([], new Map([["a", recorded]]));
  assert.deepEqual(decodeLogRecord(current).peers.get("a"), recorded);
  // Fields 1 to 5 of a PeerRecord, without the term of the last entry.
  const peer = Buffer.from([10, 1, 97, 16, 1, 26, 1, 49, 32, 3, 40, 5]);
  const earlier = Buffer.concat([Buffer.from([18, peer.length]), peer]);
  assert.deepEqual(
    decodeLogRecord(earlier).peers.get("a"),
    createPeerState([3, 0, 5]),
  );
});
