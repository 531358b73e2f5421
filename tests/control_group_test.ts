import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";
import { ControlGroup } from "./support/control_group.ts";

const folder = mkdtempSync(join(tmpdir(), "dogwoodwalk-"));
const groups: ControlGroup[] = [];
after(async () => {
  await Promise.all(groups.map((each) => each.stop()));
  rmSync(folder, { recursive: true });
});

const document = readFileSync("examples/strike-fund.toml", "utf8");

/** Writes a document that differs from the others by the number in a comment. */
function writeDocument(number: number): string {
  const file = join(folder, `${number}.toml`);
  writeFileSync(file, `${document}# ${number}\n`);
  return file;
}

async function getRevisions(group: ControlGroup, addresses?: string[]) {
  const { text } = await group.runCommand(
    "history trial --json --limit 100",
    addresses === undefined ? {} : { addresses },
  );
  return JSON.parse(text).revisions as { revision: number; digest: string }[];
}

test("exactly one of three concurrent changes to a base is accepted, even when the leader is killed", async () => {
  const group = await ControlGroup.start(3);
  groups.push(group);
  const acceptedDigests = new Map<number, string>();
  for (let base = 0; base < 6; base++) {
    const leader = base === 3 ? await group.waitForLeader() : undefined;
    const changes = [1, 2, 3].map((operator) =>
      group.runCommand(
        `apply trial ${
          writeDocument(base * 10 + operator)
        } --base ${base} --operator o${operator} --json`,
      )
    );
    await leader?.stop("SIGKILL");
    const results = await Promise.all(changes);
    const successes = results.filter((each) => each.code === 0);
    assert.equal(successes.length, 1, JSON.stringify(results));
    assert.equal(results.filter((each) => each.code === 3).length, 2);
    acceptedDigests.set(
      base + 1,
      JSON.parse(successes[0]?.text ?? "{}").digest,
    );
  }
  for (const { revision, digest } of await getRevisions(group)) {
    assert.equal(digest, acceptedDigests.get(revision), `revision ${revision}`);
  }
});

test("no revision is lost when an instance is replaced and the leader is then killed", async () => {
  const group = await ControlGroup.start(3);
  groups.push(group);
  for (let base = 0; base < 3; base++) {
    const file = writeDocument(100 + base);
    const { code, text } = await group.runCommand(
      `apply trial ${file} --base ${base}`,
    );
    assert.equal(code, 0, text);
  }
  const leader = await group.waitForLeader();
  const [lost, kept] = group.instances.filter((each) => each !== leader);
  await lost?.stop("SIGKILL");
  const spare = await group.startSpare();
  const replaced = await group.runCommand(
    `control replace ${lost?.address} ${spare.address}`,
  );
  assert.equal(replaced.code, 0, replaced.text);
  assert.ok(replaced.text.includes(spare.address));
  assert.ok(!replaced.text.includes(`${lost?.address}`));
  await leader.stop("SIGKILL");
  const addresses = [spare.address, `${kept?.address}`];
  const file = writeDocument(103);
  const applied = await group.runCommand(`apply trial ${file} --base 3`, {
    addresses,
  });
  assert.equal(applied.code, 0, applied.text);
  const revisions = await getRevisions(group, addresses);
  assert.deepEqual(revisions.map((each) => each.revision), [4, 3, 2, 1]);
});

test("an instance that lost its disk is replaced at its own address", async () => {
  const group = await ControlGroup.start(3);
  groups.push(group);
  const file = writeDocument(300);
  assert.equal(
    (await group.runCommand(`apply trial ${file} --base 0`)).code,
    0,
  );
  const leader = await group.waitForLeader();
  const [lost, kept] = group.instances.filter((each) => each !== leader);
  await lost?.stop("SIGKILL");
  await lost?.restartWithEmptyDisk();
  const replaced = await group.runCommand(
    `control replace ${lost?.address} ${lost?.address}`,
    { addresses: [leader.address, `${kept?.address}`] },
  );
  assert.equal(replaced.code, 0, replaced.text);
  await kept?.stop("SIGKILL");
  const addresses = [leader.address, `${lost?.address}`];
  const next = writeDocument(301);
  const applied = await group.runCommand(`apply trial ${next} --base 1`, {
    addresses,
  });
  assert.equal(applied.code, 0, applied.text);
  assert.equal((await getRevisions(group, addresses)).length, 2);
});

test("an instance exits with 0 on SIGTERM and has its revisions after a restart", async () => {
  const group = await ControlGroup.start(1);
  groups.push(group);
  const file = writeDocument(200);
  assert.equal(
    (await group.runCommand(`apply trial ${file} --base 0`)).code,
    0,
  );
  const [instance] = group.instances;
  assert.equal(await instance?.stop("SIGTERM"), 0);
  instance?.start();
  assert.equal((await getRevisions(group)).length, 1);
});
