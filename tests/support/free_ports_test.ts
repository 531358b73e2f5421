import assert from "node:assert/strict";
import { test } from "node:test";
import { Worker } from "node:worker_threads";
import { getFreePorts } from "./free_ports.ts";

// Guards against two processes that get the same port before either binds it.
// Workers share the process id, but not the ranges of a module.
test("tests that search at the same time get different ports", async () => {
  const code = `
    import { parentPort, workerData } from "node:worker_threads";
    const { getFreePorts } = await import(workerData);
    parentPort.postMessage(await getFreePorts(60));
    setTimeout(() => {}, 2000);
  `;
  const url = new URL("./free_ports.js", import.meta.url).href;
  const workers = [1, 2, 3].map(() =>
    new Worker(new URL(`data:text/javascript,${encodeURIComponent(code)}`), {
      workerData: url,
    })
  );
  const found = await Promise.all([
    getFreePorts(150),
    ...workers.map((worker) =>
      new Promise<number[]>((resolve, reject) => {
        worker.once("message", resolve);
        worker.once("error", reject);
      })
    ),
  ]);
  await Promise.all(workers.map((worker) => worker.terminate()));
  const ports = found.flat();
  assert.equal(ports.length, 330);
  assert.equal(new Set(ports).size, ports.length);
});
