// Two endpoints of a service crash at the same moment, while they run requests of
// many members with the same path. They are back after some seconds.
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  createAttemptId,
  createManifest,
  createPath,
  Endpoint,
  Fleet,
  Record,
  request,
  sleep,
} from "../lib-2/fleet.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== "0";
const record = new Record(join(folder, "record.txt"));
const fleet = new Fleet({ repository: join(folder, "../.."), record });
fleet.seeds = [1];
const host = "pay.example";
const portals = Array.from({ length: 14 }, (_, index) => 11 + index);
const registers = [31, 32, 33, 34];
/** 2 of 14 endpoints, a share of 0.143. */
const crashed = [portals[0], portals[1]];
const downMs = 4000;
const requestsPerSecond = { sold: 240, lista: 240 };
const beforeMs = 3000;
const watchMs = 45_000;
let exitCode = 2;

/** Requests by their kind, with the time since the crash. */
const requests = [];

/** Sends one request, and once more after a refusal, as the clients do. */
async function act(kind, path) {
  const all = [...portals, ...registers];
  const machine = all[Math.floor(Math.random() * all.length)];
  const member = Math.floor(Math.random() * 1e6);
  const entry = { kind, sentAt: performance.now(), status: undefined };
  requests.push(entry);
  for (let attempt = 0; attempt < 2; attempt++) {
    const id = createAttemptId();
    const answer = await request({
      host: fleet.ip(machine),
      port: fleet.ports.outbound,
      method: "GET",
      path,
      headers: {
        Host: host,
        Cookie: `member=${member}`,
        "X-Attempt-Id": id,
        "X-Deadline-Ms": "5000",
      },
      limit: 5000,
    });
    entry.status = answer.status;
    record.add(
      `client ${id} GET ${path} (member ${member}) at machine ${machine}: ${
        answer.status ?? answer.error
      } ${answer.status === 200 ? "" : answer.body?.toString("latin1") ?? ""}`,
    );
    if (answer.status === 200) {
      return;
    }
    await sleep(Math.min(1500, 1000 * Number(answer.headers?.["retry-after"] ?? 0.3)));
  }
}

function startTraffic() {
  let count = 0;
  const timers = [
    setInterval(
      () => void act("sold", "/sold/mine"),
      1000 / requestsPerSecond.sold,
    ),
    setInterval(
      () => void act("lista", `/lista/${count++}`),
      1000 / requestsPerSecond.lista,
    ),
  ];
  return () => timers.forEach(clearInterval);
}

function getServedShare(chosen) {
  return chosen.filter(({ status }) => status === 200).length / chosen.length;
}

try {
  fleet.start(1, { bootstrap: true });
  const endpoints = new Map();
  for (const machine of [...portals, ...registers]) {
    const service = portals.includes(machine) ? "portal" : "register";
    fleet.start(machine, { bootstrap: true, service });
    const endpoint = new Endpoint(fleet, machine, { service, workMs: 220 });
    endpoints.set(machine, endpoint);
    await endpoint.start();
  }
  const first = await fleet.replace(
    [1],
    createManifest({
      version: "r1",
      baseVersion: "r0",
      services: ["portal", "register"],
      hosts: [{
        host,
        paths: [
          createPath("portal", "/sold/"),
          createPath("register", "/lista/"),
        ],
      }],
    }),
  );
  for (const machine of endpoints.keys()) {
    await fleet.whenReady(machine);
  }
  await sleep(6000);
  const stop = startTraffic();
  await sleep(beforeMs);
  const crashedAt = performance.now();
  if (hasTrouble) {
    record.add(`endpoints of machines ${crashed.join(" and ")} crash`);
    crashed.forEach((machine) => endpoints.get(machine).close());
    await sleep(downMs);
    for (const machine of crashed) {
      const endpoint = new Endpoint(fleet, machine, {
        service: "portal",
        workMs: 220,
      });
      await endpoint.start();
    }
    record.add("the endpoints are back");
  }
  await sleep(watchMs - downMs);
  stop();
  await sleep(6000);
  const sold = requests.filter(({ kind }) => kind === "sold");
  const late = sold.filter(({ sentAt }) => sentAt > crashedAt + 10_000);
  const shares = { all: getServedShare(requests), sold: getServedShare(sold) };
  const summary =
    `${requests.length} requests, served ${shares.all.toFixed(3)} of all, ${
      shares.sold.toFixed(3)
    } of ${sold.length} of the kind "sold"; of the ${late.length} sent more than 10 s after the crash: ${
      getServedShare(late).toFixed(3)
    }`;
  record.add(summary);
  console.log(summary);
  if (first === 200) {
    exitCode = shares.sold < shares.all / 4 ? 1 : 0;
  }
} finally {
  await fleet.close();
}
process.exit(exitCode === 1 ? 10 : exitCode);
