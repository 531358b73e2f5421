import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { after, test } from "node:test";
import { Server, ServerCredentials } from "@grpc/grpc-js";
import { createLog, systemClock } from "../common/mod.ts";
import { parseDocument } from "../document/mod.ts";
import { SessionNode } from "../../tests/support/session_node.ts";
import { waitUntil } from "../../tests/support/wait_until.ts";
import { addSessionServices, type ControlHost } from "./mod.ts";

const file = "examples/benefits-office.toml";
const parsed = parseDocument(readFileSync(file, "utf8"), file);
assert.equal(parsed.kind, "ok");
const document = parsed.kind === "ok" ? parsed.value : undefined;

test("a control process is served: documents, shares, quarantine, isolation, stop", async () => {
  assert.ok(document !== undefined);
  let listener: (environment: string | undefined) => void = () => {};
  let revision = 1;
  let isIsolated = false;
  const quarantined: string[] = [];
  const requests: string[] = [];
  const control: ControlHost = {
    address: "control",
    getAcceptedDocument: () => ({ revision, digest: "d", document }),
    getQuarantined: () => quarantined,
    isIsolated: () => isIsolated,
    getLedgerIndex: () => 7,
    getControlAddresses: () => ["control"],
    subscribe: (each) => listener = each,
    quarantine: ({ fingerprint }) => {
      requests.push(fingerprint);
      if (requests.length > 1) {
        quarantined.push(fingerprint);
        listener("trial");
      }
      // The first try fails, as it does without a majority.
      return Promise.resolve(requests.length > 1);
    },
  };
  const server = new Server();
  const services = addSessionServices(server, control, {
    boot: 1,
    clock: systemClock,
    log: createLog({ write: () => {} }),
    createCrashRules: () => ({
      onReport: (report) =>
        report.wasAlone
          ? { suspects: [], quarantined: report.fingerprints }
          : { suspects: report.fingerprints, quarantined: [] },
      onCleared: () => {},
    }),
  });
  const port = await new Promise<number>((resolve) =>
    server.bindAsync(
      "127.0.0.1:0",
      ServerCredentials.createInsecure(),
      (_, bound) => resolve(bound),
    )
  );
  let ledgerIndex = 0;
  const node = new SessionNode({
    controlAddresses: [`127.0.0.1:${port}`],
    identity: { nodeId: "n1" },
    onLedgerIndex: (index) => ledgerIndex = index,
  });
  after(() => {
    void node.session.stop();
    server.forceShutdown();
  });
  node.announce("ready");
  await waitUntil(() => node.revisions.includes(1), "revision 1 arrives");
  await waitUntil(() => ledgerIndex === 7, "the ledger index arrives");
  await waitUntil(
    () =>
      node.shares.some((each) =>
        each.fromRegion === "Puget" && each.bytesPerSecond > 0
      ),
    "link shares arrive",
  );
  revision = 2;
  listener("trial");
  await waitUntil(() => node.revisions.includes(2), "revision 2 is pushed");
  const crash = { targetId: "n1-target", fingerprints: ["f"] };
  node.session.reportCrash({ ...crash, reportId: "1", wasAlone: false });
  await waitUntil(
    () => node.suspects.some((each) => each.suspects.includes("f")),
    "f is a suspect",
  );
  node.session.reportCrash({ ...crash, reportId: "2", wasAlone: true });
  await waitUntil(
    () => node.suspects.some((each) => each.quarantined.includes("f")),
    "f is quarantined",
  );
  assert.deepEqual(requests, ["f", "f"]);
  // An isolated instance must not give out a document as current.
  isIsolated = true;
  await new Promise((resolve) => setTimeout(resolve, 300));
  revision = 3;
  listener("trial");
  const late = new SessionNode({
    controlAddresses: [`127.0.0.1:${port}`],
    identity: { nodeId: "n2" },
  });
  after(() => void late.session.stop());
  await waitUntil(
    () => late.session.getStatus().connected,
    "the last resort is accepted",
  );
  assert.deepEqual([node.revisions, late.revisions], [[1, 2], []]);
  isIsolated = false;
  await waitUntil(
    () => late.revisions.includes(3) && node.revisions.includes(3),
    "it catches up",
  );
  await services.stop();
});
