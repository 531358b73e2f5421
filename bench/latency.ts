import { build, type Histogram } from "hdr-histogram-js";
import { type LatencyPath, startLatencySetup } from "./latency_setup.ts";
import {
  getProcessorMilliseconds,
  getResidentMebibytes,
} from "./process_usage.ts";
import { RawClient, type RawRequest } from "./raw_client.ts";

/**
 * Measures the latency that one node and two nodes add to a call, compared with
 * a plain pass-through proxy, and the processor time per call.
 *
 * Usage: `node dist/bench/latency.js [pairs] [seconds]`
 */
const pairs = Number(process.argv[2] ?? 20_000);
const loadSeconds = Number(process.argv[3] ?? 4);
const warmUpCalls = 5000;
const loadRounds = 3;
const loadConnections = 16;
const loadCallsPerSecond = 2000;

const requests: readonly (RawRequest & { readonly label: string })[] = [
  {
    label: "GET without a body",
    method: "GET",
    path: "/views/1",
    host: "views",
    bodyBytes: 0,
  },
  {
    label: "POST of 1 KiB",
    method: "POST",
    path: "/views/1",
    host: "views",
    bodyBytes: 1024,
  },
];

/** Latencies of one path, in microseconds. */
interface PathLatency {
  readonly path: LatencyPath;
  readonly client: RawClient;
  readonly latency: Histogram;
  /** Latency less that of the direct call of the same pair. */
  readonly added: Histogram;
}

const setup = await startLatencySetup();
let failures = 0;
try {
  reportMemory("at rest");
  for (const request of requests) {
    process.stdout.write(`\n${request.label}, one call at a time\n`);
    await measurePairs(request);
  }
  await measureLoad(requests[0] as RawRequest);
  reportMemory("after load");
  process.stdout.write(`\nfailed calls: ${failures}\n`);
} finally {
  await setup.stop();
}

/**
 * Sends one call on each path in turn, so that changes of the machine's load
 * affect all paths alike.
 */
async function measurePairs(request: RawRequest): Promise<void> {
  const measured = setup.paths.map((path): PathLatency => ({
    path,
    client: new RawClient(path.port, request),
    latency: build({ highestTrackableValue: 10_000_000 }),
    added: build({ highestTrackableValue: 10_000_000 }),
  }));
  for (let pair = 0; pair < warmUpCalls + pairs; pair++) {
    let direct = 0;
    for (const each of measured) {
      const microseconds = await timeCall(each.client);
      if (each.path.name === "direct") {
        direct = microseconds;
      }
      if (pair >= warmUpCalls) {
        each.latency.recordValue(Math.round(microseconds));
        each.added.recordValue(Math.max(0, Math.round(microseconds - direct)));
      }
    }
  }
  measured.forEach(({ client }) => client.close());
  reportPairs(measured);
}

function timeCall(client: RawClient): Promise<number> {
  return new Promise((resolve) => {
    const started = performance.now();
    client.send((isSuccess) => {
      if (!isSuccess) {
        failures++;
      }
      resolve((performance.now() - started) * 1000);
    });
  });
}

function reportPairs(measured: readonly PathLatency[]): void {
  const baseline = measured.find((each) => each.path.name === "pass-through");
  for (const { path, latency, added } of measured) {
    const values = [50, 90, 99].map((percentile) => {
      const value = latency.getValueAtPercentile(percentile);
      const baselineValue =
        baseline?.latency.getValueAtPercentile(percentile) ?? 1;
      return `p${percentile} ${value} us (${
        (value / baselineValue).toFixed(2)
      }x)`;
    });
    process.stdout.write(
      `${path.name.padEnd(13)} ${values.join("  ")}  added p50 ${
        added.getValueAtPercentile(50)
      } us, p99 ${added.getValueAtPercentile(99)} us\n`,
    );
  }
}

/** Sends calls at a fixed rate on one path after the other, in rounds. */
async function measureLoad(request: RawRequest): Promise<void> {
  process.stdout.write(
    `\n${loadCallsPerSecond} calls/s on ${loadConnections} connections\n`,
  );
  const paths = setup.paths.filter((each) => each.name !== "direct");
  const results = paths.map((path) => ({
    path,
    latency: build({ highestTrackableValue: 10_000_000 }),
    processorMilliseconds: 0,
    calls: 0,
  }));
  for (let round = 0; round < loadRounds; round++) {
    for (const result of results) {
      const before = getProcessorMilliseconds(result.path.processId);
      result.calls += await sendLoad(result.path, request, result.latency);
      result.processorMilliseconds +=
        getProcessorMilliseconds(result.path.processId) - before;
    }
  }
  const baseline = results[0];
  for (const { path, latency, processorMilliseconds, calls } of results) {
    const perCall = processorMilliseconds * 1000 / calls;
    const baselinePerCall = baseline === undefined
      ? perCall
      : baseline.processorMilliseconds * 1000 / baseline.calls;
    const values = [50, 99].map((percentile) => {
      const value = latency.getValueAtPercentile(percentile);
      const baselineValue =
        baseline?.latency.getValueAtPercentile(percentile) ?? 1;
      return `p${percentile} ${value} us (${
        (value / baselineValue).toFixed(2)
      }x)`;
    });
    process.stdout.write(
      `${path.name.padEnd(13)} ${values.join("  ")}  processor ${
        perCall.toFixed(0)
      } us per call (${(perCall / baselinePerCall).toFixed(2)}x)\n`,
    );
  }
}

function sendLoad(
  path: LatencyPath,
  request: RawRequest,
  latency: Histogram,
): Promise<number> {
  const idleClients = Array.from(
    { length: loadConnections },
    () => new RawClient(path.port, request),
  );
  const clients = [...idleClients];
  let sent = 0;
  let done = 0;
  const started = performance.now();
  return new Promise((resolve) => {
    // Scheduled with setImmediate, because timers have a resolution of 1 ms and
    // would send calls in bursts.
    const sendDue = (): void => {
      const elapsed = performance.now() - started;
      const due = Math.floor(elapsed * loadCallsPerSecond / 1000);
      while (
        sent < due && idleClients.length > 0 && elapsed < loadSeconds * 1000
      ) {
        const client = idleClients.pop() as RawClient;
        // Latency counts from the time at which the call was due, so that it
        // includes stalls of this process (no coordinated omission).
        const dueAt = started + (sent + 1) * 1000 / loadCallsPerSecond;
        sent++;
        client.send((isSuccess) => {
          failures += isSuccess ? 0 : 1;
          done++;
          latency.recordValue(
            Math.max(0, Math.round((performance.now() - dueAt) * 1000)),
          );
          idleClients.push(client);
        });
      }
      if (elapsed >= loadSeconds * 1000 && done === sent) {
        clients.forEach((client) => client.close());
        resolve(done);
      } else {
        setImmediate(sendDue);
      }
    };
    sendDue();
  });
}

function reportMemory(when: string): void {
  const values = setup.paths.map(({ name, processId }) =>
    `${name} ${getResidentMebibytes(processId).toFixed(0)} MiB`
  );
  process.stdout.write(`resident memory ${when}: ${values.join(", ")}\n`);
}
