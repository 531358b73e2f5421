// Runs one control instance in its own process, and reports its processor time and
// memory to the parent process for each message received.
import { FakeControlInstance } from "../tests/support/fake_control_instance.ts";
import { createLargeDocument } from "./membership_document.ts";

const instance = new FakeControlInstance({ instanceId: "control-0" });
const document = createLargeDocument();
instance.documents.set("trial", { revision: 1, digest: "1", document });
await instance.listen();
process.send?.({ address: instance.address });
process.on("message", () => {
  const { user, system } = process.cpuUsage();
  process.send?.({
    cpuMicroseconds: user + system,
    residentBytes: process.memoryUsage.rss(),
  });
});
process.on("disconnect", () => process.exit());
