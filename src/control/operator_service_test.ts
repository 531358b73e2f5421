import assert from "node:assert/strict";
import { test } from "node:test";
import type { ServerUnaryCall } from "@grpc/grpc-js";
import type {
  ReplaceAnswer,
  ReplaceRequest,
} from "../protocol/generated/operator.ts";
import {
  createOperatorService,
  type OperatorServiceOptions,
} from "./operator_service.ts";

// Guards against invalid-request for a member that an instance does not know yet.
test("an isolated instance does not say who is a member", async () => {
  const log = {
    confirmRead: () =>
      Promise.resolve({ kind: "error", error: { kind: "isolated" } }),
    getStatus: () => ({ members: [] }),
  };
  const service = createOperatorService(
    { log } as unknown as OperatorServiceOptions,
  );
  const request = { formatVersion: 1, oldAddress: "a:1", newAddress: "b:1" };
  const answer = await new Promise<ReplaceAnswer | null | undefined>(
    (resolve) =>
      service.replaceInstance(
        { request } as ServerUnaryCall<
          ReplaceRequest,
          ReplaceAnswer
        >,
        (_, value) => resolve(value),
      ),
  );
  assert.equal(answer?.refusal?.reason, "isolated");
});
