import assert from "node:assert/strict";
import { after, test } from "node:test";
import { Server, ServerCredentials, status } from "@grpc/grpc-js";
import {
  type LedgerBatch,
  type LedgerBatchAnswer,
  type LedgerOperation,
  type LedgerResult,
  LedgerService,
} from "../protocol/generated/ledger.ts";
import { waitUntil } from "../../tests/support/wait_until.ts";
import { LedgerClient } from "./ledger_client.ts";

type Behavior =
  | "answer"
  | "no-answer"
  | "apply-without-answer"
  | "error"
  | "isolated";

/** A ledger server in memory that can refuse batches or lose their answers. */
class TestLedger {
  readonly batches: LedgerBatch[] = [];
  readonly claims = new Map<string, string>();
  readonly server = new Server();
  behavior: Behavior = "answer";
  address = "";

  async listen(): Promise<void> {
    this.server.addService(LedgerService, {
      submit: (
        call: { request: LedgerBatch },
        callback: (error: object | null, answer?: LedgerBatchAnswer) => void,
      ) => {
        this.batches.push(call.request);
        if (this.behavior === "isolated") {
          const refusal = {
            reason: "isolated",
            message: "",
            controlAddresses: [],
          };
          callback(null, { formatVersion: 1, refusal, index: 0, results: [] });
        } else if (this.behavior === "error") {
          callback({ code: status.UNAVAILABLE, details: "test" });
        } else if (this.behavior !== "no-answer") {
          const results = call.request.operations.map((each) =>
            this.#apply(each)
          );
          if (this.behavior === "answer") {
            callback(null, {
              formatVersion: 1,
              refusal: undefined,
              index: this.batches.length,
              results,
            });
          }
        }
      },
    });
    const port = await new Promise<number>((resolve, reject) =>
      this.server.bindAsync(
        "127.0.0.1:0",
        ServerCredentials.createInsecure(),
        (error, bound) => error === null ? resolve(bound) : reject(error),
      )
    );
    this.address = `127.0.0.1:${port}`;
  }

  #apply({ key, operation }: LedgerOperation): LedgerResult {
    if (operation?.$case === "claim") {
      const claimHolder = this.claims.get(key);
      if (claimHolder !== undefined) {
        const denied = { reason: "claim-in-progress", answer: undefined };
        return { result: { $case: "denied", denied } };
      }
      this.claims.set(key, operation.claim.claimId);
      return { result: { $case: "granted", granted: {} } };
    }
    if (operation?.$case === "release") {
      this.claims.delete(key);
    }
    if (operation?.$case === "fence") {
      const state = { status: "absent", answer: undefined, notRun: true };
      return { result: { $case: "state", state } };
    }
    return { result: { $case: "accepted", accepted: {} } };
  }
}

const ledgers: TestLedger[] = [];
const clients: LedgerClient[] = [];
after(() => {
  clients.forEach((each) => each.stop());
  ledgers.forEach((each) => each.server.forceShutdown());
});

async function start(count = 1) {
  const started = Array.from({ length: count }, () => new TestLedger());
  await Promise.all(started.map((each) => each.listen()));
  ledgers.push(...started);
  const client = new LedgerClient({
    environment: "trial",
    nodeId: "n1",
    incarnation: 1,
    getControlAddresses: () => started.map((each) => each.address),
    callTimeoutMilliseconds: 300,
    initialRetryDelayMilliseconds: 20,
  });
  clients.push(client);
  return { client, ledger: started[0] as TestLedger, second: started[1] };
}

function claim(client: LedgerClient, key: string, deadlineMilliseconds = 5000) {
  const claimId = `claim of ${key}`;
  return client.claim({
    service: "s",
    key,
    claimId,
    fingerprint: "f",
    deadlineMilliseconds,
    entryIndex: 0,
  });
}

test("operations that are submitted together are sent in one batch", async () => {
  const { client, ledger } = await start();
  const keys = Array.from({ length: 40 }, (_, index) => `k${index}`);
  const outcomes = await Promise.all(keys.map((key) => claim(client, key)));
  assert.ok(outcomes.every((outcome) => outcome.kind === "granted"));
  assert.equal(ledger.batches.length, 1);
  assert.equal(client.knownIndex, 1);
  client.recordIndex(9);
  client.recordIndex(3);
  assert.equal(client.knownIndex, 9);
  const denied = await claim(client, "k0");
  assert.equal(denied.kind === "denied" && denied.reason, "claim-in-progress");
});

const losses: { behavior: Behavior }[] = [
  { behavior: "no-answer" },
  { behavior: "apply-without-answer" },
  { behavior: "error" },
];
for (const { behavior } of losses) {
  // Guards against a call that is dispatched, or a key that stays claimed, after
  // the answer to the claim was lost.
  test(`a claim without an answer is not granted and is released: ${behavior}`, async () => {
    const { client, ledger } = await start();
    ledger.behavior = behavior;
    assert.deepEqual(await claim(client, "k"), { kind: "unavailable" });
    assert.equal(client.unconfirmedCount, 1);
    ledger.behavior = "answer";
    await waitUntil(
      () => client.unconfirmedCount === 0,
      "the claim is released",
    );
    assert.equal(ledger.claims.size, 0);
    const released = ledger.batches.flatMap((each) => each.operations)
      .some(({ operation }) =>
        operation?.$case === "release" &&
        operation.release.claimId === "claim of k"
      );
    assert.ok(released);
  });
}

test("a refused batch is sent to another instance and needs no release", async () => {
  const { client, ledger, second } = await start(2);
  ledger.behavior = "isolated";
  assert.equal((await claim(client, "k")).kind, "granted");
  assert.equal(second?.claims.get("k"), "claim of k");
  assert.ok(second !== undefined);
  second.behavior = "isolated";
  assert.equal((await claim(client, "k2")).kind, "unavailable");
  assert.equal(client.unconfirmedCount, 0);
});

test("a release and a fence are retried until confirmed", async () => {
  const { client, ledger } = await start();
  await claim(client, "k");
  ledger.behavior = "error";
  const released = client.release({
    service: "s",
    key: "k",
    claimId: "claim of k",
  });
  const fenced = client.fence({
    service: "s",
    key: "k",
    deadlineMilliseconds: 20_000,
  });
  const sent = ledger.batches.length;
  await waitUntil(() => ledger.batches.length >= sent + 3, "both are retried");
  ledger.behavior = "answer";
  await released;
  assert.equal(ledger.claims.size, 0);
  assert.equal((await fenced).kind, "state");
});

test("a claim without remaining time is not sent", async () => {
  const { client, ledger } = await start();
  assert.equal((await claim(client, "k", 0)).kind, "unavailable");
  assert.equal(ledger.batches.length, 0);
  assert.equal(client.unconfirmedCount, 0);
});
