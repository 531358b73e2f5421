import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { waitFor } from "../../tests/support/http_call.ts";
import { BodyMemoryBudget } from "./body_memory_budget.ts";
import { ConnectionPool } from "./connection_pool.ts";
import { Exchange } from "./exchange.ts";

/** A target that writes raw bytes as the response to each request. */
interface RawTarget {
  readonly pool: ConnectionPool;
  readonly sockets: Socket[];
}

async function startRawTarget(
  context: TestContext,
  respond: (socket: Socket) => void,
): Promise<RawTarget> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.on("data", () => respond(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const pool = new ConnectionPool({ host: "127.0.0.1", port, limit: 4 });
  context.after(() => {
    pool.close();
    sockets.forEach((each) => each.destroy());
    server.close();
  });
  return { pool, sockets };
}

/** Sends a request and resolves with the body, or with the kind of the error. */
function send(pool: ConnectionPool): Promise<string> {
  return new Promise((resolve) => {
    const memory = new BodyMemoryBudget();
    new Exchange({
      method: "GET",
      path: "/",
      headers: ["Host", "target"],
      body: Buffer.alloc(0),
      source: undefined,
    }, {
      pool,
      memory,
      buffersResponse: true,
      events: {
        onBufferedResponse: (_head, body) => {
          memory.release(body.length);
          resolve(body.toString());
        },
        onStreamedResponse: (_head, response) => {
          response.resume();
          response.on("error", () => {});
          response.on("close", () => resolve("streamed"));
        },
        onError: (error) => resolve(error),
      },
    });
  });
}

const head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

const surplusCases = [
  { name: "bytes that are no response", surplus: "surplus" },
  { name: "a second response", surplus: `${head}copy` },
  { name: "a response that is cut", surplus: "HTTP/1.1 200 OK\r\nConte" },
  { name: "line breaks and bytes", surplus: "\r\n\r\n\0\0" },
];

// Guards against a complete response that is lost because of the bytes behind
// it, and against such bytes that reach the next call.
for (const { name, surplus } of surplusCases) {
  for (const delay of [0, 30]) {
    test(`${name}, ${delay} ms after a response, do not change it or the next one`, async (context) => {
      const bodies = ["own1", "own2"];
      const { pool, sockets } = await startRawTarget(context, (socket) => {
        const response = head + bodies.shift();
        if (delay === 0) {
          socket.write(response + surplus);
        } else {
          socket.write(response);
          setTimeout(() => socket.write(surplus), delay);
        }
      });
      assert.equal(await send(pool), "own1");
      await waitFor(() => sockets[0]?.destroyed === true);
      assert.equal(await send(pool), "own2");
    });
  }
}

const endlessCases = [
  { name: "a status line", start: "HTTP/1.1 200 O", part: "K" },
  { name: "a header", start: "HTTP/1.1 200 OK\r\nX-A: ", part: "a" },
  { name: "headers", start: "HTTP/1.1 200 OK\r\n", part: "X-A: a\r\n" },
  {
    name: "interim responses",
    start: "",
    part: "HTTP/1.1 102 Processing\r\n\r\n",
  },
  {
    name: "a chunk extension",
    start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=",
    part: "b",
  },
  {
    name: "trailers",
    start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    part: "X-A: a\r\n",
  },
  { name: "junk", start: "", part: "\0junk" },
];

/** More than the socket buffers of both sides hold, below what a second takes. */
const maximumAcceptedBytes = 20_000_000;

// Guards against a target that sends without end and so keeps a node busy.
for (const { name, start, part } of endlessCases) {
  test(`${name} without end closes the connection`, async (context) => {
    const block = Buffer.from(part.repeat(Math.ceil(8192 / part.length)));
    let bytes = 0;
    const { pool, sockets } = await startRawTarget(context, (socket) => {
      socket.write(start);
      const write = (): void => {
        while (!socket.destroyed && socket.write(block)) {
          bytes += block.length;
        }
      };
      socket.on("drain", write);
      write();
    });
    assert.match(await send(pool), /^(reset|incomplete)$/);
    await waitFor(() => sockets[0]?.destroyed === true);
    assert.ok(bytes < maximumAcceptedBytes, `${bytes} bytes were accepted`);
  });
}

// Guards against a call that waits until its deadline for a closed connection.
test("a response that switches protocols fails at once", async (context) => {
  const { pool, sockets } = await startRawTarget(context, (socket) => {
    socket.write(
      "HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
    );
  });
  assert.equal(await send(pool), "incomplete");
  await waitFor(() => sockets[0]?.destroyed === true);
});
