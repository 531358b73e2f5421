import assert from "node:assert/strict";
import { after, test } from "node:test";
import { credentials, Metadata } from "@grpc/grpc-js";
import { createLog, disabledMetrics, failed } from "../common/mod.ts";
import type { ProposeError } from "../consensus/mod.ts";
import {
  type LedgerBatch,
  type LedgerBatchAnswer,
  LedgerClient,
} from "../protocol/generated/ledger.ts";
import { type RunningControl, startControl } from "./control_process.ts";
import { LedgerBatcher, maximumOperationsPerEntry } from "./ledger_batcher.ts";
import { InMemoryReplicatedLog } from "../../tests/support/in_memory_replicated_log.ts";

const running: RunningControl[] = [];
after(() => Promise.all(running.map((each) => each.stop())));

/** Starts an instance; with an error, its log fails every proposal with it. */
async function start(
  error?: ProposeError,
  host = "127.0.0.1",
): Promise<RunningControl> {
  const control = await startControl({
    settings: {
      dataFolder: "",
      listen: { host, port: 0 },
      address: "127.0.0.1:0",
      members: [],
      region: "Muntenia",
      availabilityZone: "muntenia-a",
      stopLimitMilliseconds: 1000,
    },
    token: undefined,
    eventLog: createLog({ write: () => {} }),
    metrics: disabledMetrics,
    openLog: (stateMachine) => {
      const log = new InMemoryReplicatedLog(stateMachine, {
        address: "leader",
      });
      if (error !== undefined) {
        log.propose = () => Promise.resolve(failed(error));
      }
      return log;
    },
  });
  running.push(control);
  return control;
}

function createBatch(count = 1): LedgerBatch {
  const operation = {
    service: "treasury",
    key: "k",
    operation: { $case: "fence" as const, fence: {} },
  };
  return {
    formatVersion: 1,
    environment: "trial",
    nodeId: "n",
    incarnation: 1,
    operations: new Array(count).fill(operation),
  };
}

function submit(port: number, batch: LedgerBatch): Promise<LedgerBatchAnswer> {
  const client = new LedgerClient(
    `127.0.0.1:${port}`,
    credentials.createInsecure(),
  );
  return new Promise<LedgerBatchAnswer>((resolve, reject) =>
    client.submit(
      batch,
      new Metadata(),
      { deadline: Date.now() + 30_000 },
      (error, answer) => error === null ? resolve(answer) : reject(error),
    )
  ).finally(() => client.close());
}

// The leader has no document, so "unknown-environment" shows that its state
// machine answered.
const cases: {
  name: string;
  error?: (leader: number) => ProposeError;
  reason: string;
}[] = [
  { name: "the leader applies a batch itself", reason: "unknown-environment" },
  {
    name: "a follower forwards to the leader",
    error: (port) => ({
      kind: "not-leader",
      leaderAddress: `127.0.0.1:${port}`,
    }),
    reason: "unknown-environment",
  },
  {
    name: "a lost answer of the leader leaves the outcome unknown",
    error: () => ({ kind: "not-leader", leaderAddress: "127.0.0.1:1" }),
    reason: "outcome-unknown",
  },
  {
    name: "an instance that knows no leader refuses",
    error: () => ({ kind: "not-leader" }),
    reason: "not-leader",
  },
  {
    name: "an isolated instance refuses",
    error: () => ({ kind: "isolated" }),
    reason: "isolated",
  },
  {
    name: "an instance that lacks committed entries refuses",
    error: () => ({ kind: "outdated" }),
    reason: "outdated",
  },
  {
    name: "a lost proposal leaves the outcome unknown",
    error: () => ({ kind: "outcome-unknown" }),
    reason: "outcome-unknown",
  },
];

for (const { name, error, reason } of cases) {
  test(`ledger: ${name}`, async () => {
    const leader = await start();
    const { port } = await start(error?.(leader.port));
    const answer = await submit(port, createBatch());
    assert.equal(answer.refusal?.reason, reason);
  });
}

test("a batch of a newer format is refused", async () => {
  const { port } = await start();
  const answer = await submit(port, { ...createBatch(), formatVersion: 2 });
  assert.equal(answer.refusal?.reason, "unsupported-format");
});

test("an instance without a token refuses to listen beyond loopback", async () => {
  await assert.rejects(start(undefined, "0.0.0.0"), /without a token file/);
});

test("batches that arrive together share a log entry, and each gets its own answer", async () => {
  const entries: LedgerBatch[][] = [];
  const batcher = new LedgerBatcher((batches) => {
    entries.push(batches);
    const answers = batches.map(({ nodeId }) => ({
      formatVersion: 1,
      refusal: undefined,
      index: Number(nodeId),
      results: [],
    }));
    return Promise.resolve({
      kind: "ok",
      value: { $case: "ledger", ledger: { answers } },
    });
  });
  const nodes = Array.from({ length: 12 }, (_, index) => index + 1);
  const answers = await Promise.all(nodes.map((node) =>
    batcher.submit({
      ...createBatch(maximumOperationsPerEntry / 10),
      nodeId: `${node}`,
    })
  ));
  assert.deepEqual(answers.map((each) => each.index), nodes);
  assert.deepEqual(entries.map((each) => each.length), [10, 2]);
});
