// A node starts again, its endpoint says that it leaves, and a ping that the
// endpoint sent before arrives late.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Clients } from "../lib/clients.mjs";
import { Endpoint } from "../lib/endpoint.mjs";
import { bounds, createManifest, sleep, waitUntil } from "../lib/installation.mjs";
import { runCase } from "../lib/run_case.mjs";

/** Time by which the ping is late; it "may arrive seconds late". */
const lateMilliseconds = 2500;
/** Time from the acknowledgement until the endpoint ends. */
const serveMilliseconds = 6000;

await runCase(dirname(fileURLToPath(import.meta.url)), {
  services: ["portal", "treasury", "treasury"],
}, async ({ installation, record, hasTrouble }) => {
  const [portal, leavingMachine] = installation.nodes;
  const endpoints = installation.nodes.map((machine) =>
    new Endpoint(installation, machine, {
      slots: 36,
      places: 72,
      workMilliseconds: 290,
    })
  );
  const [, leaving] = endpoints;
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
    }],
  }));
  await installation.whenReady();
  // Heartbeats of all endpoints, and contactS.
  await sleep(3500);
  const transfers = new Clients(record, {
    machine: portal,
    method: "POST",
    path: "/transfer/7",
    perSecond: 27.6,
    deadlineMilliseconds: 5000,
    keepsConnections: false,
  });
  transfers.start();
  await sleep(1000);

  // The platform starts the node's process again, half a second after its end.
  leaving.sendsBeats = false;
  await leavingMachine.kill();
  await sleep(500);
  leavingMachine.start();
  await waitUntil(() => leavingMachine.isReady(), "the node is ready again");
  // The endpoint sends its next ping, which is held up on its way, and leaves.
  const ping = leaving.createBeat();
  const pingSeconds = record.now;
  let ackSeconds;
  await waitUntil(async () => {
    const status = await leaving.deregister();
    ackSeconds = record.now;
    return status === 200;
  }, "the endpoint has deregistered");
  record.add(`${leavingMachine.name}: acknowledged that its endpoint is gone`);
  await sleep(lateMilliseconds - (record.now - pingSeconds) * 1000);
  if (hasTrouble) {
    const status = await leaving.beat(ping);
    record.add(`late ping at ${leavingMachine.name}: ${status}`);
  }
  await sleep(serveMilliseconds - (record.now - ackSeconds) * 1000);
  await leaving.stop();
  record.add("the endpoint has ended");
  await sleep(2000);
  await transfers.stop();

  const broken = [];
  // DRAIN: requests that reach the endpoint later than drainS after the
  // acknowledgement, sent on by machines in touch: the node of the clients has
  // been in touch all the while, that of the endpoint from contactS on.
  const lateRuns = leaving.runs.filter(({ seconds }) =>
    seconds > ackSeconds + Math.max(bounds.drainS, bounds.contactS)
  );
  if (lateRuns.length > 0) {
    const cut = transfers.requests.filter(({ id, status }) =>
      status !== 200 && lateRuns.some(({ attemptId }) => attemptId === id)
    );
    broken.push(
      `DRAIN: ${lateRuns.length} transfers reached the endpoint later than ` +
        `drainS after the acknowledgement, such as ${
          lateRuns[0].attemptId
        }, ${
          (lateRuns[0].seconds - ackSeconds).toFixed(2)
        } s after it; ${cut.length} of them were lost when it ended`,
    );
  }
  return broken;
});
