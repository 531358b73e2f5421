import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { Cluster, type ClusterNode } from "../tests/support/cluster.ts";
import { sendCall, waitFor } from "../tests/support/http_call.ts";
import { getFreePorts } from "../tests/support/free_ports.ts";

const document = `format = 1
objective = "goodput"
classes = ["high", "low"]
caller_header = "x-member"
caller_share = 1.0

[services.edge]
slots = 64
connections = 300

[services.views]
slots = 64
connections = 300
warm_up_ms = 0

[[routes]]
service = "edge"
method = "*"
path = "/edge/*"
class = "low"
idempotent = true
deadline_ms = 4000
attempt_allowance = 8
calls = [{ service = "views" }]

[[routes]]
service = "views"
method = "*"
path = "/views/*"
class = "low"
idempotent = true
deadline_ms = 4000
attempt_allowance = 8
`;

/** A path from the client to the target. */
export interface LatencyPath {
  readonly name: "direct" | "pass-through" | "one node" | "two nodes";
  readonly port: number;
  /**
   * Id of the first process on the path, whose processor time and memory are
   * measured.
   */
  readonly processId: number;
}

/** The running processes of the measurement. */
export interface LatencySetup {
  readonly paths: readonly LatencyPath[];
  stop(): Promise<void>;
}

/** Starts a control instance, two nodes, a pass-through proxy and the target. */
export async function startLatencySetup(): Promise<LatencySetup> {
  const locality = { region: "Muntenia", availabilityZone: "muntenia-a" };
  const cluster = await Cluster.start({
    controlCount: 1,
    environment: "trial",
    nodes: [
      { ...locality, name: "edge-1", service: "edge", target: {} },
      { ...locality, name: "views-1", service: "views" },
    ],
  });
  try {
    return await startLatencyPaths(cluster);
  } catch (error) {
    await cluster.stop();
    throw error;
  }
}

async function startLatencyPaths(cluster: Cluster): Promise<LatencySetup> {
  const [edge, views] = cluster.nodes as [ClusterNode, ClusterNode];
  const file = join(cluster.folder, "document.toml");
  writeFileSync(file, document);
  const applied = await cluster.runCommand(
    "apply",
    "trial",
    file,
    "--base",
    "0",
  );
  if (applied.code !== 0) {
    throw new Error(applied.output);
  }
  const [passThroughPort = 0] = await getFreePorts(1);
  const { processes } = cluster;
  const target = processes.start("echo", "bench/echo_target.js", {
    arguments: [String(views.targetPort), String(views.loopback)],
  });
  const passThrough = processes.start("pass-through", "bench/pass_through.js", {
    arguments: [String(views.targetPort), String(passThroughPort)],
  });
  const getProcessId = (name: string): number =>
    processes.getOrThrow(name).child.pid as number;
  const paths: LatencyPath[] = [
    {
      name: "direct",
      port: views.targetPort,
      processId: target.child.pid as number,
    },
    {
      name: "pass-through",
      port: passThroughPort,
      processId: passThrough.child.pid as number,
    },
    {
      name: "one node",
      port: views.outside,
      processId: getProcessId("views-1-node"),
    },
    {
      name: "two nodes",
      port: edge.outside,
      processId: getProcessId("edge-1-node"),
    },
  ];
  for (const path of paths) {
    await waitFor(async () => {
      const response = await sendCall({
        port: path.port,
        path: "/views/1",
        headers: { host: "views" },
      }).catch(() => undefined);
      return response?.status === 200;
    }, 20_000);
  }
  return { paths, stop: () => cluster.stop() };
}
