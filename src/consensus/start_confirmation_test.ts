import assert from "node:assert/strict";
import { test } from "node:test";
import type { Member } from "./member.ts";
import { StartConfirmation } from "./start_confirmation.ts";

const members: readonly Member[] = ["a", "b", "c", "d", "e"].map((id) => ({
  id,
  address: `${id}:1`,
  isVoter: true,
}));

// Guards against accepting an instance whose disk is older than votes or
// acknowledgements that it sent: only confirmations of voters can exclude that.
const cases: readonly {
  readonly name: string;
  readonly confirmedBy: readonly string[];
  readonly elapsed: number;
  readonly isMoved: boolean;
  readonly expected: boolean;
}[] = [
  {
    name: "all voters at once",
    confirmedBy: ["b", "c", "d", "e"],
    elapsed: 0,
    isMoved: false,
    expected: true,
  },
  {
    name: "a majority before the wait is over",
    confirmedBy: ["b", "c"],
    elapsed: 999,
    isMoved: false,
    expected: false,
  },
  {
    name: "a majority after the wait",
    confirmedBy: ["b", "c"],
    elapsed: 1000,
    isMoved: false,
    expected: true,
  },
  {
    name: "less than a majority after the wait",
    confirmedBy: ["b"],
    elapsed: 5000,
    isMoved: false,
    expected: false,
  },
  {
    name: "a majority for a folder that was copied",
    confirmedBy: ["b", "c", "d"],
    elapsed: 5000,
    isMoved: true,
    expected: false,
  },
  {
    name: "all voters for a folder that was copied",
    confirmedBy: ["b", "c", "d", "e"],
    elapsed: 0,
    isMoved: true,
    expected: true,
  },
  {
    name: "instances that are not members",
    confirmedBy: ["x", "y", "z"],
    elapsed: 5000,
    isMoved: false,
    expected: false,
  },
];

for (const { name, confirmedBy, elapsed, isMoved, expected } of cases) {
  test(`a start is confirmed by ${name}: ${expected}`, () => {
    const confirmation = new StartConfirmation({
      start: { term: 5, lastTerm: 5, lastIndex: 9 },
      isNewIdentity: false,
      nowMilliseconds: 0,
      majorityWaitMilliseconds: 1000,
    });
    confirmedBy.forEach((each) => confirmation.recordConfirmation(each));
    const group = { members, ownId: "a", isMoved, nowMilliseconds: elapsed };
    assert.equal(confirmation.tryConfirm(group) !== undefined, expected);
    assert.equal(confirmation.isConfirmed, expected);
    assert.equal(
      confirmation.tryConfirm(group),
      undefined,
      "returned only once",
    );
  });
}
