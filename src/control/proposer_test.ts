import assert from "node:assert/strict";
import { after, test } from "node:test";
import { Server, ServerCredentials } from "@grpc/grpc-js";
import {
  ControlCommand,
  type ForwardServer,
  ForwardService,
} from "../protocol/generated/control.ts";
import { formatVersion } from "./control_state_machine.ts";
import { Proposer } from "./proposer.ts";

const responseMilliseconds = 1500;

/** Starts a leader that takes a while to respond, as one behind a long link. */
async function startSlowLeader(): Promise<string> {
  const server = new Server({
    "grpc.max_receive_message_length": 4 * 1024 * 1024,
  });
  const service: ForwardServer = {
    propose: (_call, callback) => {
      setTimeout(
        () =>
          callback(null, {
            formatVersion,
            refusal: undefined,
            result: Buffer.alloc(0),
          }),
        responseMilliseconds,
      );
    },
  };
  server.addService(ForwardService, service);
  after(() => server.forceShutdown());
  const port = await new Promise<number>((resolve, reject) =>
    server.bindAsync(
      "127.0.0.1:0",
      ServerCredentials.createInsecure(),
      (error, bound) => error === null ? resolve(bound) : reject(error),
    )
  );
  return `127.0.0.1:${port}`;
}

function createCommand(bytes: number): ControlCommand["command"] {
  return {
    $case: "applyDocument",
    applyDocument: {
      environment: "trial",
      baseRevision: 0,
      bytes: Buffer.alloc(bytes),
      changeId: "c1",
      operator: "ana",
      ledgerLimits: undefined,
    },
  };
}

const cases = [
  { name: "a small command", bytes: 100, expected: "outcome-unknown" },
  { name: "a large document", bytes: 1024 * 1024, expected: "ok" },
];

// Guards against a deadline that a large document cannot meet over a long link.
for (const { name, bytes, expected } of cases) {
  test(`the result of ${name} that takes 1.5 s is ${expected}`, async () => {
    const leaderAddress = await startSlowLeader();
    const proposer = new Proposer({
      log: {
        propose: () =>
          Promise.resolve({
            kind: "error",
            error: { kind: "not-leader", leaderAddress },
          }),
      },
      address: "127.0.0.1:1",
      interceptors: [],
    });
    after(() => proposer.stop(0));
    const result = await proposer.propose(createCommand(bytes));
    assert.equal(
      result.kind === "ok" ? result.kind : result.error.reason,
      expected,
    );
  });
}
