import assert from "node:assert/strict";
import { test } from "node:test";
import {
  chooseMemberToRemove,
  earlyRemovalTimeoutMilliseconds,
  getJoinStep,
  memberRemovalTimeoutMilliseconds,
} from "./membership_rules.ts";

function createGroup(options: {
  voters: number;
  unresponsive?: readonly string[];
  joining?: string;
  ageMilliseconds?: number;
}) {
  const members = Array.from({ length: options.voters }, (_, index) => ({
    id: `m${index}`,
    address: `10.0.0.${index}:7000`,
    isVoter: true,
  }));
  if (options.joining !== undefined) {
    const address = "10.0.0.9:7000";
    members.push({ id: options.joining, address, isVoter: false });
  }
  const lastContactAgesMilliseconds = new Map(
    (options.unresponsive ?? []).map((
      id,
    ) => [id, options.ageMilliseconds ?? memberRemovalTimeoutMilliseconds + 1]),
  );
  return { id: "m0", members, lastContactAgesMilliseconds };
}

const joins = [
  {
    name: "a voter needs no change",
    group: createGroup({ voters: 3 }),
    request: { id: "m1", address: "10.0.0.1:7000" },
    kind: "none",
  },
  {
    name: "a new instance is added",
    group: createGroup({ voters: 3 }),
    request: { id: "new", address: "10.0.0.7:7000" },
    kind: "add",
  },
  {
    name: "an instance that was added becomes a voter",
    group: createGroup({ voters: 3, joining: "new" }),
    request: { id: "new", address: "10.0.0.9:7000" },
    kind: "promote",
  },
  {
    name: "the previous identity at the same address is removed first",
    group: createGroup({ voters: 3 }),
    request: { id: "new", address: "10.0.0.2:7000" },
    kind: "remove",
  },
];

for (const { name, group, request, kind } of joins) {
  test(`getJoinStep: ${name}`, () => {
    assert.equal(getJoinStep(group, request).kind, kind);
  });
}

const removals = [
  {
    name: "nobody while all members respond",
    group: createGroup({ voters: 5 }),
    toleratedLosses: 1,
    hasNewVoter: false,
    expected: undefined,
  },
  {
    name: "an unresponsive voter",
    group: createGroup({ voters: 5, unresponsive: ["m3"] }),
    toleratedLosses: 1,
    hasNewVoter: false,
    expected: "m3",
  },
  {
    name: "nobody when fewer than three voters would remain",
    group: createGroup({ voters: 3, unresponsive: ["m2"] }),
    toleratedLosses: 0,
    hasNewVoter: false,
    expected: undefined,
  },
  {
    name: "an unresponsive instance that never became a voter",
    group: createGroup({ voters: 3, joining: "new", unresponsive: ["new"] }),
    toleratedLosses: 1,
    hasNewVoter: false,
    expected: "new",
  },
  {
    name: "an unresponsive voter while five remain for two lost disks",
    group: createGroup({ voters: 6, unresponsive: ["m3", "m4"] }),
    toleratedLosses: 2,
    hasNewVoter: false,
    expected: "m3",
  },
  // Guards against a group of four that forms never again without two disks.
  {
    name: "nobody when fewer than five voters would remain for two lost disks",
    group: createGroup({ voters: 5, unresponsive: ["m3"] }),
    toleratedLosses: 2,
    hasNewVoter: false,
    expected: undefined,
  },
  // Guards against four of six voters that must all survive two more losses.
  {
    name: "an unresponsive voter early once the group has a new voter",
    group: createGroup({
      voters: 6,
      unresponsive: ["m3"],
      ageMilliseconds: earlyRemovalTimeoutMilliseconds + 1,
    }),
    toleratedLosses: 2,
    hasNewVoter: true,
    expected: "m3",
  },
  {
    name: "nobody early without a new voter",
    group: createGroup({
      voters: 6,
      unresponsive: ["m3"],
      ageMilliseconds: earlyRemovalTimeoutMilliseconds + 1,
    }),
    toleratedLosses: 2,
    hasNewVoter: false,
    expected: undefined,
  },
];

for (const { name, group, expected, ...options } of removals) {
  test(`chooseMemberToRemove: ${name}`, () => {
    assert.equal(chooseMemberToRemove(group, options), expected);
  });
}
