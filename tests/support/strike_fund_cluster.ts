import { fileURLToPath } from "node:url";
import {
  Cluster,
  type ClusterNode,
  type ClusterNodeOptions,
} from "./cluster.ts";
import { type HttpCall, sendCall, waitFor } from "./http_call.ts";
import { readRuns } from "./run_record.ts";
import type { StandInRun } from "./stand_in_target.ts";

const document = fileURLToPath(
  new URL("../../../examples/strike-fund.toml", import.meta.url),
);
const toRoster = {
  service: "roster-registry",
  method: "GET",
  path: "/rosters/1",
};

/** Settings of {@link startStrikeFund}. */
export interface StrikeFundOptions {
  readonly portals: number;
  readonly treasuries: number;
  /** Service time of the treasury, in milliseconds. */
  readonly treasuryMilliseconds: number;
}

/** What a caller was told about one call. */
export interface Told {
  readonly status: number;
  /** `broken` when the connection broke before a whole response. */
  readonly disposition: "ran" | "not-run" | "unknown" | "broken";
  readonly reason: string;
}

/**
 * Starts three control instances and the strike fund's services without the
 * attendance archive, and waits until calls pass.
 * @param options Numbers of targets and their service time.
 * @returns The running processes.
 */
export async function startStrikeFund(
  options: StrikeFundOptions,
): Promise<Cluster> {
  const cluster = await Cluster.start({
    controlCount: 3,
    environment: "trial",
    nodes: createMembers(options),
  });
  try {
    const applied = await cluster.runCommand(
      "apply",
      "trial",
      document,
      "--base",
      "0",
      "--wait",
    );
    if (applied.code !== 0) {
      throw new Error(applied.output);
    }
    for (const portal of getMembers(cluster, "member-portal")) {
      await waitFor(
        async () => (await sendView(portal)).status === 200,
        20_000,
      );
    }
    return cluster;
  } catch (error) {
    await cluster.stop();
    throw error;
  }
}

/** Gets the members of a service. */
export function getMembers(cluster: Cluster, service: string): ClusterNode[] {
  return cluster.nodes.filter((each) => each.service === service);
}

/** Gets what the targets of a service recorded that they ran. */
export function getRuns(cluster: Cluster, service: string): StandInRun[] {
  return readRuns(
    getMembers(cluster, service).map((each) => each.recordFile),
  );
}

/** Sends a transfer with a key. */
export function sendTransfer(portal: ClusterNode, key: string): Promise<Told> {
  return send({
    port: portal.outside,
    method: "POST",
    path: "/transfers",
    headers: { "idempotency-key": key, "x-member": `m-${key}` },
    body: `amount=5&key=${key}`,
  });
}

/** Sends a balance view. */
export function sendView(
  portal: ClusterNode,
  call: Partial<Pick<HttpCall, "path" | "headers">> = {},
): Promise<Told> {
  return send({ port: portal.outside, path: "/balances/1", ...call });
}

async function send(call: HttpCall): Promise<Told> {
  try {
    const { status, headers } = await sendCall(call);
    const disposition = headers["dogwoodwalk-disposition"] ?? "ran";
    return {
      status,
      disposition: disposition as Told["disposition"],
      reason: String(headers["dogwoodwalk-reason"] ?? ""),
    };
  } catch {
    return { status: 0, disposition: "broken", reason: "" };
  }
}

function createMembers(options: StrikeFundOptions): ClusterNodeOptions[] {
  const place = { region: "Muntenia", availabilityZone: "muntenia-a" };
  const repeat = (
    count: number,
    member: (number: number) => Omit<ClusterNodeOptions, keyof typeof place>,
  ) =>
    Array.from({ length: count }, (_, index) => ({
      ...place,
      ...member(index + 1),
    }));
  return [
    ...repeat(options.portals, (number) => ({
      name: `portal-${number}`,
      service: "member-portal",
      target: {
        slots: 36,
        calls: {
          "/transfers": [
            { service: "treasury", method: "POST", path: "/transfers" },
          ],
          "/balances/": [
            { service: "treasury", method: "GET", path: "/balances/1" },
          ],
        },
      },
    })),
    ...repeat(options.treasuries, (number) => ({
      name: `treasury-${number}`,
      service: "treasury",
      target: {
        slots: 36,
        serviceMilliseconds: options.treasuryMilliseconds,
        calls: { "/": [toRoster] },
      },
    })),
    ...repeat(2, (number) => ({
      name: `roster-${number}`,
      service: "roster-registry",
      target: { slots: 10 },
    })),
  ];
}
