import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Cluster, type ClusterNodeOptions } from "../tests/support/cluster.ts";
import { getFreePorts } from "../tests/support/free_ports.ts";
import { sendCall, waitFor } from "../tests/support/http_call.ts";
import { ProcessGroup } from "../tests/support/process_group.ts";
import type { StandInOptions } from "../tests/support/stand_in_target.ts";
import type { BaselineMode, BaselineOptions } from "./baseline_proxy.ts";

/** What stands beside the targets. */
export type ChainMode = "goodput" | "recovery" | BaselineMode;

/** A running chain of portal, treasury and registry. */
export interface Chain {
  /** Ports for callers. */
  readonly entryPorts: readonly number[];
  setRegistryServiceMilliseconds(milliseconds: number): Promise<void>;
  stop(): Promise<void>;
}

/** Service time of the registry, which bounds the chain, in milliseconds. */
export const registryServiceMilliseconds = 40;
const targetsPerService = 2;
const registrySlots = 10;
/** Whole requests per second that the registry can run. */
export const capacityRequestsPerSecond = targetsPerService * registrySlots *
  1000 /
  registryServiceMilliseconds;

const toRegistry = {
  service: "roster-registry",
  method: "GET",
  path: "/rosters/1",
};
const services: readonly (Omit<StandInOptions, "service"> & {
  readonly service: string;
  readonly slots: number;
})[] = [
  {
    service: "member-portal",
    slots: 36,
    serviceMilliseconds: 2,
    calls: {
      "/transfers": [
        { service: "treasury", method: "POST", path: "/transfers" },
      ],
      "/sheets": [{ service: "treasury", method: "POST", path: "/sheets" }],
      "/balances/": [
        { service: "treasury", method: "GET", path: "/balances/1" },
      ],
    },
  },
  {
    service: "treasury",
    slots: 36,
    serviceMilliseconds: 4,
    calls: { "/": [toRegistry] },
  },
  {
    service: "roster-registry",
    slots: registrySlots,
    serviceMilliseconds: registryServiceMilliseconds,
  },
];

/**
 * Starts the chain and waits until a call passes.
 * @param mode What stands beside the targets.
 * @returns The running chain.
 */
export async function startChain(mode: ChainMode): Promise<Chain> {
  const chain = mode === "goodput" || mode === "recovery"
    ? await startWithNodes(mode)
    : await startWithBaseline(mode);
  for (const port of chain.entryPorts) {
    await waitFor(async () => {
      const view = await sendCall({ port, path: "/balances/1" });
      return view.status === 200;
    }, 20_000);
  }
  return chain;
}

async function startWithNodes(
  objective: "goodput" | "recovery",
): Promise<Chain> {
  const place = { region: "Muntenia", availabilityZone: "muntenia-a" };
  const members = services.flatMap((
    { service, ...target },
  ): ClusterNodeOptions[] =>
    Array.from({ length: targetsPerService }, (_, index) => ({
      ...place,
      name: `${service}-${index + 1}`,
      service,
      target,
    }))
  );
  const cluster = await Cluster.start({
    controlCount: 3,
    environment: "trial",
    nodes: members,
  });
  const folder = mkdtempSync(join(tmpdir(), "dogwoodwalk-overload-"));
  const file = join(folder, "document.toml");
  writeFileSync(file, createDocument(objective));
  const applied = await cluster.runCommand(
    "apply",
    "trial",
    file,
    "--base",
    "0",
    "--wait",
  );
  rmSync(folder, { recursive: true });
  if (applied.code !== 0) {
    await cluster.stop();
    throw new Error(applied.output);
  }
  const getPorts = (service: string, port: "outside" | "targetPort") =>
    cluster.nodes.filter((each) => each.service === service)
      .map((each) => each[port]);
  return {
    entryPorts: getPorts("member-portal", "outside"),
    setRegistryServiceMilliseconds: (milliseconds) =>
      setServiceTime(getPorts("roster-registry", "targetPort"), milliseconds),
    stop: () => cluster.stop(),
  };
}

/** The strike fund's document with sheets that go through the treasury. */
function createDocument(objective: "goodput" | "recovery"): string {
  const text = readFileSync("examples/strike-fund.toml", "utf8")
    .replace('objective = "goodput"', `objective = "${objective}"`)
    .replace('{ service = "attendance-archive" }', '{ service = "treasury" }')
    .replace(
      'service = "attendance-archive"\nmethod',
      'service = "treasury"\nmethod',
    );
  return text;
}

async function startWithBaseline(mode: BaselineMode): Promise<Chain> {
  const group = new ProcessGroup();
  const ports = await getFreePorts(services.length * targetsPerService * 3);
  const inbound: Record<string, number[]> = {};
  const targetPorts: Record<string, number[]> = {};
  const instances = services.flatMap((service) =>
    Array.from({ length: targetsPerService }, () => {
      const [inboundPort, outboundPort, targetPort] = ports.splice(0, 3) as [
        number,
        number,
        number,
      ];
      (inbound[service.service] ??= []).push(inboundPort);
      (targetPorts[service.service] ??= []).push(targetPort);
      return { service, inboundPort, outboundPort, targetPort };
    })
  );
  for (const [index, instance] of instances.entries()) {
    const { service, ...its } = instance;
    const options: BaselineOptions = {
      mode,
      ...its,
      slots: service.slots,
      services: inbound,
    };
    const proxy = group.start(`proxy-${index}`, "bench/baseline_proxy.js", {
      arguments: [JSON.stringify(options)],
    });
    await waitFor(() => proxy.outputLines.includes("listening"));
    group.start(`target-${index}`, "tests/support/stand_in_process.js", {
      arguments: [JSON.stringify({
        ...service,
        nodePort: its.outboundPort,
        port: its.targetPort,
      })],
    });
  }
  return {
    entryPorts: inbound["member-portal"] ?? [],
    setRegistryServiceMilliseconds: (milliseconds) =>
      setServiceTime(targetPorts["roster-registry"] ?? [], milliseconds),
    stop: () => group.stopAll(),
  };
}

async function setServiceTime(
  ports: readonly number[],
  serviceMilliseconds: number,
): Promise<void> {
  await Promise.all(ports.map((port) =>
    sendCall({
      port,
      method: "POST",
      path: "/stand-in/behavior",
      body: JSON.stringify({ serviceMilliseconds }),
    })
  ));
}
