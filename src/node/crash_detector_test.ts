import assert from "node:assert/strict";
import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { systemClock } from "../common/mod.ts";
import { CrashDetector, type DetectedCrash } from "./crash_detector.ts";

/** Longer than an accepted connection is watched. */
const settleMilliseconds = 700;

interface DetectorCase {
  readonly name: string;
  /** Handles a connection of a probe. */
  onConnection(server: Server, socket: Socket): void;
  /** Results of the calls that fail one after the other, by fingerprint. */
  readonly results: Readonly<Record<string, boolean>>;
  /** Incarnation at which the only crash is detected. */
  readonly incarnation: DetectedCrash["incarnation"];
}

const cases: readonly DetectorCase[] = [
  {
    name:
      "a target that resets an accepted probe as its process ends has crashed",
    onConnection: (server, socket) => {
      setTimeout(() => {
        server.close();
        socket.resetAndDestroy();
      }, 5);
    },
    results: { a: true },
    incarnation: "current",
  },
  {
    name:
      "a target that closes an accepted probe as its process ends has crashed",
    onConnection: (server, socket) => {
      setTimeout(() => {
        server.close();
        socket.end();
      }, 5);
    },
    results: { a: true },
    incarnation: "current",
  },
  {
    name: "a target whose process ends only after the result has crashed",
    onConnection: (server, socket) => {
      setTimeout(() => {
        server.close();
        socket.end();
      }, 150);
    },
    results: { a: false },
    incarnation: "current",
  },
  {
    name:
      "calls that fail before and after a target refuses belong to one crash",
    onConnection: (server) => {
      server.close();
    },
    results: { a: false, b: true },
    incarnation: "current",
  },
  {
    name: "a target that closes the connection of each probe has not crashed",
    onConnection: (_server, socket) => socket.end(),
    results: { a: false },
    incarnation: "former",
  },
  {
    name: "a target that keeps the connection of a probe has not crashed",
    onConnection: () => {},
    results: { a: false },
    incarnation: "former",
  },
];

for (const each of cases) {
  test(each.name, async (context) => {
    const port = await startTarget(context, each.onConnection);
    const crashes: DetectedCrash[] = [];
    const detector = new CrashDetector({
      clock: systemClock,
      getEndpoint: () => ({ host: "127.0.0.1", port }),
      onCrash: (crash) => crashes.push(crash),
    });
    const fingerprints = Object.keys(each.results);
    const results: Record<string, boolean> = {};
    for (const fingerprint of fingerprints) {
      results[fingerprint] = await new Promise<boolean>((resolve) =>
        detector.examine({
          fingerprints: [fingerprint],
          ranAlone: true,
          onResult: resolve,
        })
      );
    }
    assert.deepEqual(results, each.results);
    await sleep(settleMilliseconds);
    const expected = [{
      calls: fingerprints.map((each) => [each]),
      wasAlone: fingerprints.length === 1,
      incarnation: each.incarnation,
    }];
    assert.deepEqual(
      crashes,
      each.incarnation === "current" ? expected : [],
    );
    detector.onNewIncarnation();
    assert.deepEqual(crashes, expected);
  });
}

test("calls that wait for their result belong to the crash of the former incarnation", async (context) => {
  const port = await startTarget(context, () => {});
  const crashes: DetectedCrash[] = [];
  const detector = new CrashDetector({
    clock: systemClock,
    getEndpoint: () => ({ host: "127.0.0.1", port }),
    onCrash: (crash) => crashes.push(crash),
  });
  const result = new Promise<boolean>((resolve) =>
    detector.examine({
      fingerprints: ["a"],
      ranAlone: true,
      onResult: resolve,
    })
  );
  detector.onNewIncarnation();
  assert.equal(await result, true);
  await sleep(settleMilliseconds);
  assert.deepEqual(crashes, [
    { calls: [["a"]], wasAlone: true, incarnation: "former" },
  ]);
});

/** Starts a target and gets its port. */
async function startTarget(
  context: TestContext,
  onConnection: DetectorCase["onConnection"],
): Promise<number> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    onConnection(server, socket);
  });
  context.after(() => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}
