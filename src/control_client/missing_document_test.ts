import assert from "node:assert/strict";
import { test } from "node:test";
import { deflateRawSync } from "node:zlib";
import { ScriptedSessionServer } from "../../tests/support/scripted_session_server.ts";
import { SessionNode } from "../../tests/support/session_node.ts";
import { waitUntil } from "../../tests/support/wait_until.ts";
import { getBytesHash } from "../common/mod.ts";

const part = Buffer.from("a part of a document");
const revision = 2;
const document = {
  revision,
  digest: "",
  sourceVersion: 0,
  part: deflateRawSync(part),
  partHash: getBytesHash(part),
};

// Guards against a node that knows of a newer document and waits for it without end.
test("a node leaves an instance that states a newer document and does not send it", async (context) => {
  const options = { statedRevision: revision };
  const silent = new ScriptedSessionServer({
    ...options,
    getDocument: () => undefined,
  });
  const sound = new ScriptedSessionServer({
    ...options,
    getDocument: () => document,
  });
  const addresses = [await silent.listen(), await sound.listen()];
  const node = new SessionNode({
    controlAddresses: addresses.slice(0, 1),
    identity: { nodeId: "n1" },
    renewalIntervalMilliseconds: 200,
    jitterMilliseconds: 10,
  });
  context.after(async () => {
    silent.stop();
    sound.stop();
    await node.session.stop();
  });
  await waitUntil(() => silent.sessionCount > 0, "the node has a session");
  node.session.setControlAddresses(addresses);
  await waitUntil(() => node.revisions.length > 0, "the document arrives");
  assert.deepEqual(node.revisions, [revision]);
});
