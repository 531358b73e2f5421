// Measures what membership costs a node and a control instance, and how fast
// drains and revisions reach all sessions. Run under the bench lock:
//   npm run build && flock <lock file> node dist/bench/membership.js
import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { deflateRawSync } from "node:zlib";
import { encodeDocumentPart, getDocumentPart } from "../src/document/mod.ts";
import { Directory, type DirectoryBatch } from "../src/membership/mod.ts";
import { ExchangeBatch } from "../src/protocol/generated/exchange.ts";
import { createWireBatch, parseWireBatch } from "../src/session_server/mod.ts";
import {
  type ControlInstance,
  startControlInstances,
} from "../tests/support/control_instance.ts";
import { TcpProxy } from "../tests/support/tcp_proxy.ts";
import { waitUntil } from "../tests/support/wait_until.ts";
import { createLargeDocument, getServiceName } from "./membership_document.ts";
import { measureSubsets, measureTransport } from "./membership_alternatives.ts";
import { createReceivedTarget } from "./membership_memory.ts";
import type { SessionsOptions, SessionsReport } from "./membership_sessions.ts";

const children: ChildProcess[] = [];
const secondsPerDay = 86_400;
// A segment carries Ethernet, IP and TCP headers; acknowledgements not counted.
const headerBytes = 66;
const caller = getServiceName(7, 0);
const callee = getServiceName(8, 0);

function getPath(name: string): string {
  return fileURLToPath(new URL(`./${name}.js`, import.meta.url));
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Sessions in another process. */
class Sessions {
  readonly child: ChildProcess;
  readonly news: SessionsReport[] = [];

  constructor(request: SessionsOptions, options: string[] = []) {
    this.child = fork(getPath("membership_sessions"), [
      JSON.stringify(request),
      ...options,
    ]);
    this.child.on("message", (news) => this.news.push(news as SessionsReport));
    children.push(this.child);
  }

  async getUsage(): Promise<SessionsReport & { kind: "usage" }> {
    const count = this.news.length;
    this.child.send("usage");
    const find = () =>
      this.news.slice(count).find((each) => each.kind === "usage");
    await waitUntil(() => find() !== undefined, "the sessions answer");
    return find() as SessionsReport & { kind: "usage" };
  }

  find<Kind extends SessionsReport["kind"]>(
    kind: Kind,
    matches: (news: SessionsReport & { kind: Kind }) => boolean = () => true,
  ): (SessionsReport & { kind: Kind }) | undefined {
    return this.news.find((each): each is SessionsReport & { kind: Kind } =>
      each.kind === kind && matches(each as SessionsReport & { kind: Kind })
    );
  }
}

async function measureNode(): Promise<void> {
  const instances = await startControlInstances(1);
  const [control] = instances as [ControlInstance];
  control.accept("trial", {
    revision: 1,
    digest: "1",
    document: createLargeDocument(),
  });
  const targets = new Sessions({
    controlAddresses: [control.address],
    count: 40,
    prefix: "callee-",
    service: callee,
    watched: callee,
    hasTargets: true,
  });
  await waitUntil(
    () => control.host.getTargets("trial").length === 40,
    "targets are known",
  );
  await waitUntil(() => !control.host.isCollecting(), "the instance is ready");
  const proxy = new TcpProxy(control.address);
  await proxy.listen();
  const node = new Sessions({
    controlAddresses: [proxy.address],
    count: 1,
    prefix: "caller-",
    service: caller,
    watched: callee,
    hasTargets: true,
  }, ["no-checks"]);
  await pause(8000);
  const measure = async (milliseconds: number) => {
    const before = {
      sent: proxy.sent,
      received: proxy.received,
      segments: proxy.segments,
      usage: await node.getUsage(),
    };
    await pause(milliseconds);
    const usage = await node.getUsage();
    return {
      up: proxy.received - before.received,
      down: proxy.sent - before.sent,
      segments: proxy.segments - before.segments,
      cpu: usage.cpuMicroseconds - before.usage.cpuMicroseconds,
      resident: usage.residentBytes,
    };
  };
  const idle = await measure(40_000);
  const renewals = 20;
  const change = async (action: () => void) => {
    const each = await measureOnce(measure, action);
    // What renewals took meanwhile.
    return Math.max(each - (idle.up + idle.down) / renewals, 0);
  };
  let revision = 1;
  const changed = await change(() =>
    control.accept("trial", {
      revision: ++revision,
      digest: `${revision}`,
      document: createLargeDocument(revision),
    })
  );
  const unchanged = await change(() =>
    control.accept("trial", {
      revision: ++revision,
      digest: `${revision}`,
      document: createLargeDocument(2),
    })
  );
  const drained = await change(() => targets.child.send("drain 0"));
  const restarted = await change(() => targets.child.send("restart"));
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
  const largest = parts[0]?.["sent bytes"] ?? 0;
  const perSecond = (idle.up + idle.down + idle.segments * headerBytes) / 40;
  // Upper bounds: every change alters the largest part, every restart is in view.
  const documents = 2100 * (largest + 3 * headerBytes) / secondsPerDay;
  const restarts = 1900 * (drained + restarted + 6 * headerBytes) /
    secondsPerDay;
  console.log(
    "Node: renewals (1 node, 40 s), bytes without and with headers of 66 bytes a segment",
  );
  console.table({
    "up bytes/s": idle.up / 40,
    "down bytes/s": idle.down / 40,
    "with headers bytes/s": Math.round(perSecond),
    "processor time, % of a core": Number((idle.cpu / 40e6 * 100).toFixed(3)),
    "resident MB of the process": Math.round(idle.resident / 1e6),
  });
  console.log(
    "Node: bytes per event (control to node and back, without headers)",
  );
  console.table({
    "document change, part changed (layer 7)": changed,
    "document change, part unchanged": unchanged,
    "target drained": drained,
    "target left and ready again": restarted,
  });
  console.log("Document of 170 services: part by layer");
  console.table(parts);
  console.log(
    "Node: all control traffic at 2100 changes and 1900 restarts a day (limit 3000 bytes/s)",
  );
  console.table({
    "renewals bytes/s": Math.round(perSecond),
    "documents bytes/s (all alter the largest part)": Math.round(documents),
    "restarts bytes/s (all are in view)": Math.round(restarts),
    "sum bytes/s": Math.round(perSecond + documents + restarts),
  });
  proxy.close();
  instances.forEach((each) => each.kill());
  [targets, node].forEach((each) => each.child.disconnect());
}

async function measureOnce(
  measure: (milliseconds: number) => Promise<{ up: number; down: number }>,
  action: () => void,
): Promise<number> {
  const measured = measure(2000);
  await pause(100);
  action();
  const { up, down } = await measured;
  return up + down;
}

async function measureControl(): Promise<void> {
  const child = fork(getPath("membership_control"));
  children.push(child);
  const ask = () =>
    new Promise<Record<string, number> & { address: string }>((resolve) => {
      child.once("message", (message) => resolve(message as never));
    });
  const { address } = await ask();
  const groups = [0, 1, 2].map((number) =>
    new Sessions({
      controlAddresses: [address],
      count: 100,
      prefix: `group-${number}-`,
      service: caller,
      watched: caller,
      hasTargets: true,
    }, ["no-checks"])
  );
  await pause(14_000);
  const getUsage = () => {
    const answer = ask();
    child.send("usage");
    return answer;
  };
  const before = await getUsage();
  const clients = await Promise.all(groups.map((each) => each.getUsage()));
  const seconds = 30;
  await pause(seconds * 1000);
  const after = await getUsage();
  const clientsAfter = await Promise.all(groups.map((each) => each.getUsage()));
  const renewals = 300 * seconds / 2;
  const control = (after.cpuMicroseconds ?? 0) - (before.cpuMicroseconds ?? 0);
  const nodes = clientsAfter.reduce(
    (sum, each, index) =>
      sum + each.cpuMicroseconds - (clients[index]?.cpuMicroseconds ?? 0),
    0,
  );
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
  const perSender = Math.ceil(6200 / 7);
  let bytes = 0;
  let records = 0;
  let wanted = 0;
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
    wanted += receiver.mergeBatch(
      parseWireBatch(ExchangeBatch.decode(encoded), now),
      now,
    ).length;
    mergeMilliseconds += performance.now() - start;
  };
  const change = (now: number) =>
    senders.forEach((sender, index) => {
      for (let number = 0; number < perSender; number++) {
        const arrived = createReceivedTarget(index * perSender + number);
        const nodeKey = `${arrived.environment}\0${arrived.nodeId}`;
        sender.openLease({
          ...arrived,
          sessionSequence: now,
          update: 0,
          revision: 1,
          admissionLevel: 0,
          state: "connected",
        }, now);
        sender.announce({ nodeKey, sessionSequence: now }, {
          target: { ...arrived, sequence: arrived.sequence + now },
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
  [bytes, encodeMilliseconds, mergeMilliseconds, wanted] = [0, 0, 0, 0];
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
    "buckets that did not match": wanted,
  });
}

async function measureSpread(): Promise<void> {
  const instances = await startControlInstances(7);
  const document = createLargeDocument();
  instances.forEach((each) =>
    each.accept("trial", { revision: 1, digest: "1", document })
  );
  const controlAddresses = instances.map((each) => each.address);
  const targets = new Sessions({
    controlAddresses,
    count: 12,
    prefix: "callee-",
    service: callee,
    watched: callee,
    hasTargets: true,
  });
  const groups = [0, 1, 2].map((number) =>
    new Sessions({
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
    "all are connected",
  );
  const connected =
    Math.max(...all.map((each) => each.find("connected")?.at ?? 0)) - start;
  await waitUntil(
    () =>
      instances.every(({ host }) =>
        !host.isCollecting() && host.getTargets("trial").length === 312
      ),
    "all instances know all",
  );
  const drains: number[] = [];
  for (let number = 0; number < 10; number++) {
    const at = Date.now();
    const targetId = `callee-${number}-target`;
    targets.child.send(`drain ${number}`);
    const find = (each: Sessions) =>
      each.find("draining", (news) => news.targetId === targetId);
    await waitUntil(() => groups.every(find), "all know of the drain");
    drains.push(Math.max(...groups.map((each) => find(each)?.at ?? 0)) - at);
    await pause(150);
  }
  const revisions: number[] = [];
  for (let revision = 2; revision < 12; revision++) {
    const at = Date.now();
    const changed = createLargeDocument(revision);
    instances.forEach((each) =>
      each.accept("trial", {
        revision,
        digest: `${revision}`,
        document: changed,
      })
    );
    const find = (each: Sessions) =>
      each.find("revision", (news) => news.revision === revision);
    await waitUntil(() => all.every(find), "all have the revision");
    revisions.push(Math.max(...all.map((each) => find(each)?.at ?? 0)) - at);
    await pause(150);
  }
  await Promise.all(all.map((each) => each.getUsage()));
  const killedAt = Date.now();
  const held = instances[0]?.host.sessionCount;
  instances[0]?.kill();
  const left = instances.slice(1);
  await waitUntil(
    () => left.reduce((sum, { host }) => sum + host.sessionCount, 0) === 312,
    "all moved",
  );
  const moved = Date.now() - killedAt;
  await pause(12_000);
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
    [`${held} sessions of a lost instance moved after`]: {
      value: moved,
      limit: "",
    },
    "smallest view meanwhile (of 12 targets)": {
      value: Math.min(...usages.map((each) => each.smallestViewSize)),
      limit: 12,
    },
  });
  left.forEach((each) => each.kill());
  all.forEach((each) => each.child.disconnect());
}

function getMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[values.length >> 1] ?? 0;
}

async function measureMemory(): Promise<void> {
  const child = fork(getPath("membership_memory"), ["measure"], {
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
  spread: measureSpread,
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
