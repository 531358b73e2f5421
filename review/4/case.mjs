// A ping of another writer, whose id cannot be read, arrives at a node.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Clients } from "../lib/clients.mjs";
import { Endpoint } from "../lib/endpoint.mjs";
import { createManifest, sleep } from "../lib/installation.mjs";
import { runCase } from "../lib/run_case.mjs";

await runCase(dirname(fileURLToPath(import.meta.url)), {
  services: ["portal", "treasury", "portal"],
}, async ({ installation, record, hasTrouble }) => {
  const [portal, treasury, otherPortal] = installation.nodes;
  const endpoints = [
    new Endpoint(installation, portal, {
      slots: 36,
      places: 72,
      workMilliseconds: 220,
    }),
    new Endpoint(installation, treasury, {
      slots: 36,
      places: 72,
      workMilliseconds: 290,
    }),
    new Endpoint(installation, otherPortal, {
      slots: 36,
      places: 72,
      workMilliseconds: 220,
    }),
  ];
  const [endpoint, sound] = endpoints;
  installation.startAll();
  for (const each of endpoints) {
    await each.start();
  }
  await installation.putManifest(createManifest({
    version: 3,
    base: 0,
    services: ["portal", "treasury"],
    routes: [{
      pathPrefix: "/transfer/",
      kind: "unsafe",
      service: "treasury",
      timeoutS: 1.5,
    }, {
      pathPrefix: "/balance/",
      kind: "safe",
      service: "portal",
      timeoutS: 1.2,
      targetLatencyS: 1.5,
      priority: 2,
    }],
  }));
  await installation.whenReady();
  // Heartbeats of all endpoints, and contactS.
  await sleep(3500);
  const balances = new Clients(record, {
    machine: portal,
    method: "GET",
    path: "/balance/7",
    perSecond: 30,
    deadlineMilliseconds: 5000,
    keepsConnections: true,
  });
  const transfers = new Clients(record, {
    machine: portal,
    method: "POST",
    path: "/transfer/7",
    perSecond: 27.6,
    deadlineMilliseconds: 5000,
    keepsConnections: true,
  });
  balances.start();
  transfers.start();
  await sleep(2000);
  if (hasTrouble) {
    const status = await endpoint.beat({
      service: portal.service,
      address: portal.endpointAddress,
      zone: portal.zone,
      version: "v1",
      maxConcurrency: 36,
      state: "ready",
      warmupLeftS: 0,
      seq: 1,
      born: Date.now(),
    }, "i-\ufffd\ufffd2a");
    record.add(`ping of another writer at ${portal.name}: ${status}`);
  }
  await sleep(6000);
  await Promise.all([balances.stop(), transfers.stop()]);

  const broken = [];
  // LOST: requests that reached the sound endpoint of the other service and
  // whose connection the node closed without an answer.
  const ran = new Set(sound.runs.map((each) => each.attemptId));
  const lost = transfers.requests.filter(({ id, error, sentSeconds, endSeconds }) =>
    error !== undefined && endSeconds - sentSeconds < 4.9 && ran.has(id)
  );
  if (lost.length > 3) {
    broken.push(
      `LOST: ${lost.length} transfers were passed on to a sound endpoint, and ` +
        `their connections closed without an answer, such as ${lost[0].id}`,
    );
  }
  if (portal.ownEnds > 0) {
    record.add(`${portal.name}: the process ended by itself`);
  }
  return broken;
});
