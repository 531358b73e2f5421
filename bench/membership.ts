// Measures network traffic, processor time and memory that membership costs a
// node and a control instance, and the time until drains and revisions reach all
// sessions. Run it under a lock, so that no other measurement runs meanwhile:
//   npm run build && flock <lock file> node dist/bench/membership.js [part ...]
// Parts: node, control, exchange, spread, memory, subsets and transport.
import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { deflateRawSync } from "node:zlib";
import { encodeDocumentPart, getDocumentPart } from "../src/document/mod.ts";
import { Directory, type DirectoryBatch } from "../src/membership/mod.ts";
import { ExchangeBatch } from "../src/protocol/generated/exchange.ts";
import { createWireBatch, parseWireBatch } from "../src/session_server/mod.ts";
import {
  type FakeControlInstance,
  startFakeControlInstances,
} from "../tests/support/fake_control_instance.ts";
import { TcpProxy } from "../tests/support/tcp_proxy.ts";
import { waitUntil } from "../tests/support/wait_until.ts";
import { createLargeDocument, getServiceName } from "./membership_document.ts";
import { measureSubsets, measureTransport } from "./membership_alternatives.ts";
import { createReceivedTarget } from "./membership_memory.ts";
import type { SessionsOptions, SessionsReport } from "./membership_sessions.ts";

const children: ChildProcess[] = [];
const secondsPerDay = 86_400;
// Ethernet, IP and TCP headers of a segment. Segments that carry only an
// acknowledgement are not counted.
const headerBytes = 66;
const caller = getServiceName(7, 0);
const callee = getServiceName(8, 0);

function getScriptPath(name: string): string {
  return fileURLToPath(new URL(`./${name}.js`, import.meta.url));
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** A process that runs the sessions of many nodes. */
class SessionsProcess {
  readonly child: ChildProcess;
  readonly reports: SessionsReport[] = [];

  constructor(request: SessionsOptions, options: string[] = []) {
    this.child = fork(getScriptPath("membership_sessions"), [
      JSON.stringify(request),
      ...options,
    ]);
    this.child.on(
      "message",
      (report) => this.reports.push(report as SessionsReport),
    );
    children.push(this.child);
  }

  async getUsage(): Promise<SessionsReport & { kind: "usage" }> {
    const count = this.reports.length;
    this.child.send("usage");
    const find = () =>
      this.reports.slice(count).find((each) => each.kind === "usage");
    await waitUntil(
      () => find() !== undefined,
      "the sessions report their usage",
    );
    return find() as SessionsReport & { kind: "usage" };
  }

  find<Kind extends SessionsReport["kind"]>(
    kind: Kind,
    matches: (report: SessionsReport & { kind: Kind }) => boolean = () => true,
  ): (SessionsReport & { kind: Kind }) | undefined {
    return this.reports.find((each): each is SessionsReport & { kind: Kind } =>
      each.kind === kind && matches(each as SessionsReport & { kind: Kind })
    );
  }
}

async function measureNode(): Promise<void> {
  const instances = await startFakeControlInstances(1);
  const [control] = instances as [FakeControlInstance];
  control.acceptDocument("trial", {
    revision: 1,
    digest: "1",
    document: createLargeDocument(),
  });
  const targets = new SessionsProcess({
    controlAddresses: [control.address],
    count: 40,
    prefix: "callee-",
    service: callee,
    watched: callee,
    hasTargets: true,
  });
  await waitUntil(
    () => control.sessionHost.getTargets("trial").length === 40,
    "all targets are known",
  );
  await waitUntil(
    () => !control.sessionHost.isCollecting(),
    "the instance is ready",
  );
  const proxy = new TcpProxy(control.address);
  await proxy.listen();
  const node = new SessionsProcess({
    controlAddresses: [proxy.address],
    count: 1,
    prefix: "caller-",
    service: caller,
    watched: callee,
    hasTargets: true,
  }, ["no-checks"]);
  await sleep(8000);
  const measure = async (milliseconds: number) => {
    const before = {
      sent: proxy.sentBytes,
      received: proxy.receivedBytes,
      segments: proxy.chunkCount,
      usage: await node.getUsage(),
    };
    await sleep(milliseconds);
    const usage = await node.getUsage();
    return {
      up: proxy.receivedBytes - before.received,
      down: proxy.sentBytes - before.sent,
      segments: proxy.chunkCount - before.segments,
      cpu: usage.cpuMicroseconds - before.usage.cpuMicroseconds,
      resident: usage.residentBytes,
    };
  };
  const idle = await measure(40_000);
  const renewals = 20;
  const measureEventBytes = async (action: () => void) => {
    const bytes = await measureEvent(measure, action);
    // Subtracts the bytes of the renewals that were sent meanwhile.
    return Math.max(bytes - (idle.up + idle.down) / renewals, 0);
  };
  let revision = 1;
  const changedPartBytes = await measureEventBytes(() =>
    control.acceptDocument("trial", {
      revision: ++revision,
      digest: `${revision}`,
      document: createLargeDocument(revision),
    })
  );
  const unchangedPartBytes = await measureEventBytes(() =>
    control.acceptDocument("trial", {
      revision: ++revision,
      digest: `${revision}`,
      document: createLargeDocument(2),
    })
  );
  const drainBytes = await measureEventBytes(() =>
    targets.child.send("drain 0")
  );
  const restartBytes = await measureEventBytes(() =>
    targets.child.send("restart")
  );
  const parts = [0, 5, 9].map((layer) => {
    const encoded = encodeDocumentPart(
      getDocumentPart(createLargeDocument(), getServiceName(layer, 0)),
    );
    return {
      layer,
      "part bytes": encoded.length,
      "sent bytes": deflateRawSync(encoded).length,
    };
  });
  const largestPartBytes = parts[0]?.["sent bytes"] ?? 0;
  const renewalBytesPerSecond =
    (idle.up + idle.down + idle.segments * headerBytes) / 40;
  // Upper bounds: every change of the document alters the largest part, and every
  // target that restarts is in the node's view.
  const documentBytesPerSecond = 2100 * (largestPartBytes + 3 * headerBytes) /
    secondsPerDay;
  const restartBytesPerSecond = 1900 *
    (drainBytes + restartBytes + 6 * headerBytes) /
    secondsPerDay;
  console.log(
    "Node: renewals (1 node, 40 s), bytes without and with headers of 66 bytes a segment",
  );
  console.table({
    "up bytes/s": idle.up / 40,
    "down bytes/s": idle.down / 40,
    "with headers bytes/s": Math.round(renewalBytesPerSecond),
    "processor time, % of a core": Number((idle.cpu / 40e6 * 100).toFixed(3)),
    "resident MB of the process": Math.round(idle.resident / 1e6),
  });
  console.log(
    "Node: bytes per event (control to node and back, without headers)",
  );
  console.table({
    "document change, part changed (layer 7)": changedPartBytes,
    "document change, part unchanged": unchangedPartBytes,
    "target drained": drainBytes,
    "target left and ready again": restartBytes,
  });
  console.log("Document of 170 services: part by layer");
  console.table(parts);
  console.log(
    "Node: all control traffic at 2100 changes and 1900 restarts a day (limit 3000 bytes/s)",
  );
  console.table({
    "renewals bytes/s": Math.round(renewalBytesPerSecond),
    "documents bytes/s (all alter the largest part)": Math.round(
      documentBytesPerSecond,
    ),
    "restarts bytes/s (all are in view)": Math.round(restartBytesPerSecond),
    "sum bytes/s": Math.round(
      renewalBytesPerSecond + documentBytesPerSecond + restartBytesPerSecond,
    ),
  });
  proxy.close();
  instances.forEach((each) => each.kill());
  [targets, node].forEach((each) => each.child.disconnect());
}

async function measureEvent(
  measure: (milliseconds: number) => Promise<{ up: number; down: number }>,
  action: () => void,
): Promise<number> {
  const measured = measure(2000);
  await sleep(100);
  action();
  const { up, down } = await measured;
  return up + down;
}

async function measureControl(): Promise<void> {
  const child = fork(getScriptPath("membership_control"));
  children.push(child);
  const receiveMessage = () =>
    new Promise<Record<string, number> & { address: string }>((resolve) => {
      child.once("message", (message) => resolve(message as never));
    });
  const { address } = await receiveMessage();
  const groups = [0, 1, 2].map((number) =>
    new SessionsProcess({
      controlAddresses: [address],
      count: 100,
      prefix: `group-${number}-`,
      service: caller,
      watched: caller,
      hasTargets: true,
    }, ["no-checks"])
  );
  await sleep(14_000);
  const getUsage = () => {
    const response = receiveMessage();
    child.send("usage");
    return response;
  };
  const before = await getUsage();
  const clients = await Promise.all(groups.map((each) => each.getUsage()));
  const seconds = 30;
  await sleep(seconds * 1000);
  const after = await getUsage();
  const clientsAfter = await Promise.all(groups.map((each) => each.getUsage()));
  const renewals = 300 * seconds / 2;
  const control = (after.cpuMicroseconds ?? 0) - (before.cpuMicroseconds ?? 0);
  const nodes = clientsAfter.reduce(
    (sum, each, index) =>
      sum + each.cpuMicroseconds - (clients[index]?.cpuMicroseconds ?? 0),
    0,
  );
  // Each session renews every 2 s: 443 and 3100 renewals a second below.
  console.log("Control instance: 300 sessions, 30 s");
  console.table({
    "processor time per renewal, microseconds": Math.round(control / renewals),
    "% of a core at 886 sessions": Number(
      (control / renewals * 443 / 1e4).toFixed(2),
    ),
    "% of a core at 6200 sessions": Number(
      (control / renewals * 3100 / 1e4).toFixed(2),
    ),
    "resident MB": Math.round((after.residentBytes ?? 0) / 1e6),
    "node side per renewal, microseconds (100 sessions a process)": Math.round(
      nodes / renewals,
    ),
  });
  child.disconnect();
  groups.forEach((each) => each.child.disconnect());
}

function measureExchange(): void {
  const names = Array.from({ length: 7 }, (_, index) => `c${index}`);
  const receiver = new Directory({
    instanceId: "c0",
    boot: 1,
    now: 0,
    getPeers: () => names.slice(1),
  });
  const senders = names.slice(1).map((instanceId) =>
    new Directory({
      instanceId,
      boot: 1,
      now: 0,
      getPeers: () => names.filter((each) => each !== instanceId),
    })
  );
  const recordsPerSender = Math.ceil(6200 / 7);
  let bytes = 0;
  let records = 0;
  let requestedBuckets = 0;
  let encodeMilliseconds = 0;
  let mergeMilliseconds = 0;
  const send = (batch: DirectoryBatch, now: number) => {
    let start = performance.now();
    const encoded = ExchangeBatch.encode(
      createWireBatch(batch, { crashNews: [], now }),
    ).finish();
    encodeMilliseconds += performance.now() - start;
    bytes += encoded.length;
    records += batch.targets.length + batch.nodes.length;
    start = performance.now();
    requestedBuckets += receiver.mergeBatch(
      parseWireBatch(ExchangeBatch.decode(encoded), now),
      now,
    ).length;
    mergeMilliseconds += performance.now() - start;
  };
  const change = (now: number) =>
    senders.forEach((sender, index) => {
      for (let number = 0; number < recordsPerSender; number++) {
        const received = createReceivedTarget(
          index * recordsPerSender + number,
        );
        const nodeKey = `${received.environment}\0${received.nodeId}`;
        sender.openLease({
          ...received,
          sessionSequence: now,
          update: 0,
          revision: 1,
          admissionLevel: 0,
          state: "connected",
        }, now);
        sender.announce({ nodeKey, sessionSequence: now }, {
          target: { ...received, sequence: received.sequence + now },
          now,
        });
      }
      send(
        sender.createBatch({
          ...sender.takeOwnChanges(),
          requestedBuckets: [],
          hasDigests: false,
        }, now),
        now,
      );
    });
  change(1);
  [bytes, records, encodeMilliseconds, mergeMilliseconds] = [0, 0, 0, 0];
  for (let now = 2; now < 12; now++) {
    change(now);
  }
  const record = {
    encode: encodeMilliseconds / records,
    merge: mergeMilliseconds / records,
    bytes: bytes / records,
  };
  [bytes, encodeMilliseconds, mergeMilliseconds, requestedBuckets] = [
    0,
    0,
    0,
    0,
  ];
  const rounds = 200;
  for (let now = 12; now < 12 + rounds; now++) {
    senders.forEach((sender) =>
      send(
        sender.createBatch({
          targets: [],
          nodes: [],
          requestedBuckets: [],
          hasDigests: true,
        }, now),
        now,
      )
    );
  }
  const batches = rounds * senders.length;
  console.log(
    "Exchange: 6200 nodes over 7 instances, one receiver, in one process, without gRPC",
  );
  console.table({
    "encoding, microseconds per record": Number(
      (record.encode * 1000).toFixed(2),
    ),
    "decoding and merging, microseconds per record": Number(
      (record.merge * 1000).toFixed(2),
    ),
    "bytes per record": Math.round(record.bytes),
    "digest batch: sender, microseconds": Math.round(
      encodeMilliseconds / batches * 1000,
    ),
    "digest batch: receiver, microseconds": Math.round(
      mergeMilliseconds / batches * 1000,
    ),
    "digest batch: bytes": Math.round(bytes / batches),
    "buckets that did not match": requestedBuckets,
  });
}

async function measurePropagation(): Promise<void> {
  const instances = await startFakeControlInstances(7);
  const document = createLargeDocument();
  instances.forEach((each) =>
    each.acceptDocument("trial", { revision: 1, digest: "1", document })
  );
  const controlAddresses = instances.map((each) => each.address);
  const targets = new SessionsProcess({
    controlAddresses,
    count: 12,
    prefix: "callee-",
    service: callee,
    watched: callee,
    hasTargets: true,
  });
  const groups = [0, 1, 2].map((number) =>
    new SessionsProcess({
      controlAddresses,
      count: 100,
      prefix: `group-${number}-`,
      service: caller,
      watched: callee,
      hasTargets: true,
    })
  );
  const all = [targets, ...groups];
  const start = Date.now();
  await waitUntil(
    () => all.every((each) => each.find("connected")),
    "all sessions connect",
  );
  const connected =
    Math.max(...all.map((each) => each.find("connected")?.at ?? 0)) - start;
  await waitUntil(
    () =>
      instances.every(({ sessionHost }) =>
        !sessionHost.isCollecting() &&
        sessionHost.getTargets("trial").length === 312
      ),
    "all instances know all targets",
  );
  const drains: number[] = [];
  for (let number = 0; number < 10; number++) {
    const at = Date.now();
    const targetId = `callee-${number}-target`;
    targets.child.send(`drain ${number}`);
    const find = (each: SessionsProcess) =>
      each.find("draining", (report) => report.targetId === targetId);
    await waitUntil(() => groups.every(find), "all sessions receive the drain");
    drains.push(Math.max(...groups.map((each) => find(each)?.at ?? 0)) - at);
    await sleep(150);
  }
  const revisions: number[] = [];
  for (let revision = 2; revision < 12; revision++) {
    const at = Date.now();
    const changed = createLargeDocument(revision);
    instances.forEach((each) =>
      each.acceptDocument("trial", {
        revision,
        digest: `${revision}`,
        document: changed,
      })
    );
    const find = (each: SessionsProcess) =>
      each.find("revision", (report) => report.revision === revision);
    await waitUntil(() => all.every(find), "all sessions receive the revision");
    revisions.push(Math.max(...all.map((each) => find(each)?.at ?? 0)) - at);
    await sleep(150);
  }
  await Promise.all(all.map((each) => each.getUsage()));
  const killMilliseconds = Date.now();
  const lostSessionCount = instances[0]?.sessionHost.sessionCount;
  instances[0]?.kill();
  const remaining = instances.slice(1);
  await waitUntil(
    () =>
      remaining.reduce(
        (sum, { sessionHost }) => sum + sessionHost.sessionCount,
        0,
      ) ===
        312,
    "all sessions move to other instances",
  );
  const movedMilliseconds = Date.now() - killMilliseconds;
  await sleep(12_000);
  const usages = await Promise.all(groups.map((each) => each.getUsage()));
  console.log(
    "Spread: 312 sessions in 4 processes, 7 instances in one process, milliseconds",
  );
  console.table({
    "all sessions connected after": { value: connected, limit: "" },
    "drain at all 300 sessions, slowest of 10": {
      value: Math.max(...drains),
      limit: 3000,
    },
    "drain at all 300 sessions, median": {
      value: getMedian(drains),
      limit: "",
    },
    "revision at all 312 sessions, slowest of 10": {
      value: Math.max(...revisions),
      limit: 5000,
    },
    "revision at all 312 sessions, median": {
      value: getMedian(revisions),
      limit: "",
    },
    [`${lostSessionCount} sessions of a lost instance moved after`]: {
      value: movedMilliseconds,
      limit: "",
    },
    "smallest view meanwhile (of 12 targets)": {
      value: Math.min(...usages.map((each) => each.fewest)),
      limit: 12,
    },
  });
  remaining.forEach((each) => each.kill());
  all.forEach((each) => each.child.disconnect());
}

function getMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[values.length >> 1] ?? 0;
}

async function measureMemory(): Promise<void> {
  const child = fork(getScriptPath("membership_memory"), ["measure"], {
    execArgv: ["--expose-gc"],
  });
  children.push(child);
  const rows = await new Promise((resolve) => child.once("message", resolve));
  console.log(
    "Memory per known target (heap; at control with one node record each)",
  );
  console.table(rows);
}

const parts: Record<string, () => Promise<void> | void> = {
  node: measureNode,
  control: measureControl,
  exchange: measureExchange,
  spread: measurePropagation,
  memory: measureMemory,
  subsets: measureSubsets,
  transport: measureTransport,
};
for (const [name, measure] of Object.entries(parts)) {
  if (process.argv.length === 2 || process.argv.includes(name)) {
    await measure();
  }
}
children.forEach((child) => child.connected && child.disconnect());
process.exit();
