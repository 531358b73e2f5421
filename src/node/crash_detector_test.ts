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
import { CrashDetector } from "./crash_detector.ts";

/** Longer than an accepted connection is watched. */
const settleMilliseconds = 700;

interface Crash {
  readonly fingerprints: readonly string[];
  readonly wasAlone: boolean;
}

interface DetectorCase {
  readonly name: string;
  /** Handles a connection of a probe. */
  onConnection(server: Server, socket: Socket): void;
  /** Fingerprints of the calls that fail, each after the result of the last one. */
  readonly failed: readonly string[];
  readonly crashes: readonly Crash[];
  /** Crashes after the target was announced with a new incarnation. */
  readonly crashesAfterAnnouncement: readonly Crash[];
}

const cases: readonly DetectorCase[] = [
  {
    name:
      "a target that resets an accepted probe as its process ends has crashed",
    onConnection: (server, socket) => {
      setTimeout(() => {
        server.close();
        socket.resetAndDestroy();
      }, 20);
    },
    failed: ["a"],
    crashes: [{ fingerprints: ["a"], wasAlone: true }],
    crashesAfterAnnouncement: [{ fingerprints: ["a"], wasAlone: true }],
  },
  {
    name:
      "a target that closes an accepted probe as its process ends has crashed",
    onConnection: (server, socket) => {
      setTimeout(() => {
        server.close();
        socket.end();
      }, 20);
    },
    failed: ["a"],
    crashes: [{ fingerprints: ["a"], wasAlone: true }],
    crashesAfterAnnouncement: [{ fingerprints: ["a"], wasAlone: true }],
  },
  {
    name:
      "calls that fail before and after a target refuses belong to one crash",
    onConnection: (server) => {
      server.close();
    },
    failed: ["a", "b"],
    crashes: [{ fingerprints: ["a", "b"], wasAlone: false }],
    crashesAfterAnnouncement: [{ fingerprints: ["a", "b"], wasAlone: false }],
  },
  {
    name: "a target that closes the connection of each probe has not crashed",
    onConnection: (_server, socket) => socket.end(),
    failed: ["a"],
    crashes: [],
    crashesAfterAnnouncement: [{ fingerprints: ["a"], wasAlone: true }],
  },
  {
    name: "a target that keeps the connection of a probe has not crashed",
    onConnection: () => {},
    failed: ["a"],
    crashes: [],
    crashesAfterAnnouncement: [{ fingerprints: ["a"], wasAlone: true }],
  },
];

for (const each of cases) {
  test(each.name, async (context) => {
    const port = await startTarget(context, each.onConnection);
    const crashes: Crash[] = [];
    const detector = new CrashDetector({
      clock: systemClock,
      getEndpoint: () => ({ host: "127.0.0.1", port }),
      onCrash: (fingerprints, wasAlone) =>
        crashes.push({ fingerprints, wasAlone }),
    });
    for (const fingerprint of each.failed) {
      await new Promise<void>((resolve) =>
        detector.examine({
          fingerprint,
          ranAlone: true,
          onResult: () => resolve(),
        })
      );
    }
    await sleep(settleMilliseconds);
    assert.deepEqual(crashes, each.crashes);
    detector.onNewIncarnation();
    assert.deepEqual(crashes, each.crashesAfterAnnouncement);
  });
}

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
