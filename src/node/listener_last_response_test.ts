import assert from "node:assert/strict";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { waitFor } from "../../tests/support/http_call.ts";
import { HttpListener } from "./http_listener.ts";

const headersMilliseconds = 300;
/** Longer than the interval at which Node.js looks for late requests. */
const pauseMilliseconds = 1500;
/** Time in which a request that was passed on would reach the handler. */
const settlingMilliseconds = 200;

const head = "POST /late HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n";

interface Connection {
  readonly paths: readonly (string | undefined)[];
  getReceived(): string;
  write(bytes: string): void;
}

/**
 * Opens a connection to a listener whose handler answers every request, and waits
 * for the responses to earlier requests on it.
 */
async function openConnection(
  context: TestContext,
  earlier: { bytes: string; paths: readonly string[] },
): Promise<Connection> {
  const paths: (string | undefined)[] = [];
  const listener = new HttpListener({
    endpoint: { host: "127.0.0.1", port: 0 },
    handle: (request, response) => {
      paths.push(request.url);
      request.resume();
      response.end("done");
    },
    headersMilliseconds,
  });
  await listener.listen();
  context.after(() => listener.closeImmediately());
  const socket = connect(listener.port, "127.0.0.1");
  context.after(() => socket.destroy());
  let received = "";
  socket.on("error", () => {});
  socket.on("data", (chunk) => received += chunk);
  await new Promise((resolve) => socket.once("connect", resolve));
  socket.write(earlier.bytes);
  await waitFor(() =>
    received.split("done").length === earlier.paths.length + 1
  );
  return {
    paths,
    getReceived: () => received,
    write: (bytes) => void socket.write(bytes),
  };
}

/** Blocks the process, as a machine that stands still does. */
function pauseProcess(): void {
  Atomics.wait(
    new Int32Array(new SharedArrayBuffer(4)),
    0,
    0,
    pauseMilliseconds,
  );
}

const earlierRequests = [
  { name: "on a new connection", bytes: "", paths: [] },
  {
    name: "on a kept connection",
    bytes: "GET /before HTTP/1.1\r\nHost: a\r\n\r\n",
    paths: ["/before"],
  },
];

const refusals = [
  { name: "no byte", first: "", second: `${head}body`, status: 408 },
  {
    name: "a part of the request line",
    first: "POST /la",
    second: "te HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
    status: 408,
  },
  {
    name: "a head without its last line",
    first: head.slice(0, -2),
    second: "\r\nbody",
    status: 408,
  },
  {
    name: "bytes that are not HTTP",
    first: "\0\r\n",
    second: head,
    status: 400,
  },
  {
    name: "a request without Host",
    first: "GET /wrong HTTP/1.1\r\n\r\n",
    second: head,
    status: 400,
  },
  {
    name: "too large headers",
    first: `GET / HTTP/1.1\r\nx: ${"x".repeat(20_000)}\r\n\r\n`,
    second: head,
    status: 431,
  },
];

for (const earlier of earlierRequests) {
  for (const { name, first, second, status } of refusals) {
    if (earlier.bytes !== "" && first === "") {
      // An idle connection is closed without a response.
      continue;
    }
    // Guards against a request that runs after its caller was told that it was
    // not read, and sent it again.
    test(`nothing is passed on behind the ${status} to ${name} ${earlier.name}`, async (context) => {
      const { paths, getReceived, write } = await openConnection(
        context,
        earlier,
      );
      if (first !== "") {
        write(first);
      }
      await waitFor(() => getReceived().includes(`HTTP/1.1 ${status} `));
      write(second);
      await new Promise((resolve) => setTimeout(resolve, settlingMilliseconds));
      assert.deepEqual(paths, earlier.paths);
      assert.equal(
        getReceived().split("HTTP/1.1 ").length - 1,
        earlier.paths.length + 1,
      );
    });
  }

  for (
    const { name, first, second } of [
      { name: "the whole request", first: "", second: `${head}body` },
      {
        name: "the rest of its head",
        first: head.slice(0, -2),
        second: "\r\nbody",
      },
    ]
  ) {
    // Guards against a refusal of a request that had arrived in time, and against
    // its run after the refusal.
    test(`a process that stood still reads ${name} before it finds the request late ${earlier.name}`, async (context) => {
      const { paths, getReceived, write } = await openConnection(
        context,
        earlier,
      );
      if (first !== "") {
        write(first);
        await new Promise((resolve) => setTimeout(resolve, 50));
      }
      write(second);
      pauseProcess();
      await waitFor(() => paths.length === earlier.paths.length + 1);
      await waitFor(() =>
        getReceived().split("done").length === paths.length + 1
      );
      assert.deepEqual(paths, [...earlier.paths, "/late"]);
      assert.doesNotMatch(getReceived(), /HTTP\/1\.1 4/);
    });
  }
}
