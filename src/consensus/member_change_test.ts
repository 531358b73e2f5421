import assert from "node:assert/strict";
import { test } from "node:test";
import type { SingleMemberChange } from "./core_types.ts";
import type { Member } from "./member.ts";
import { applyMemberChange } from "./member_change.ts";

const voter = (id: string): Member => ({ id, address: id, isVoter: true });
const nonVoter = (id: string): Member => ({ id, address: id, isVoter: false });

const cases: readonly {
  readonly name: string;
  readonly members: readonly Member[];
  readonly change: SingleMemberChange;
  readonly caughtUp?: string;
  readonly expected: readonly Member[] | string;
}[] = [
  {
    name: "an added instance is a non-voter until it has caught up",
    members: [voter("a")],
    change: { kind: "add", id: "b", address: "b" },
    expected: [voter("a"), nonVoter("b")],
  },
  {
    name: "a member is not added twice",
    members: [voter("a")],
    change: { kind: "add", id: "a", address: "a" },
    expected: "a is a member already",
  },
  {
    name: "a non-voter that is behind is not promoted",
    members: [voter("a"), nonVoter("b")],
    change: { kind: "promote", id: "b" },
    expected: "b has not caught up",
  },
  {
    name: "a non-voter that has caught up is promoted",
    members: [voter("a"), nonVoter("b")],
    change: { kind: "promote", id: "b" },
    caughtUp: "b",
    expected: [voter("a"), voter("b")],
  },
  {
    name: "a voter is not promoted",
    members: [voter("a")],
    change: { kind: "promote", id: "a" },
    caughtUp: "a",
    expected: "a is not a non-voter of the group",
  },
  {
    name: "the last voter is not removed, as no entry could be committed",
    members: [voter("a"), nonVoter("b")],
    change: { kind: "remove", id: "a" },
    expected: "a is the last voter",
  },
  {
    name: "one of two voters is removed",
    members: [voter("a"), voter("b")],
    change: { kind: "remove", id: "a" },
    expected: [voter("b")],
  },
];

for (const { name, members, change, caughtUp, expected } of cases) {
  test(`applyMemberChange: ${name}`, () => {
    const result = applyMemberChange(members, change, (id) => id === caughtUp);
    assert.deepEqual(
      result.kind === "ok" ? result.value : result.error,
      expected,
    );
  });
}
