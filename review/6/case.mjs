// A heartbeat of another writer, whose `born` is no whole number, reaches a node.
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  createManifest,
  createPath,
  Endpoint,
  Fleet,
  Record,
  send,
  sleep,
} from "../lib-2/fleet.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== "0";
const record = new Record(join(folder, "record.txt"));
const fleet = new Fleet({ repository: join(folder, "../.."), record });
const cores = [1, 2, 3];
const nodes = [[11, "alpha"], [12, "beta"], [13, "alpha"]];
const configApplyMs = 2000;
let exitCode = 2;

function createVersion(version, baseVersion, service) {
  return createManifest({
    version,
    baseVersion,
    services: ["alpha", "beta"],
    hosts: [{ host: "pay.example", paths: [createPath(service, "/p/")] }],
  });
}

async function sendAtAll(count) {
  const answers = [];
  for (let turn = 0; turn < count; turn++) {
    for (const [machine] of nodes) {
      const answer = await send(fleet, machine, {
        host: "pay.example",
        path: `/p/${turn}`,
      });
      answers.push({ machine, ...answer });
    }
    await sleep(250);
  }
  return answers;
}

try {
  for (const machine of cores) {
    fleet.start(machine, { bootstrap: true });
  }
  const endpoints = new Map();
  for (const [machine, service] of nodes) {
    fleet.start(machine, { bootstrap: true, service });
    const endpoint = new Endpoint(fleet, machine, { service });
    endpoints.set(machine, endpoint);
    await endpoint.start();
  }
  const first = await fleet.replace(cores, createVersion("r1", "r0", "alpha"));
  for (const [machine] of nodes) {
    await fleet.whenReady(machine);
  }
  await sleep(5000);
  const before = await sendAtAll(3);
  if (first === 200 && before.every(({ status }) => status === 200)) {
    if (hasTrouble) {
      const { heartbeat } = endpoints.get(11);
      const born = Date.now() + 0.25;
      const body = JSON.stringify({ ...heartbeat, seq: 1, born });
      const { status } = await fleet.call(
        11,
        "POST",
        "/api/Instances.Heartbeat/other-writer",
        body,
      );
      record.add(`heartbeat of another writer to machine 11: ${status} ${body}`);
    }
    await sleep(5000);
    const second = await fleet.replace(
      cores,
      createVersion("r2", "r1", "beta"),
    );
    const acknowledgedAt = performance.now();
    await sleep(2 * configApplyMs + 1000);
    const after = await sendAtAll(30);
    const isReady = await fleet.whenReady(11, 2000);
    const runs = [...endpoints.values()].flatMap((each) => each.runs);
    const outdated = after.filter(({ id, sentAt }) =>
      sentAt > acknowledgedAt + configApplyMs &&
      runs.some((run) => run.attemptId === id && run.service === "alpha")
    );
    const summary = `${after.length} requests sent more than ${
      (configApplyMs / 1000).toFixed(0)
    } s after the acknowledgement of r2: ${
      after.filter(({ status }) => status === 200).length
    } answered 200, ${outdated.length} run by the service of r1 (at machines ${
      [...new Set(outdated.map(({ machine }) => machine))].join(", ") || "none"
    }); machine 11 is ${isReady ? "" : "not "}ready`;
    record.add(summary);
    console.log(summary);
    if (second === 200) {
      exitCode = outdated.length > 0 ? 1 : 0;
    }
  }
} finally {
  await fleet.close();
}
process.exit(exitCode === 1 ? 10 : exitCode);
