// Runs the sessions of many nodes in one process, and reports to the parent process
// what they receive.
import { SessionNode } from "../tests/support/session_node.ts";

/** Sessions to run, passed by the parent process as a JSON argument. */
export interface SessionsOptions {
  readonly controlAddresses: readonly string[];
  readonly count: number;
  readonly prefix: string;
  readonly service: string;
  /** Service whose view is observed. */
  readonly watched: string;
  readonly hasTargets: boolean;
}

/** Message to the parent process. */
export type SessionsReport =
  | { readonly kind: "connected"; readonly at: number }
  | {
    readonly kind: "draining";
    readonly targetId: string;
    readonly at: number;
  }
  | {
    readonly kind: "revision";
    readonly revision: number;
    readonly at: number;
  }
  | {
    readonly kind: "usage";
    readonly cpuMicroseconds: number;
    readonly residentBytes: number;
    readonly connected: number;
    /** Smallest size of the observed view since the previous usage report. */
    readonly fewest: number;
  };

const options = JSON.parse(process.argv[2] ?? "{}") as SessionsOptions;
const localities = [
  ["Puget", "puget-a"],
  ["Puget", "puget-b"],
  ["Willamette", "willamette-a"],
  ["Willamette", "willamette-b"],
  ["Inland", "inland-a"],
  ["Inland", "inland-b"],
] as const;
const sentReportKeys = new Set<string>();

function send(report: SessionsReport): void {
  process.send?.(report);
}

function reportOnce(key: string, report: SessionsReport): void {
  if (!sentReportKeys.has(key)) {
    sentReportKeys.add(key);
    send(report);
  }
}

function reportProgress(): void {
  const at = Date.now();
  if (nodes.every(({ session }) => session.getStatus().connected)) {
    reportOnce("connected", { kind: "connected", at });
  }
  const lowest = Math.min(...nodes.map((each) => each.revisions.at(-1) ?? 0));
  if (lowest > 0) {
    reportOnce(`revision ${lowest}`, {
      kind: "revision",
      revision: lowest,
      at,
    });
  }
  for (const target of nodes[0]?.views.get(options.watched) ?? []) {
    const { targetId } = target;
    if (
      target.state === "draining" &&
      nodes.every((node) =>
        node.getStates(options.watched)[targetId] === "draining"
      )
    ) {
      reportOnce(`draining ${targetId}`, { kind: "draining", targetId, at });
    }
  }
}

const nodes = Array.from({ length: options.count }, (_, index) => {
  const [region, availabilityZone] = localities[index % localities.length] ??
    localities[0];
  return new SessionNode({
    controlAddresses: options.controlAddresses,
    identity: {
      nodeId: `${options.prefix}${index}`,
      service: options.service,
      region,
      availabilityZone,
    },
  });
});
if (options.hasTargets) {
  nodes.forEach((node) => node.announce("ready"));
}
if (process.argv[3] !== "no-checks") {
  setInterval(reportProgress, 10);
}
process.on("message", (message: string) => {
  if (message === "usage") {
    const { user, system } = process.cpuUsage();
    send({
      kind: "usage",
      cpuMicroseconds: user + system,
      residentBytes: process.memoryUsage.rss(),
      connected: nodes.filter(({ session }) => session.getStatus().connected)
        .length,
      fewest: Math.min(
        ...nodes.map((node) =>
          node.minimumTargetCounts.get(options.watched) ?? Infinity
        ),
      ),
    });
    nodes.forEach((node) => node.minimumTargetCounts.clear());
  } else if (message.startsWith("drain ")) {
    nodes[Number(message.slice(6))]?.announce("draining");
  } else if (message === "restart") {
    nodes[0]?.announce("left");
    nodes[0]?.announce("ready", 2);
  }
});
process.on("disconnect", () => process.exit());
