import assert from "node:assert/strict";
import { test } from "node:test";
import { GroupBootstrap } from "./group_bootstrap.ts";

const helloValidityMilliseconds = 1500;
const waitMilliseconds = 1000;
const initialMembers = ["a:1", "b:1", "c:1"];

/** Time at which an instance sends a hello. */
type Hello = readonly [address: string, atMilliseconds: number];

interface Case {
  readonly name: string;
  readonly address?: string;
  readonly hellos: readonly Hello[];
  /** Times at which the members are requested; the last one counts. */
  readonly requestedAt: readonly number[];
  readonly expected: readonly string[] | undefined;
}

const initialHellos: readonly Hello[] = [["b:1", 0], ["c:1", 0]];

const cases: readonly Case[] = [
  {
    name: "every instance that responded, once there are enough",
    hellos: [...initialHellos, ["d:1", 10], ["e:1", 20], ["f:1", 30]],
    requestedAt: [40],
    expected: ["a:1", "b:1", "c:1", "d:1", "e:1", "f:1"],
  },
  {
    name: "none while an initial member is missing",
    hellos: [["b:1", 0], ["d:1", 0], ["e:1", 0], ["f:1", 0]],
    requestedAt: [10, 1400],
    expected: undefined,
  },
  {
    name: "none while there are too few",
    hellos: [...initialHellos, ["d:1", 10]],
    requestedAt: [20, 1019],
    expected: undefined,
  },
  {
    name: "those that responded, after the wait for more",
    hellos: [...initialHellos, ["d:1", 10]],
    requestedAt: [20, 1020],
    expected: ["a:1", "b:1", "c:1", "d:1"],
  },
  {
    name: "none until the wait has passed without a break",
    hellos: [...initialHellos, ["b:1", 2000], ["c:1", 2000]],
    requestedAt: [10, 1600, 2010, 2500],
    expected: undefined,
  },
  {
    name: "no instance whose hello is too old",
    hellos: [["d:1", 0], ["b:1", 1000], ["c:1", 1000]],
    requestedAt: [1000, 2100],
    expected: initialMembers,
  },
  {
    name: "none for an instance that does not create the group",
    address: "d:1",
    hellos: [["a:1", 0], ...initialHellos, ["e:1", 0]],
    requestedAt: [10, 1400],
    expected: undefined,
  },
];

for (const { name, address = "a:1", hellos, requestedAt, expected } of cases) {
  test(`a new group has ${name}`, () => {
    const bootstrap = new GroupBootstrap({
      identity: { id: address, bootCount: 1, bootId: "", folderMark: "" },
      address,
      initialMembers,
      minimumMembers: 5,
      waitMilliseconds,
      helloValidityMilliseconds,
    });
    let addresses: readonly string[] | undefined;
    let heardUntil = -1;
    for (const now of requestedAt) {
      for (const [fromAddress, at] of hellos) {
        if (at > heardUntil && at <= now) {
          bootstrap.onHello(createHello(fromAddress), at);
        }
      }
      heardUntil = now;
      addresses = bootstrap.getMembers(now)?.map((each) => each.address);
    }
    assert.deepEqual(addresses, expected);
  });
}

function createHello(fromAddress: string) {
  return {
    groupId: "",
    fromId: fromAddress,
    fromAddress,
    fromBootId: "",
    toId: "",
    toAddress: "",
    term: 0,
    message: { kind: "hello" },
  } as const;
}
