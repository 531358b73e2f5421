import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { type handleUnaryCall, Server, ServerCredentials } from "@grpc/grpc-js";
import {
  OperatorService,
  type StatusAnswer,
} from "../protocol/generated/operator.ts";
import { ControlConnection } from "./control_connection.ts";

const { getStatus } = OperatorService;

/** Starts an instance that answers a call, and gets its address. */
async function startInstance(
  context: TestContext,
  answer: Partial<StatusAnswer>,
): Promise<string> {
  const server = new Server();
  const handler: handleUnaryCall<unknown, unknown> = (_, callback) =>
    callback(null, { formatVersion: 1, environments: [], ...answer });
  server.addService({ getStatus }, { getStatus: handler });
  const port = await new Promise<number>((resolve) =>
    server.bindAsync(
      "127.0.0.1:0",
      ServerCredentials.createInsecure(),
      (_, bound) => resolve(bound),
    )
  );
  context.after(() => server.forceShutdown());
  return `127.0.0.1:${port}`;
}

for (const reason of ["storage-failed", "isolated", "outdated", "stopping"]) {
  // Guards against a command that fails because of the state of one instance.
  test(`a call that one instance refuses with ${reason} goes to another`, async (context) => {
    const refusal = { reason, message: "", controlAddresses: [] };
    const connection = new ControlConnection({
      addresses: [
        await startInstance(context, { refusal }),
        await startInstance(context, {}),
      ],
      interceptors: [],
      timeoutMilliseconds: 5000,
    });
    context.after(() => connection.close());
    const response = await connection.call(getStatus, { formatVersion: 1 });
    assert.ok(response.kind === "ok");
    assert.equal(response.value.refusal, undefined);
  });
}
