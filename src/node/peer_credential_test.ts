import assert from "node:assert/strict";
import { test } from "node:test";
import { sendCall } from "../../tests/support/http_call.ts";
import { connectPairs, startPair } from "../../tests/support/test_pair.ts";
import { PeerCredential } from "./peer_credential.ts";

const credential = new PeerCredential("a secret of some length");

const cases = [
  { name: "the same token", value: credential.value, isValid: true },
  { name: "no header", value: undefined, isValid: false },
  { name: "an empty header", value: "", isValid: false },
  {
    name: "another token",
    value: new PeerCredential("another secret").value,
    isValid: false,
  },
];

for (const { name, value, isValid } of cases) {
  test(`a node listener with a token ${isValid ? "accepts" : "refuses"} calls with ${name}`, async (context) => {
    assert.equal(credential.isValid(value), isValid);
    const back = await startPair("back-1", {
      service: "back",
      peerCredential: credential,
    });
    context.after(() => back.close());
    const response = await sendCall({
      port: back.node.node.port,
      path: "/views/1",
      headers: value === undefined ? {} : { "dogwoodwalk-peer": value },
    });
    const message = JSON.parse(response.body).error.message as string;
    assert.equal(message.includes("dogwoodwalk-peer"), !isValid, message);
    assert.equal(back.target.runs.length, 0);
  });
}

test("nodes with the same token pass calls to each other", async (context) => {
  const options = { peerCredential: credential };
  const pairs = [
    await startPair("front-1", {
      ...options,
      calls: {
        "/views": [{ service: "back", method: "GET", path: "/views/1" }],
      },
    }),
    await startPair("back-1", { ...options, service: "back" }),
  ];
  context.after(() => Promise.all(pairs.map((each) => each.close())));
  connectPairs(pairs);
  const response = await sendCall({
    port: pairs[0]?.outside ?? 0,
    path: "/views/1",
  });
  assert.equal(response.status, 200, response.body);
  assert.equal(pairs[1]?.target.runs.length, 1);
});
