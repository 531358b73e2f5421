import assert from "node:assert/strict";
import { statSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import {
  getFreeAddress,
  ReplicatedLogGroup,
  type ReplicatedLogInstance,
  waitForValue,
} from "../../tests/support/replicated_log_group.ts";
import { createGrpcTransport } from "./grpc_transport.ts";
import { createNodeFileSystem } from "./node_file_system.ts";

async function getFollower(
  group: ReplicatedLogGroup,
): Promise<ReplicatedLogInstance> {
  const leader = await group.waitForLeader();
  const follower = group.instances.find((each) => each !== leader);
  assert.ok(follower);
  return follower;
}

for (const size of [1, 3]) {
  test(`a group of ${size} commits, restarts and keeps every entry`, async () => {
    const group = await ReplicatedLogGroup.start(size);
    try {
      const leader = await group.waitForLeader();
      const results = await Promise.all(
        Array.from(
          { length: 100 },
          (_, index) => leader.log.propose(Buffer.from(`first ${index}`)),
        ),
      );
      assert.deepEqual(
        results.map((each) =>
          each.kind === "ok" && Buffer.from(each.value).toString()
        ),
        results.map((_, index) => String(index + 1)),
      );
      await group.waitForEqualState();
      const stopped = [...group.instances];
      for (const instance of stopped) {
        await group.stopInstance(instance);
      }
      for (const { address, dataFolder } of stopped) {
        await group.startInstance({ address, dataFolder });
      }
      await group.propose("second");
      await group.waitForEqualState();
      for (const { stateMachine: machine, log } of group.instances) {
        assert.equal(machine.texts.length, 101);
        assert.equal((await log.confirmRead()).kind, "ok");
        assert.equal(log.getStatus().bootCount, 2);
      }
    } finally {
      await group.stop();
    }
  });
}

for (const role of ["leader", "follower"]) {
  // Guards against a partitioned instance that serves outdated state, or whose
  // entries replace committed ones after the partition. Its connections stay
  // open but carry no data, so no connection error reports the partition.
  test(`a ${role} in a network partition is isolated and overwrites nothing`, async () => {
    const group = await ReplicatedLogGroup.start(3);
    try {
      await group.propose("before");
      const partitioned =
        await (role === "leader" ? group.waitForLeader() : getFollower(group));
      group.setConnectionsPaused(partitioned, true);
      await waitForValue(
        () => partitioned.log.getStatus().isolated || undefined,
        "the instance to report itself isolated",
      );
      for (
        const request of [
          partitioned.log.propose(Buffer.from("refused")),
          partitioned.log.confirmRead(),
        ]
      ) {
        assert.deepEqual(await request, {
          kind: "error",
          error: { kind: "isolated" },
        });
      }
      await group.propose("during");
      group.setConnectionsPaused(partitioned, false);
      await group.waitForEqualState();
      assert.deepEqual(partitioned.stateMachine.texts, ["before", "during"]);
    } finally {
      await group.stop();
    }
  });
}

// Guards against an instance that needs more memory to start than it may use,
// because its log is bounded by the number of entries and not by their size.
test("a few large entries are replaced by a snapshot, and the rest is bounded by its size", async () => {
  const snapshotBytes = 500_000;
  const group = await ReplicatedLogGroup.start(3, { snapshotBytes });
  try {
    const large = "x".repeat(60_000);
    for (let index = 0; index < 40; index++) {
      await group.propose(large);
    }
    await group.waitForEqualState();
    for (const instance of [...group.instances]) {
      const { snapshotIndex, lastIndex } = instance.log.getStatus();
      assert.ok((lastIndex - snapshotIndex) * large.length <= snapshotBytes);
      // Those before the snapshot are kept for members that are behind.
      const { size } = statSync(join(instance.dataFolder, "log"));
      assert.ok(size <= 2.5 * snapshotBytes, `${size} bytes`);
      await group.stopInstance(instance);
      const { address, dataFolder } = instance;
      await group.startInstance({ address, dataFolder });
      await group.waitForEqualState();
    }
    for (const { stateMachine } of group.instances) {
      assert.equal(stateMachine.texts.length, 40);
    }
  } finally {
    await group.stop();
  }
});

// Guards against losing entries when a second instance is lost right after the
// replacement of the first, with real files and connections.
test("a lost disk is replaced, and a second loss right after loses nothing", async () => {
  // With these sizes, the snapshot for the new instance has several chunks.
  const group = await ReplicatedLogGroup.start(3, { snapshotEntries: 10 });
  try {
    const large = "x".repeat(60_000);
    for (let index = 0; index < 35; index++) {
      await group.propose(large);
    }
    const lost = await getFollower(group);
    const { address } = lost;
    const { id } = lost.log.getStatus();
    await group.stopInstance(lost);
    const addresses = [address, ...group.instances.map((e) => e.address)];
    const empty = await group.startInstance({
      address,
      initialMembers: addresses,
    });
    await group.propose("while it is empty");
    assert.equal(empty.log.getStatus().role, "unformed");
    const leader = await group.waitForLeader();
    assert.deepEqual(
      await leader.log.changeMembers({ kind: "replace", oldId: id, address }),
      { kind: "ok", value: undefined },
    );
    const second = group.instances.find((each) =>
      each !== leader && each !== empty
    );
    assert.ok(second);
    await group.stopInstance(second);
    await group.propose("after the second loss");
    await group.waitForEqualState();
    assert.equal(empty.stateMachine.texts.length, 37);
    assert.deepEqual(
      empty.log.getStatus().members.map((each) => each.isVoter),
      [true, true, true],
    );
  } finally {
    await group.stop();
  }
});

test("a follower returns the leader address and confirms reads", async () => {
  const group = await ReplicatedLogGroup.start(3);
  try {
    const leader = await group.waitForLeader();
    const follower = await getFollower(group);
    await waitForValue(
      () => follower.log.getStatus().leader,
      "contact of the follower with the leader",
    );
    assert.deepEqual(await follower.log.propose(Buffer.from("x")), {
      kind: "error",
      error: { kind: "not-leader", leaderAddress: leader.address },
    });
    await leader.log.propose(Buffer.from("seen"));
    assert.equal((await follower.log.confirmRead()).kind, "ok");
    assert.deepEqual(follower.stateMachine.texts, ["seen"]);
  } finally {
    await group.stop();
  }
});

// Guards against acknowledging commands that a full disk cannot store.
test("an instance on a full disk refuses commands and reports the error", async () => {
  const group = await ReplicatedLogGroup.start(1);
  try {
    const [first] = group.instances;
    assert.ok(first);
    const { address, dataFolder } = first;
    await group.stopInstance(first);
    const files = createNodeFileSystem(dataFolder);
    let isFull = false;
    const { log } = await group.startInstance({
      address,
      dataFolder,
      files: {
        ...files,
        open: async (name) => {
          const file = await files.open(name);
          return {
            ...file,
            append: (bytes) =>
              isFull
                ? Promise.reject(new Error("ENOSPC: no space left"))
                : file.append(bytes),
          };
        },
      },
    });
    await group.propose("fits");
    isFull = true;
    const unknown = await log.propose(Buffer.from("does not fit"));
    assert.deepEqual(unknown, {
      kind: "error",
      error: { kind: "outcome-unknown" },
    });
    const refused = await log.propose(Buffer.from("refused"));
    assert.equal(
      refused.kind === "error" && refused.error.kind,
      "storage-failed",
    );
    assert.match(log.getStatus().failure ?? "", /ENOSPC: no space left/);
    assert.equal(log.getStatus().isolated, true);
  } finally {
    await group.stop();
  }
});

test("calls with another token are refused", async () => {
  const create = async (token: string | undefined, address: string) =>
    await createGrpcTransport({
      address,
      token,
      log: { info: () => {}, warn: () => {}, error: () => {} },
      receiver: {
        onDeliveryFailed: () => {},
        receive: () => assert.fail("delivered"),
        getIdentity: () => ({ id: "a", groupId: "" }),
      },
    });
  const address = await getFreeAddress();
  const listening = await create("right", address);
  for (const token of ["right", "wrong", "longer than right", undefined]) {
    const caller = await create(token, await getFreeAddress());
    const identity = await caller.identify(address);
    assert.equal(identity?.id, token === "right" ? "a" : undefined);
    await caller.stop();
  }
  await listening.stop();
  await assert.rejects(create(undefined, "0.0.0.0:1"), /needs a token/);
});
