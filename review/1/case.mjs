// A node freezes for some seconds, while clients open connections and send
// their requests on them a moment later.
import { connect } from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Clients } from "../lib/clients.mjs";
import { Endpoint } from "../lib/endpoint.mjs";
import {
  createAttemptId,
  createManifest,
  sleep,
} from "../lib/installation.mjs";
import { runCase } from "../lib/run_case.mjs";

// Limit of the pages: node_freeze, for_s = 4.0.
const freezeMilliseconds = 4000;
const freezeCount = 8;
/** Time from the connection until the client sends its request on it. */
const requestDelayMilliseconds = 30;
const perSecond = 27.6;

await runCase(dirname(fileURLToPath(import.meta.url)), {
  services: ["portal", "treasury", "portal"],
}, async ({ installation, record, hasTrouble }) => {
  const [portal] = installation.nodes;
  const endpoints = installation.nodes.map((machine) =>
    new Endpoint(installation, machine, {
      slots: 36,
      places: 72,
      workMilliseconds: machine.service === "treasury" ? 290 : 220,
    })
  );
  installation.startAll();
  for (const endpoint of endpoints) {
    await endpoint.start();
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

  const transfers = [];
  const sendTransfer = () => {
    const transfer = { id: createAttemptId(), status: undefined };
    transfers.push(transfer);
    const { host, port } = portal.outbound;
    const socket = connect(port, host);
    let received = "";
    socket.once("connect", () =>
      setTimeout(() => {
        transfer.sentSeconds = record.now;
        socket.write(
          "POST /transfer/7 HTTP/1.1\r\nHost: fund.example\r\n" +
            `X-Attempt-Id: ${transfer.id}\r\nX-Deadline-Ms: 5000\r\n` +
            "Content-Length: 8\r\n\r\namount=1",
        );
      }, requestDelayMilliseconds));
    socket.on("data", (chunk) => {
      received += chunk.toString("latin1");
      if (transfer.status === undefined && received.includes("\r\n\r\n")) {
        transfer.status = Number(received.slice(9, 12));
        record.add(
          `client ${transfer.id} /transfer/7 at ${portal.name}: ` +
            `${transfer.status}, ${
              ((record.now - transfer.sentSeconds) * 1000).toFixed(0)
            } ms`,
        );
        socket.end();
      }
    });
    socket.on("error", (error) => {
      record.add(`client ${transfer.id} at ${portal.name}: ${error.message}`);
    });
    socket.setTimeout(8000, () => socket.destroy());
  };
  const timer = setInterval(sendTransfer, 1000 / perSecond);
  const balances = new Clients(record, {
    machine: portal,
    method: "GET",
    path: "/balance/7",
    perSecond: 65,
    deadlineMilliseconds: 5000,
    keepsConnections: true,
  });
  balances.start();
  for (let index = 0; index < freezeCount; index++) {
    await sleep(2500 + Math.random() * 500);
    if (hasTrouble) {
      record.add(`${portal.name}: freezes`);
      portal.signal("SIGSTOP");
      await sleep(freezeMilliseconds);
      portal.signal("SIGCONT");
      record.add(`${portal.name}: wakes`);
    }
  }
  await sleep(3000);
  clearInterval(timer);
  await balances.stop();
  await sleep(4000);

  const ran = new Set(
    endpoints.flatMap((each) => each.runs.map(({ attemptId }) => attemptId)),
  );
  return transfers.filter(({ id, status }) =>
    [408, 421, 429, 503].includes(status) && ran.has(id)
  ).map(({ id, status }) => `REFUSED: ${id} ran; its client got ${status}`);
});
