// An endpoint that sheds some requests sends the second copy of such an answer
// late, where the next answer of the connection is expected.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Clients } from "../lib/clients.mjs";
import { Endpoint } from "../lib/endpoint.mjs";
import { createManifest, sleep } from "../lib/installation.mjs";
import { runCase } from "../lib/run_case.mjs";

// Limits of the pages: srv_grey (shed) x 0.45; garble (extra late) x 0.03 for
// 5 s at a time. A node sends few requests again, so a low share is shed.
const shedShare = 0.06;
const copyShare = 0.03;
const windowMilliseconds = 5000;
const windowCount = 5;
const pauseMilliseconds = 1500;

await runCase(dirname(fileURLToPath(import.meta.url)), {
  services: ["portal", "treasury"],
}, async ({ installation, record, hasTrouble }) => {
  const [portal, treasury] = installation.nodes;
  let isFaulty = false;
  let answers = 0;
  let copies = 0;
  /** Copies that are sent when the next request has arrived, by connection. */
  const pendingCopies = new WeakMap();
  const endpoint = new Endpoint(installation, treasury, {
    slots: 36,
    places: 72,
    workMilliseconds: 290,
    onRequest(request, response) {
      const { socket } = request;
      const copy = pendingCopies.get(socket);
      pendingCopies.delete(socket);
      if (copy !== undefined) {
        setTimeout(() => {
          if (!response.writableEnded && !socket.destroyed) {
            record.add(`endpoint ${treasury.name}: late copy of ${copy.what}`);
            socket.write(copy.bytes);
          }
        }, 20);
      }
      if (!isFaulty) {
        return false;
      }
      answers++;
      if (Math.random() >= shedShare) {
        return false;
      }
      const attemptId = String(request.headers["x-attempt-id"]);
      endpoint.reject(request, response);
      if (copies + 1 <= answers * copyShare) {
        copies++;
        pendingCopies.set(socket, {
          what: `the rejection of ${attemptId}`,
          bytes: "HTTP/1.1 503 Service Unavailable\r\n" +
            `X-Attempt-Id: ${attemptId}\r\nX-Not-Executed: 1\r\n` +
            "Content-Length: 0\r\n\r\n",
        });
      }
      return true;
    },
  });
  const portalEndpoint = new Endpoint(installation, portal, { slots: 36 });
  installation.startAll();
  await endpoint.start();
  await portalEndpoint.start();
  await installation.putManifest(createManifest({
    version: 3,
    base: 0,
    services: ["portal", "treasury"],
    routes: [{
      pathPrefix: "/transfer/",
      kind: "unsafe",
      service: "treasury",
      maxAttempts: 3,
    }],
  }));
  await installation.whenReady();
  // Heartbeats of both endpoints, and contactS.
  await sleep(3500);
  const clients = new Clients(record, {
    machine: portal,
    method: "POST",
    path: "/transfer/7",
    perSecond: 27.6,
    deadlineMilliseconds: 5000,
    keepsConnections: false,
  });
  clients.start();
  for (let index = 0; index < windowCount; index++) {
    await sleep(pauseMilliseconds);
    isFaulty = hasTrouble;
    await sleep(windowMilliseconds);
    isFaulty = false;
  }
  await sleep(pauseMilliseconds);
  await clients.stop();
  await sleep(2000);
  record.add(`${answers} answers in the windows, ${copies} second copies`);

  const runs = Map.groupBy?.(endpoint.runs, (each) => each.attemptId) ??
    endpoint.runs.reduce(
      (map, each) =>
        map.set(each.attemptId, [...(map.get(each.attemptId) ?? []), each]),
      new Map(),
    );
  const broken = [];
  for (const { id, status } of clients.requests) {
    const count = runs.get(id)?.length ?? 0;
    if (count > 1) {
      broken.push(`TWICE: ${id} ran ${count} times; its client got ${status}`);
    }
    if (count > 0 && [408, 421, 429, 503].includes(status)) {
      broken.push(`REFUSED: ${id} ran; its client got ${status}`);
    }
  }
  return broken;
});
