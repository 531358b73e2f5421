import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { createServer, request } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "node:test";
import { ConnectionPool } from "./connection_pool.ts";

/** Sends a request over a pool. Resolves with the status or the error code. */
function send(pool: ConnectionPool): Promise<number | string | undefined> {
  return new Promise((resolve) => {
    const outgoing = request({
      agent: pool as never,
      host: pool.host,
      port: pool.port,
    }, (response) => {
      response.resume();
      response.on("end", () => resolve(response.statusCode));
    });
    outgoing.on("error", (error: NodeJS.ErrnoException) => resolve(error.code));
    outgoing.end();
  });
}

/**
 * Starts a process that listens but is suspended. Once its backlog is full, the
 * system does not respond to further connections, like a machine without power.
 */
async function startSuspendedListener(): Promise<
  { process: ChildProcess; port: number }
> {
  const program = `const server = require("node:net").createServer();
server.listen({ host: "127.0.0.1", port: 0, backlog: 1 }, () => {
  process.stdout.write(String(server.address().port) + "\\n");
});`;
  const child = spawn(process.execPath, ["-e", program], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  const port = await new Promise<number>((resolve) =>
    child.stdout?.once("data", (bytes) => resolve(Number(String(bytes))))
  );
  child.kill("SIGSTOP");
  return { process: child, port };
}

// Guards against a connect timeout that leaves no time for a second target. An
// outgoing call of a target has a deadline of 700 ms; with a timeout of 500 ms
// for a machine without power, no other target could respond in time.
test("a machine that does not respond leaves time for a second target", async (context) => {
  const listener = await startSuspendedListener();
  const fillers: Socket[] = [];
  context.after(() => {
    fillers.forEach((each) => each.destroy());
    listener.process.kill("SIGKILL");
  });
  for (let index = 0; index < 8; index++) {
    fillers.push(connect(listener.port, "127.0.0.1").on("error", () => {}));
  }
  await new Promise((resolve) => setTimeout(resolve, 100));
  const pool = new ConnectionPool({
    host: "127.0.0.1",
    port: listener.port,
    limit: 4,
  });
  context.after(() => pool.close());
  const start = performance.now();
  assert.equal(await send(pool), "ETIMEDOUT");
  const elapsed = performance.now() - start;
  assert.ok(elapsed < 350, `${elapsed} ms are half of the deadline of a call`);
});

// Guards against a connect timeout for a connection that was established while
// the event loop was blocked.
test("a blocked event loop does not time out an established connection", async (context) => {
  const server = createServer((_, response) => response.end());
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const pool = new ConnectionPool({ host: "127.0.0.1", port, limit: 4 });
  context.after(() => {
    pool.close();
    server.close();
  });
  const answered = send(pool);
  await new Promise((resolve) => process.nextTick(resolve));
  const end = performance.now() + 700;
  while (performance.now() < end) {
    // Blocks the event loop.
  }
  assert.equal(await answered, 200);
});
