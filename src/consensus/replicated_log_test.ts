import assert from "node:assert/strict";
import { test } from "node:test";
import { LogGroup } from "../../tests/support/log_group.ts";

for (const size of [1, 3]) {
  test(`a group of ${size} commits, restarts and keeps every entry`, async () => {
    const group = await LogGroup.start(size);
    try {
      const leader = await group.getLeader();
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
      for (const { machine, log } of group.instances) {
        assert.equal(machine.texts.length, 101);
        assert.equal((await log.confirmRead()).kind, "ok");
        assert.equal(log.getStatus().bootCount, 2);
      }
    } finally {
      await group.stop();
    }
  });
}
