// An endpoint spoils some of its answers: one line of the head has no name.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Clients } from "../lib/clients.mjs";
import { Endpoint } from "../lib/endpoint.mjs";
import { createManifest, sleep } from "../lib/installation.mjs";
import { runCase } from "../lib/run_case.mjs";

// Limits of the pages: garble x 0.02 for 5.5 s at a time.
const spoiledShare = 0.02;
const windowMilliseconds = 5500;
const windowCount = 4;
const pauseMilliseconds = 1500;

const timeoutSeconds = 1.2;
/** Time after the timeout of a route by which the final answer is due. */
const answerSeconds = 0.5;

await runCase(dirname(fileURLToPath(import.meta.url)), {
  services: ["portal", "treasury", "portal"],
}, async ({ installation, record, hasTrouble }) => {
  const [portal, treasury, otherPortal] = installation.nodes;
  let isFaulty = false;
  let answers = 0;
  let spoiled = 0;
  const spoiledIds = new Set();
  const faulty = new Endpoint(installation, portal, {
    slots: 36,
    places: 72,
    workMilliseconds: 220,
    onRequest(request, response) {
      const attemptId = String(request.headers["x-attempt-id"]);
      faulty.run(request, response, (body) => {
        const lines = Object.entries({
          ...faulty.createHead(attemptId),
          "Content-Length": Buffer.byteLength(body),
        }).map(([name, value]) => `${name}: ${value}\r\n`);
        answers += isFaulty ? 1 : 0;
        if (isFaulty && spoiled + 1 <= answers * spoiledShare) {
          spoiled++;
          spoiledIds.add(attemptId);
          record.add(`endpoint ${portal.name}: spoils the answer ${attemptId}`);
          lines.push(": 1\r\n");
          request.socket.write(
            `HTTP/1.1 200 OK\r\n${lines.join("")}\r\n${body}`,
          );
          request.socket.destroySoon();
          return;
        }
        response.writeHead(200, {
          ...faulty.createHead(attemptId),
          "Content-Length": Buffer.byteLength(body),
        });
        response.end(body);
      });
      return true;
    },
  });
  const sound = new Endpoint(installation, treasury, {
    slots: 36,
    places: 72,
    workMilliseconds: 290,
  });
  const otherSound = new Endpoint(installation, otherPortal, {
    slots: 36,
    places: 72,
    workMilliseconds: 220,
  });
  installation.startAll();
  for (const endpoint of [faulty, sound, otherSound]) {
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
      timeoutS: timeoutSeconds,
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
    perSecond: 65,
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
  for (let index = 0; index < windowCount; index++) {
    await sleep(pauseMilliseconds);
    isFaulty = hasTrouble;
    await sleep(windowMilliseconds);
    isFaulty = false;
  }
  await sleep(pauseMilliseconds);
  await Promise.all([balances.stop(), transfers.stop()]);
  record.add(`${answers} answers in the windows, ${spoiled} spoiled`);

  const broken = [];
  // CONFIG: requests that last longer than timeoutS and have no final answer
  // half a second later, while the process runs.
  const late = balances.requests.filter(({ sentSeconds, endSeconds }) =>
    endSeconds - sentSeconds > timeoutSeconds
  );
  const unanswered = late.filter(({ sentSeconds, endSeconds, status }) =>
    status === undefined &&
    endSeconds - sentSeconds > timeoutSeconds + answerSeconds
  );
  if (unanswered.length >= 8 && unanswered.length > late.length / 4) {
    broken.push(
      `CONFIG: ${unanswered.length} of ${late.length} requests that lasted ` +
        `longer than timeoutS had no answer ${answerSeconds} s after it, such ` +
        `as ${unanswered[0].id}`,
    );
  }
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
