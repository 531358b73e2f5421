import assert from "node:assert/strict";
import { after, test } from "node:test";
import { FakeControlInstance } from "../../tests/support/fake_control_instance.ts";
import { getFreePorts } from "../../tests/support/free_ports.ts";
import { waitUntil } from "../../tests/support/wait_until.ts";
import { createLog, systemClock } from "../common/mod.ts";
import { Directory } from "../membership/mod.ts";
import { InstanceExchange } from "./instance_exchange.ts";

/** Limit of the queue for one peer. */
const queuedReports = 1000;

test("crash reports that are dropped for a silent instance are logged and counted", async () => {
  const [port] = await getFreePorts(1);
  assert.ok(port !== undefined);
  const peer = { instanceId: "control-1", address: `127.0.0.1:${port}` };
  const lines: string[] = [];
  const exchange = new InstanceExchange({
    boot: 1,
    directory: new Directory({
      instanceId: "control-0",
      boot: 1,
      now: systemClock.monotonicMilliseconds(),
      getPeers: () => [peer.instanceId],
    }),
    clock: systemClock,
    log: createLog({ write: (line) => lines.push(line) }),
    interceptors: [],
    getPeers: () => [peer],
    getLinkDemand: () => ({ boot: 1, zeroThrough: 0, rounds: [] }),
  });
  after(() => exchange.stop());
  const getDropped = () =>
    lines.filter((line) => line.includes(`event="crash reports dropped"`))
      .map((line) => /dropped=(\d+)/.exec(line)?.[1]);
  for (let index = 0; index < queuedReports + 3; index++) {
    exchange.addCrashNews({
      environment: "trial",
      news: {
        $case: "report",
        report: {
          reportId: `n1-1-${index}`,
          targetId: "n1",
          fingerprints: [`f${index}`],
          wasAlone: false,
        },
      },
    });
  }
  assert.deepEqual(getDropped(), ["1"]);
  const control = new FakeControlInstance({ instanceId: peer.instanceId });
  after(() => control.kill());
  await control.listen(port);
  await waitUntil(() => getDropped().length === 2, "the instance answers");
  assert.deepEqual(getDropped(), ["1", "3"]);
  assert.equal(control.crashReports.length, queuedReports);
});
