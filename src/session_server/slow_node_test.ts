import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { after, test } from "node:test";
import { type EnvironmentDocument, parseDocument } from "../document/mod.ts";
import { startFakeControlInstances } from "../../tests/support/fake_control_instance.ts";
import { getFreePorts } from "../../tests/support/free_ports.ts";
import { SessionNode } from "../../tests/support/session_node.ts";
import { SlowLink } from "../../tests/support/slow_link.ts";
import { waitUntil } from "../../tests/support/wait_until.ts";

const file = "examples/benefits-office.toml";
const parsed = parseDocument(readFileSync(file, "utf8"), file);
assert.ok(parsed.kind === "ok");
const document = parsed.value;

/** Creates a document whose part has more than 80 KB when it is compressed. */
function createLargeDocument(revision: number): EnvironmentDocument {
  const [route] = document.routes;
  assert.ok(route !== undefined);
  return {
    ...document,
    routes: [
      ...document.routes,
      ...Array.from({ length: 2000 }, (_, index) => ({
        ...route,
        service: "balances",
        path: `/${
          createHash("sha256").update(`${revision} ${index}`).digest("hex")
        }`,
      })),
    ],
  };
}

// Guards against a slow node that gets every document late because it gets all.
test("a node behind a slow link gets the newest document and not those before it", async () => {
  const [control] = await startFakeControlInstances(1);
  assert.ok(control !== undefined);
  const [port] = await getFreePorts(1);
  const link = new SlowLink({ target: control.address, delayMilliseconds: 5 });
  const address = `127.0.0.1:${port}`;
  await link.listen(address);
  link.bytesPerSecond = 200_000;
  const lostSessions: unknown[] = [];
  const node = new SessionNode({
    controlAddresses: [address],
    identity: { nodeId: "n1" },
    log: {
      info: () => {},
      warn: (event) => lostSessions.push(event),
      error: () => {},
    },
  });
  after(() => {
    void node.session.stop();
    control.kill();
    link.close();
  });
  await waitUntil(
    () => node.session.getStatus().connected,
    "the node is connected",
  );
  const lastRevision = 30;
  for (let revision = 1; revision <= lastRevision; revision++) {
    control.acceptDocument("trial", {
      revision,
      digest: `d${revision}`,
      document: createLargeDocument(revision),
    });
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  await waitUntil(
    () => node.revisions.includes(lastRevision),
    "the newest revision arrives",
  );
  assert.ok(node.revisions.length <= 5, `got ${node.revisions.join(" ")}`);
  assert.deepEqual(lostSessions, []);
});
