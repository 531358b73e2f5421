/**
 * Measures the claim ledger: claims per second and latency added to a claimed
 * call with 1 and 3 control processes on real files, then memory and snapshot
 * bytes per claim.
 *
 * Usage: flock /tmp/dogwoodwalk-bench.lock node dist/bench/ledger.js
 */
import { readFileSync } from "node:fs";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { build, type Histogram } from "hdr-histogram-js";
import { formatColumns } from "../src/command_line/mod.ts";
import { LedgerClient } from "../src/control_client/mod.ts";
import { ClaimLedger } from "../src/ledger/mod.ts";
import {
  type LedgerLimits,
  LedgerSnapshot,
} from "../src/protocol/generated/control.ts";
import { ControlGroup } from "../tests/support/control_group.ts";

const nodeCount = 40;
/** Concurrent calls of each node in the throughput run. */
const callsPerNode = 16;
const measureMilliseconds = 6000;
const warmUpMilliseconds = 2000;
/** Claims per second of all nodes together in the latency run. */
const fixedRateClaimsPerSecond = 400;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

function createNodes(addresses: readonly string[]): LedgerClient[] {
  return Array.from({ length: nodeCount }, (_, number) => {
    // Nodes connect to the instances in turn, so that most of them use a follower.
    const start = number % addresses.length;
    return new LedgerClient({
      environment: "trial",
      nodeId: `node-${number}`,
      incarnation: 1,
      getControlAddresses: () => [
        ...addresses.slice(start),
        ...addresses.slice(0, start),
      ],
    });
  });
}

let nextCall = 0;

/**
 * Claims and completes one call, and records the time until the claim is
 * answered.
 * @returns Outcome of the claim.
 */
async function runCall(
  node: LedgerClient,
  histogram: Histogram | undefined,
): Promise<string> {
  const number = nextCall++;
  const key = { service: "treasury", key: `key-${number}` };
  const claimId = `claim-${number}`;
  const start = performance.now();
  const outcome = await node.claim({
    ...key,
    claimId,
    fingerprint: `fingerprint-${number}`,
    deadlineMilliseconds: 4000,
    entryIndex: node.knownIndex,
  });
  histogram?.recordValue(Math.round((performance.now() - start) * 1000));
  if (outcome.kind === "granted") {
    void node.complete({
      ...key,
      claimId,
      answer: { status: 201, headers: [], body: Buffer.alloc(200) },
    });
  }
  return outcome.kind;
}

async function measureThroughput(nodes: readonly LedgerClient[]) {
  let granted = 0;
  let isCounting = false;
  let isRunning = true;
  const histogram = build();
  const loops = nodes.flatMap((node) =>
    Array.from({ length: callsPerNode }, async () => {
      while (isRunning) {
        const kind = await runCall(node, isCounting ? histogram : undefined);
        granted += isCounting && kind === "granted" ? 1 : 0;
      }
    })
  );
  await sleep(warmUpMilliseconds);
  isCounting = true;
  const start = performance.now();
  await sleep(measureMilliseconds);
  const seconds = (performance.now() - start) / 1000;
  isRunning = false;
  await Promise.all(loops);
  return { rate: granted / seconds, histogram };
}

async function measureLatency(nodes: readonly LedgerClient[]) {
  const histogram = build();
  const outcomes = new Map<string, number>();
  const calls: Promise<void>[] = [];
  const start = performance.now();
  let sent = 0;
  const endMilliseconds = warmUpMilliseconds + measureMilliseconds;
  while (performance.now() - start < endMilliseconds) {
    const elapsed = performance.now() - start;
    const isCounting = elapsed > warmUpMilliseconds;
    for (; sent < elapsed * fixedRateClaimsPerSecond / 1000; sent++) {
      const node = nodes[sent % nodes.length] as LedgerClient;
      calls.push(
        runCall(node, isCounting ? histogram : undefined).then((kind) => {
          outcomes.set(kind, (outcomes.get(kind) ?? 0) + 1);
        }),
      );
    }
    await sleep(1);
  }
  await Promise.all(calls);
  return { histogram, outcomes };
}

async function measureGroup(count: number): Promise<string[][]> {
  const group = await ControlGroup.start(count);
  try {
    const applied = await group.runCommand(
      "apply trial examples/strike-fund.toml --base 0",
    );
    if (applied.code !== 0) {
      throw new Error(applied.text);
    }
    const nodes = createNodes(group.addresses);
    const fixedRate = await measureLatency(nodes);
    const closedLoop = await measureThroughput(nodes);
    nodes.forEach((each) => each.stop());
    const status = await group.runCommand("status");
    const claims = /(\d+) of \d+ claims/.exec(status.text)?.[1] ?? "";
    const memory = group.instances.map((each) =>
      getResidentMebibytes(each.pid)
    );
    const failures = [...fixedRate.outcomes].filter(([kind]) =>
      kind !== "granted"
    );
    return [
      [
        `${count}`,
        `${fixedRateClaimsPerSecond}/s open loop`,
        "",
        ...formatLatency(fixedRate.histogram),
        failures.map(([kind, times]) => `${times} ${kind}`).join(", ") || "0",
        "",
        "",
      ],
      [
        `${count}`,
        `${nodeCount * callsPerNode} calls closed loop`,
        closedLoop.rate.toFixed(0),
        ...formatLatency(closedLoop.histogram),
        "",
        claims,
        Math.max(...memory).toFixed(0),
      ],
    ];
  } finally {
    await group.stop();
  }
}

/** Gets the resident memory of a process from /proc. */
function getResidentMebibytes(pid: number | undefined): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1]) / 1024;
}

function formatLatency(histogram: Histogram): string[] {
  return [50, 99, 99.9].map((percentile) =>
    (histogram.getValueAtPercentile(percentile) / 1000).toFixed(2)
  );
}

const limits: LedgerLimits = {
  retentionSeconds: 8 * 24 * 3600,
  answerSeconds: 3600,
  answerBytes: 4096,
  maximumClaims: 200_000,
};

function getMemoryBytes(): number {
  collectGarbage();
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/**
 * Creates a ledger with many claims.
 * @param answerBytes Size of the stored responses; if undefined, claims are not
 *   completed.
 */
function createFilledLedger(
  count: number,
  answerBytes: number | undefined,
): ClaimLedger {
  const ledger = new ClaimLedger(() => limits);
  for (let number = 0; number < count; number++) {
    const scope = { service: "treasury", key: `key-${number}` };
    const claimId = `claim-${number}`;
    ledger.apply({
      index: number + 1,
      time: new Date(1_000_000 + number),
      batch: {
        formatVersion: 1,
        environment: "trial",
        nodeId: "node",
        incarnation: 1,
        operations: [
          {
            ...scope,
            operation: {
              $case: "claim",
              claim: {
                claimId,
                fingerprint: `print-${number}`,
                deadlineMilliseconds: 4000,
                entryIndex: number,
              },
            },
          },
          ...(answerBytes === undefined ? [] : [{
            ...scope,
            operation: {
              $case: "complete" as const,
              complete: {
                claimId,
                answer: {
                  status: 201,
                  headers: [],
                  body: Buffer.alloc(answerBytes),
                },
              },
            },
          }]),
        ],
      },
    });
  }
  return ledger;
}

function measureMemory(
  count: number,
  answerBytes: number | undefined,
): string[] {
  const before = getMemoryBytes();
  const fillStart = performance.now();
  const ledger = createFilledLedger(count, answerBytes);
  const fillMilliseconds = performance.now() - fillStart;
  const memory = getMemoryBytes() - before;
  const snapshotStart = performance.now();
  const snapshot = LedgerSnapshot.encode(ledger.takeSnapshot()).finish();
  const snapshotMilliseconds = performance.now() - snapshotStart;
  const restored = new ClaimLedger(() => limits);
  const restoreStart = performance.now();
  restored.restoreSnapshot(LedgerSnapshot.decode(snapshot));
  const restoreMilliseconds = performance.now() - restoreStart;
  return [
    `${ledger.getUsage("trial").records}`,
    answerBytes === undefined ? "none" : `${answerBytes} bytes`,
    (memory / 1024 / 1024).toFixed(1),
    (memory / count).toFixed(0),
    (snapshot.length / count).toFixed(1),
    (fillMilliseconds * 1000 / count).toFixed(1),
    snapshotMilliseconds.toFixed(0),
    restoreMilliseconds.toFixed(0),
  ];
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

const memoryRows = [undefined, 1024].flatMap((answerBytes) =>
  [10_000, 50_000, 200_000].map((count) => measureMemory(count, answerBytes))
);
console.log(
  formatColumns([
    [
      "CLAIMS",
      "ANSWERS",
      "MIB",
      "BYTES/CLAIM",
      "SNAPSHOT BYTES/CLAIM",
      "US/CLAIM",
      "SNAPSHOT MS",
      "RESTORE MS",
    ],
    ...memoryRows,
  ]).join("\n"),
);
const groupRows = [...await measureGroup(1), ...await measureGroup(3)];
console.log(
  formatColumns([
    [
      "INSTANCES",
      "LOAD",
      "CLAIMS/S",
      "P50 MS",
      "P99 MS",
      "P99.9 MS",
      "NOT GRANTED",
      "CLAIMS HELD",
      "RESIDENT MIB",
    ],
    ...groupRows,
  ]).join("\n"),
);
