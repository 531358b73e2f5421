import { fileURLToPath } from "node:url";
import { Cluster, type ClusterNodeOptions } from "../tests/support/cluster.ts";
import { sendCall, waitFor } from "../tests/support/http_call.ts";
import { collectFleetCounters } from "./fleet_counters.ts";
import { DemoLoad } from "./demo_load.ts";
import { formatResultTable } from "./demo_table.ts";

/**
 * Calls per second of all classes. Each one reaches roster-registry, which can
 * complete about half of them while it is slow.
 */
const callsPerSecond = 300;
const normalMilliseconds = 4000;
const overloadMilliseconds = 5000;
const recoveryMilliseconds = 5000;
/** Time after which the demo is aborted. It must end within 45 s. */
const timeLimitMilliseconds = 42_000;

const document = fileURLToPath(
  new URL("../../examples/strike-fund.toml", import.meta.url),
);

const zones = ["muntenia-a", "muntenia-b"];
const rosterCall = { service: "roster-registry", method: "GET" };
const nodes = zones.flatMap((availabilityZone, index): ClusterNodeOptions[] => {
  const locality = { region: "Muntenia", availabilityZone };
  return [
    {
      ...locality,
      name: `portal-${index + 1}`,
      service: "member-portal",
      target: {
        slots: 36,
        serviceMilliseconds: 2,
        calls: {
          "/transfers": [
            { service: "treasury", method: "POST", path: "/transfers" },
          ],
          "/sheets": [
            { service: "attendance-archive", method: "POST", path: "/sheets" },
          ],
          "/balances/": [
            { service: "treasury", method: "GET", path: "/balances/1" },
          ],
        },
      },
    },
    {
      ...locality,
      name: `treasury-${index + 1}`,
      service: "treasury",
      target: {
        slots: 36,
        serviceMilliseconds: 2,
        calls: { "/": [{ ...rosterCall, path: "/rosters/1" }] },
      },
    },
    {
      ...locality,
      name: `archive-${index + 1}`,
      service: "attendance-archive",
      target: {
        slots: 36,
        serviceMilliseconds: 2,
        calls: { "/": [{ ...rosterCall, path: "/rosters/2" }] },
      },
    },
    {
      ...locality,
      name: `roster-${index + 1}`,
      service: "roster-registry",
      target: { slots: 10, serviceMilliseconds: 5 },
    },
  ];
});

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function run(cluster: Cluster): Promise<void> {
  printLine(
    `Started 3 control instances, ${nodes.length} nodes and targets.`,
  );
  const applied = await cluster.runCommand(
    "apply",
    cluster.environment,
    document,
    "--base",
    "0",
    "--wait",
  );
  printLine(applied.output);
  if (applied.code !== 0) {
    throw new Error(`apply ended with code ${applied.code}`);
  }
  const portals = cluster.nodes.filter((each) =>
    each.service === "member-portal"
  );
  await waitForRoutes(portals.map((each) => each.outside));
  const load = new DemoLoad({
    ports: portals.map((each) => each.outside),
    callsPerSecond,
  });
  printLine(`Sending ${callsPerSecond} calls/s of all classes.`);
  load.start();
  await sleep(normalMilliseconds);
  printLine("Slowing roster-registry down from 5 ms to 120 ms.");
  await setRosterServiceTime(cluster, 120);
  await sleep(overloadMilliseconds);
  printLine("roster-registry is back to 5 ms.");
  await setRosterServiceTime(cluster, 5);
  await sleep(recoveryMilliseconds);
  await load.stop();
  const fleet = await collectFleetCounters(cluster.nodes);
  printLine("");
  printLine(formatResultTable(load.getResults(), fleet));
  const repeated = [...fleet.repeated.values()].reduce((a, b) => a + b, 0);
  if (repeated > 0) {
    throw new Error(`${repeated} transfers ran more than once`);
  }
}

/** Waits until balance views and sheets succeed through each portal. */
async function waitForRoutes(ports: readonly number[]): Promise<void> {
  for (const port of ports) {
    await waitFor(async () => {
      const view = await sendCall({ port, path: "/balances/1" });
      const sheet = await sendCall({ port, method: "POST", path: "/sheets" });
      return view.status === 200 && sheet.status === 200;
    }, 15_000);
  }
}

async function setRosterServiceTime(
  cluster: Cluster,
  serviceMilliseconds: number,
): Promise<void> {
  const rosters = cluster.nodes.filter((each) =>
    each.service === "roster-registry"
  );
  await Promise.all(rosters.map((each) =>
    sendCall({
      port: each.targetPort,
      method: "POST",
      path: "/stand-in/behavior",
      body: JSON.stringify({ serviceMilliseconds }),
    })
  ));
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

const started = performance.now();
const timer = setTimeout(() => {
  process.stderr.write(
    `The demo took longer than ${timeLimitMilliseconds} ms\n`,
  );
  // The process group kills its processes when this process exits.
  process.exit(1);
}, timeLimitMilliseconds);
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(1));
}
const cluster = await Cluster.start({
  controlCount: 3,
  environment: "trial",
  nodes,
});
try {
  await run(cluster);
} catch (error) {
  process.exitCode = 1;
  printLine(`The demo failed: ${(error as Error).message}`);
} finally {
  await cluster.stop();
  clearTimeout(timer);
}
const seconds = (performance.now() - started) / 1000;
printLine(`Stopped everything after ${seconds.toFixed(1)} s.`);
