import assert from "node:assert/strict";
import { test } from "node:test";
import { deflateRawSync } from "node:zlib";
import { ScriptedSessionServer } from "../../tests/support/scripted_session_server.ts";
import { SessionNode } from "../../tests/support/session_node.ts";
import { waitUntil } from "../../tests/support/wait_until.ts";
import { getBytesHash } from "../common/mod.ts";
import type { DocumentUpdate } from "../protocol/generated/session.ts";

const part = Buffer.from("a part of a document");
const intact: DocumentUpdate = {
  revision: 2,
  digest: "",
  sourceVersion: 0,
  part: deflateRawSync(part),
  partHash: getBytesHash(part),
};

const attempts: {
  readonly name: string;
  /** Document of the first session. */
  readonly first: DocumentUpdate;
  /** Whether the node fails when it applies the first document. */
  readonly failsToApply?: boolean;
}[] = [
  {
    name: "refers to a part that the node lacks",
    first: { ...intact, part: Buffer.alloc(0) },
  },
  {
    name: "has other bytes than its hash",
    first: { ...intact, part: deflateRawSync(Buffer.from("other")) },
  },
  {
    name: "has bytes that are not compressed",
    first: { ...intact, part: Buffer.from([255, 255, 255]) },
  },
  {
    name: "the node failed to apply",
    first: intact,
    failsToApply: true,
  },
];

for (const { name, first, failsToApply } of attempts) {
  // Guards against a node that keeps an old document because it believes that it has the new one.
  test(`a node gets a document again that ${name}`, async (context) => {
    const server = new ScriptedSessionServer({
      statedRevision: intact.revision,
      getDocument: (session) => session === 1 ? first : intact,
    });
    const address = await server.listen();
    const node = new SessionNode({
      controlAddresses: [address],
      identity: { nodeId: "n1" },
      jitterMilliseconds: 10,
      ...(failsToApply && {
        onDocument: ({ revision, part }) => {
          if (server.sessionCount === 1) {
            throw new Error("a fault of the node");
          }
          node.revisions.push(revision);
          node.documentPart = part;
        },
      }),
    });
    context.after(async () => {
      server.stop();
      await node.session.stop();
    });
    await waitUntil(() => node.revisions.length > 0, "the document arrives");
    assert.deepEqual(node.revisions, [2]);
    assert.deepEqual(Buffer.from(node.documentPart ?? []), part);
    assert.equal(server.sessionCount, 2);
  });
}
