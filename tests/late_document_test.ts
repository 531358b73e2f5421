import assert from "node:assert/strict";
import { after, test } from "node:test";
import { ControlGroup, type ControlProcess } from "./support/control_group.ts";
import { NodeProcesses } from "./support/node_processes.ts";
import { waitUntil } from "./support/wait_until.ts";

const groups: ControlGroup[] = [];
const nodes = new NodeProcesses();
after(async () => {
  await nodes.stop();
  await Promise.all(groups.map((each) => each.stop()));
});

async function applyDocument(
  group: ControlGroup,
  options: { instance: ControlProcess; base: number },
): Promise<void> {
  const { code, text } = await group.runCommand(
    `apply trial examples/strike-fund.toml --base ${options.base}`,
    { addresses: [options.instance.listenAddress] },
  );
  assert.equal(code, 0, text);
}

// Guards against an instance that passes for current as soon as it hears from the
// others again, whatever it has missed.
test(
  "a node gets no older document from an instance that hears the others only at times",
  async () => {
    const group = await ControlGroup.start(3, {
      link: { delayMilliseconds: 1 },
    });
    groups.push(group);
    const leader = await group.waitForLeader();
    const index = group.instances.findIndex((each) => each !== leader);
    const behind = group.instances[index];
    const link = group.links[index];
    assert.ok(behind !== undefined && link !== undefined);
    await applyDocument(group, { instance: leader, base: 0 });
    // The instance can still reach the others, whose responses arrive.
    link.isCut = true;
    await waitUntil(
      () => behind.getLog().includes("availability=isolated"),
      "the instance knows that it is isolated",
    );
    await applyDocument(group, { instance: leader, base: 1 });
    const node = await nodes.start([behind.listenAddress]);
    const seen = new Set<number>();
    await waitUntil(() => {
      seen.add(node.getRevision());
      return node.getRevision() > 0;
    }, "the node has a document");
    assert.deepEqual([...seen], [0, 2]);
  },
);
