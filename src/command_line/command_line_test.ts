import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";
import { credentials } from "@grpc/grpc-js";
import { createClientInterceptor, Token } from "../authentication/mod.ts";
import { createLog, disabledMetrics } from "../common/mod.ts";
import { type RunningControl, startControl } from "../control/mod.ts";
import { SessionClient } from "../protocol/generated/session.ts";
import { InMemoryReplicatedLog } from "../../tests/support/in_memory_replicated_log.ts";
import { SessionNode } from "../../tests/support/session_node.ts";
import { waitUntil } from "../../tests/support/wait_until.ts";
import { runCommandLine } from "./command_line.ts";

const folder = mkdtempSync(join(tmpdir(), "dogwoodwalk-"));
const secret = "correct-horse-battery";
const running: RunningControl[] = [];
const sessions: SessionNode[] = [];
after(async () => {
  await Promise.all(sessions.map((each) => each.session.stop()));
  await Promise.all(running.map((each) => each.stop()));
  rmSync(folder, { recursive: true });
});

const document = readFileSync("examples/strike-fund.toml", "utf8");

async function startInstance(token?: Token): Promise<number> {
  const control = await startControl({
    settings: {
      dataFolder: folder,
      listen: { host: "127.0.0.1", port: 0 },
      address: "127.0.0.1:0",
      members: ["127.0.0.1:0"],
      region: "Muntenia",
      availabilityZone: "muntenia-a",
      stopLimitMilliseconds: 1000,
    },
    token,
    eventLog: createLog({ write: () => {} }),
    metrics: disabledMetrics,
    openLog: (stateMachine) =>
      new InMemoryReplicatedLog(stateMachine, { address: "127.0.0.1:0" }),
  });
  running.push(control);
  return control.port;
}

function write(name: string, text: string): string {
  const file = join(folder, name);
  writeFileSync(file, text);
  return file;
}

const token = write("token", secret);
const wrongToken = write("wrong", "another-secret-of-ours");
const first = write("first.toml", document);
const second = write("second.toml", document.replace("0.5", "0.4"));
const broken = write(
  "broken.toml",
  document.replace("slots = 36", 'slots = "x"'),
);
const port = await startInstance(new Token(secret));

async function run(line: string): Promise<{ code: number; text: string }> {
  let text = "";
  const write = (each: string) => {
    text += each;
  };
  const code = await runCommandLine(
    [
      ...line.split(" "),
      ...`--control 127.0.0.1:1,127.0.0.1:${port} --operator ana`.split(" "),
      ...(line.includes("--token-file") ? [] : ["--token-file", token]),
    ],
    { writeOutput: write, writeError: write, isTerminal: false },
  );
  return { code, text };
}

// The steps share the state of one control group, in this order.
const steps = [
  { line: `validate ${first}`, code: 0, text: /no findings/ },
  { line: `validate ${broken}`, code: 2, text: /broken\.toml:18: services/ },
  { line: `apply trial ${broken} --base 0`, code: 2, text: /broken\.toml:18/ },
  { line: `apply mars ${first} --base 0`, code: 2, text: /trial, production/ },
  { line: "history mars", code: 2, text: /trial, production/ },
  {
    line: `apply trial ${first} --base 0 --change-id ${"x".repeat(101)}`,
    code: 2,
    text: /invalid-request/,
  },
  { line: `apply trial missing --base 0`, code: 2, text: /missing: ENOENT/ },
  { line: `apply trial ${first}`, code: 2, text: /--base <revision>/ },
  {
    line: `apply trial ${first} --base 0 --change-id a`,
    code: 0,
    text: /trial revision 1 accepted/,
  },
  {
    line: `apply trial ${first} --base 0 --change-id a`,
    code: 0,
    text: /trial revision 1 accepted/,
  },
  { line: `apply trial ${second} --base 1`, code: 0, text: /revision 2/ },
  {
    line: `apply trial ${first} --base 1`,
    code: 3,
    text: /revision 2 by ana[^]*-caller_share = 0\.5\n\+caller_share = 0\.4/,
  },
  {
    line: `apply trial ${second} --base 0 --change-id a`,
    code: 2,
    text: /change-id-reused/,
  },
  { line: "diff trial", code: 0, text: /\+caller_share = 0\.4/ },
  { line: "history trial --json", code: 0, text: /"operator": "ana"/ },
  { line: "promote 2 --base 0", code: 2, text: /not-in-force/ },
  { line: "status", code: 0, text: /trial: revision 2, in force none/ },
  { line: "drain trial t1", code: 2, text: /unknown-target/ },
  { line: "quarantine list trial", code: 0, text: /nothing in quarantine/ },
  { line: "quarantine clear trial", code: 2, text: /a fingerprint or --all/ },
  {
    line: `status --token-file ${wrongToken}`,
    code: 1,
    text: /unauthenticated/,
  },
];

for (const { line, code, text } of steps) {
  test(`${line.replaceAll(folder, "")} exits with ${code}`, async () => {
    const result = await run(line);
    assert.match(result.text, text);
    assert.equal(result.code, code);
    assert.ok(!result.text.includes(secret), "the token was printed");
  });
}

test("apply --wait names the nodes that are behind and exits with 5", async () => {
  const client = new SessionClient(
    `127.0.0.1:${port}`,
    credentials.createInsecure(),
    { interceptors: [createClientInterceptor(new Token(secret))] },
  );
  const stream = client.open();
  stream.on("error", () => {});
  const answered = new Promise((resolve) => stream.once("data", resolve));
  stream.write({
    formatVersion: 1,
    message: {
      $case: "hello",
      hello: {
        environment: "trial",
        nodeId: "portal-1",
        incarnation: 1,
        region: "Muntenia",
        availabilityZone: "muntenia-a",
        service: "member-portal",
        revision: 2,
        nodeAddress: "127.0.0.1:9",
        sessionSequence: 1,
        viewDigests: [],
        partHash: "",
        acceptsIsolated: false,
      },
    },
  });
  await answered;
  const line = `apply trial ${first} --base 2 --wait --wait-seconds 0.1`;
  const { code, text } = await run(line);
  assert.match(text, /portal-1 +member-portal +revision 2 +reachable/);
  assert.equal(code, 5);
  stream.write({ formatVersion: 1, message: { $case: "leave", leave: {} } });
  await new Promise((resolve) => stream.once("end", resolve));
  client.close();
});

test("a revision on all live nodes is marked and can be promoted", async () => {
  const node = new SessionNode({
    controlAddresses: [`127.0.0.1:${port}`],
    identity: { nodeId: "portal-2", service: "member-portal" },
    interceptors: [createClientInterceptor(new Token(secret))],
  });
  sessions.push(node);
  await waitUntil(() => node.revisions.includes(3), "the node has revision 3");
  const applied = await run(`apply trial ${second} --base 3 --wait`);
  assert.match(applied.text, /in force on all 1 live nodes/);
  let text = "";
  for (let left = 100; left > 0 && !text.includes("in force 4"); left--) {
    text = (await run("status")).text;
  }
  const promoted = await run("promote 4 --base 0");
  assert.match(promoted.text, /production revision 1 accepted/);
  const diff = await run(`diff production ${second}`);
  assert.match(diff.text, /no differences/);
});

test("drain reaches the node of the target", async () => {
  const [node] = sessions;
  node?.announce("ready");
  let text = "";
  for (let left = 100; left > 0 && !text.includes("portal-2-target"); left--) {
    text = (await run("status")).text;
  }
  const { code } = await run("drain trial portal-2-target");
  assert.equal(code, 0);
  await waitUntil(
    () => node?.drainRequests.includes("portal-2-target") === true,
    "the node is asked to drain",
  );
});

test("a request that crashed a target alone is quarantined until cleared", async () => {
  const [node] = sessions;
  node?.session.reportCrash({
    reportId: "r1",
    targetId: "portal-2-target",
    fingerprints: ["f00d"],
    wasAlone: true,
  });
  const isTold = (count: number) => () =>
    node?.suspects.at(-1)?.quarantined.length === count;
  await waitUntil(isTold(1), "the node is told of the quarantine");
  assert.match((await run("quarantine list trial")).text, /f00d/);
  const cleared = await run("quarantine clear trial f00d");
  assert.match(cleared.text, /1 removed/);
  await waitUntil(isTold(0), "the node is told that it was cleared");
});

test("no instance in reach exits with 4 and shows the change id", async () => {
  let text = "";
  const write = (each: string) => {
    text += each;
  };
  const line = `apply trial ${first} --base 0 --control 127.0.0.1:1`;
  const code = await runCommandLine(
    [...line.split(" "), "--timeout", "0.3"],
    { writeOutput: write, writeError: write, isTerminal: false },
  );
  assert.match(text, /--change-id [0-9a-f-]{36}/);
  assert.equal(code, 4);
});
