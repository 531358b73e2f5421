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

/** A way from the client to the target. */
export interface LatencyPath {
  readonly name: "direct" | "pass-through" | "one node" | "two nodes";
  readonly port: number;
  /** Id of the process whose use is measured; the first on the way. */
  readonly processId: number;
}

/** The processes of the measurement. */
export interface LatencySetup {
  readonly paths: readonly LatencyPath[];
  stop(): Promise<void>;
}

/** Starts control, two nodes, a pass-through and the target. */
export async function startLatencySetup(): Promise<LatencySetup> {
  const place = { region: "Muntenia", availabilityZone: "muntenia-a" };
  const cluster = await Cluster.start({
    controlCount: 1,
    environment: "trial",
    nodes: [
      { ...place, name: "edge-1", service: "edge", target: {} },
      { ...place, name: "views-1", service: "views" },
    ],
  });
  try {
    return await startRest(cluster);
  } catch (error) {
    await cluster.stop();
    throw error;
  }
}

async function startRest(cluster: Cluster): Promise<LatencySetup> {
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
  const [passPort = 0] = await getFreePorts(1);
  const { processes: group } = cluster;
  const target = group.start("echo", "bench/echo_target.js", {
    arguments: [String(views.targetPort), String(views.loopback)],
  });
  const pass = group.start("pass-through", "bench/pass_through.js", {
    arguments: [String(views.targetPort), String(passPort)],
  });
  const getId = (name: string): number =>
    group.getOrThrow(name).child.pid as number;
  const paths: LatencyPath[] = [
    {
      name: "direct",
      port: views.targetPort,
      processId: target.child.pid as number,
    },
    {
      name: "pass-through",
      port: passPort,
      processId: pass.child.pid as number,
    },
    {
      name: "one node",
      port: views.outside,
      processId: getId("views-1-node"),
    },
    { name: "two nodes", port: edge.outside, processId: getId("edge-1-node") },
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
