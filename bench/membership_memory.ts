// Measures the heap memory per known target. Requires `node --expose-gc`.
import {
  Directory,
  type DirectoryBatch,
  type KnownTarget,
  type TargetRecord,
  toKnownTarget,
  ViewCopy,
} from "../src/membership/mod.ts";
import { TargetRecord as WireTarget } from "../src/protocol/generated/session.ts";

/**
 * Creates a target that was decoded from a message, so that it shares no strings
 * with other targets.
 */
export function createReceivedTarget(number: number): KnownTarget {
  const service = `service-${number % 10}-${number % 17}`;
  const record: TargetRecord = {
    targetId: `${service}-target-${number}`,
    environment: "production",
    service,
    region: `region-${number % 8}`,
    availabilityZone: `region-${number % 8}-zone-${number % 25}`,
    nodeAddress: `10.1.${number >> 8}.${number & 255}:7001`,
    incarnation: 1_700_000_000_000 + number,
    sequence: 1_700_000_100_000 + number,
    state: "ready",
    ageMilliseconds: 1000,
    nodeId: `${service}-node-${number}`,
    drainedIncarnation: 0,
  };
  const arrived = WireTarget.decode(WireTarget.encode(record).finish());
  return toKnownTarget({ ...arrived, state: "ready" }, 0);
}

function getHeapBytes(): number {
  for (let time = 0; time < 5; time++) {
    globalThis.gc?.();
  }
  return process.memoryUsage().heapUsed;
}

function fillDirectory(count: number): Directory {
  const directory = new Directory({
    instanceId: "a",
    boot: 1,
    now: 0,
    getPeers: () => ["b"],
  });
  const targets = Array.from(
    { length: count },
    (_, number) => createReceivedTarget(number),
  );
  const batch: DirectoryBatch = {
    instanceId: "b",
    boot: 1,
    counter: 1,
    collecting: false,
    targets,
    nodes: targets.map((target) => ({
      nodeId: target.nodeId,
      environment: target.environment,
      service: target.service,
      region: target.region,
      availabilityZone: target.availabilityZone,
      nodeAddress: target.nodeAddress,
      incarnation: target.incarnation,
      sessionSequence: 1,
      update: 0,
      revision: 1,
      admissionLevel: 0,
      state: "connected",
    })),
    buckets: [],
    digests: [],
  };
  directory.mergeBatch(batch, 0);
  return directory;
}

function fillViews(count: number): ViewCopy[] {
  return Array.from({ length: Math.ceil(count / 32) }, (_, view) => {
    const copy = new ViewCopy();
    copy.apply({
      full: true,
      changed: Array.from(
        { length: Math.min(32, count - view * 32) },
        (_, index) => createReceivedTarget(view * 32 + index),
      ),
      removedTargetIds: [],
      digest: "",
      collecting: false,
    });
    return copy;
  });
}

// Keeps the measured objects reachable until the heap has been measured.
const retained: unknown[] = [];

if (process.argv[2] === "measure") {
  const rows = [];
  for (const count of [100, 1000, 10_000]) {
    const row: Record<string, number> = { targets: count };
    for (
      const [name, fill] of [
        ["control bytes per target", fillDirectory],
        ["node bytes per target", fillViews],
      ] as const
    ) {
      retained.push(fill(count));
      const before = getHeapBytes();
      retained.push(fill(count));
      row[name] = Math.round((getHeapBytes() - before) / count);
      retained.length = 0;
    }
    rows.push(row);
  }
  process.send?.(rows);
  process.disconnect?.();
}
