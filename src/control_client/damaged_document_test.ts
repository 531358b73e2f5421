import assert from "node:assert/strict";
import { test } from "node:test";
import { deflateRawSync } from "node:zlib";
import {
  Server,
  ServerCredentials,
  type ServerDuplexStream,
} from "@grpc/grpc-js";
import { SessionNode } from "../../tests/support/session_node.ts";
import { waitUntil } from "../../tests/support/wait_until.ts";
import { getBytesHash } from "../common/mod.ts";
import { formatVersion } from "../protocol/format_version.ts";
import {
  type ControlMessage,
  type DocumentUpdate,
  type NodeMessage,
  type RenewAnswer,
  SessionService,
} from "../protocol/generated/session.ts";

const part = Buffer.from("a part of a document");
const renewAnswer: RenewAnswer = {
  sequence: 0,
  leaseMilliseconds: 10_000,
  ledgerIndex: 0,
  linkShares: [],
  revision: 2,
  controlAddresses: [],
  hasAllRecords: false,
};
const intact: DocumentUpdate = {
  revision: 2,
  digest: "",
  sourceVersion: 0,
  part: deflateRawSync(part),
  partHash: getBytesHash(part),
};

const damages: { name: string; update: Partial<DocumentUpdate> }[] = [
  {
    name: "refers to a part that the node lacks",
    update: { part: Buffer.alloc(0) },
  },
  {
    name: "has other bytes than its hash",
    update: { part: deflateRawSync(Buffer.from("other")) },
  },
  {
    name: "has bytes that are not compressed",
    update: { part: Buffer.from([255, 255, 255]) },
  },
];

for (const { name, update } of damages) {
  // Guards against a node that keeps an old document because it believes that the new one comes.
  test(`a node gets a document again that ${name}`, async (context) => {
    const server = new Server();
    let sessions = 0;
    server.addService(SessionService, {
      open: (stream: ServerDuplexStream<NodeMessage, ControlMessage>) => {
        stream.on("data", ({ message }: NodeMessage) => {
          if (message?.$case === "renew") {
            const { sequence } = message.renew;
            stream.write({
              formatVersion,
              message: {
                $case: "renewAnswer",
                renewAnswer: { ...renewAnswer, sequence },
              },
            });
          }
          if (message?.$case !== "hello") {
            return;
          }
          sessions++;
          const document = sessions === 1 ? { ...intact, ...update } : intact;
          const messages: ControlMessage["message"][] = [
            { $case: "renewAnswer", renewAnswer },
            { $case: "document", document },
          ];
          for (const message of messages) {
            stream.write({ formatVersion, message });
          }
        });
        stream.on("error", () => {});
      },
    });
    const port = await new Promise<number>((resolve, reject) =>
      server.bindAsync(
        "127.0.0.1:0",
        ServerCredentials.createInsecure(),
        (error, bound) => error === null ? resolve(bound) : reject(error),
      )
    );
    const node = new SessionNode({
      controlAddresses: [`127.0.0.1:${port}`],
      identity: { nodeId: "n1" },
      jitterMilliseconds: 10,
    });
    context.after(async () => {
      server.forceShutdown();
      await node.session.stop();
    });
    await waitUntil(() => node.revisions.length > 0, "the document arrives");
    assert.deepEqual(node.revisions, [2]);
    assert.deepEqual(Buffer.from(node.documentPart ?? []), part);
    assert.equal(sessions, 2);
  });
}
