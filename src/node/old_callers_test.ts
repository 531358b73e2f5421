import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { waitFor } from "../../tests/support/http_call.ts";
import {
  type RawHandler,
  type RawPath,
  startRawPath,
} from "../../tests/support/raw_path.ts";

const small = "x".repeat(1000);
const large = "x".repeat(300_000);

/** What a caller saw until its connection ended. */
interface Received {
  readonly head: string;
  readonly body: string;
  readonly end: "regular" | "reset";
}

/** Starts a request of HTTP/1.0. */
function openCaller(
  context: TestContext,
  { call }: RawPath,
  request = "GET /views/1",
  headers = "",
): { socket: Socket; received: Promise<Received> } {
  const options = { host: "127.0.0.1", port: call.port, allowHalfOpen: true };
  const socket = connect(options);
  context.after(() => socket.destroy());
  let bytes = "";
  socket.setEncoding("latin1");
  socket.on("data", (data: string) => bytes += data);
  const received = new Promise<Received>((resolve) => {
    const finish = (end: Received["end"]): void => {
      const split = bytes.indexOf("\r\n\r\n") + 4;
      resolve({ head: bytes.slice(0, split), body: bytes.slice(split), end });
    };
    socket.on("end", () => {
      if (socket.writableEnded) {
        finish("regular");
        return;
      }
      // libuv reports a reset behind the last bytes as a regular end.
      socket.write("", (error) => finish(error ? "reset" : "regular"));
      socket.end();
    });
    socket.on("error", () => finish("reset"));
  });
  socket.write(`${request} HTTP/1.0\r\nHost: ${call.headers.Host}\r\n`);
  socket.write(`${headers}\r\n`);
  return { socket, received };
}

/** Checks whether a body is as long as its head says, or ends regularly. */
function seemsComplete({ head, body, end }: Received): boolean {
  const length = /^content-length: (\d+)/im.exec(head)?.[1];
  return end === "regular" &&
    (length === undefined || body.length === Number(length));
}

const ok = "HTTP/1.1 200 OK\r\n";
const chunked = `${ok}Transfer-Encoding: chunked\r\n\r\n`;

function encodeChunk(body: string): string {
  return `${body.length.toString(16)}\r\n${body}\r\n`;
}

const framings: { name: string; encode(body: string): string }[] = [
  {
    name: "in chunks",
    encode: (body) => `${chunked}${encodeChunk(body)}0\r\n\r\n`,
  },
  { name: "without length", encode: (body) => `${ok}\r\n${body}` },
  {
    name: "with a length",
    encode: (body) => `${ok}Content-Length: ${body.length}\r\n\r\n${body}`,
  },
];
const requests = [
  { name: "", request: "GET /views/1", headers: "" },
  { name: " not buffered", request: "POST /plain", headers: "" },
  {
    name: " with a kept connection",
    request: "GET /views/1",
    headers: "Connection: keep-alive\r\n",
  },
  { name: " with TE", request: "GET /views/1", headers: "TE: chunked\r\n" },
];
const sizes = [{ size: "small", body: small }, { size: "large", body: large }];

for (const nodeCount of [1, 2]) {
  for (const { name, request, headers } of requests) {
    for (const { name: framing, encode } of framings) {
      for (const { size, body } of sizes) {
        test(`a caller of HTTP/1.0${name} gets a ${size} body ${framing} through ${nodeCount} nodes without chunks`, async (context) => {
          const path = await startRawPath(
            context,
            nodeCount,
            (socket) => socket.end(encode(body)),
          );
          const { received } = openCaller(context, path, request, headers);
          const response = await received;
          assert.match(response.head, /^HTTP\/1\.1 200 /);
          assert.doesNotMatch(response.head, /transfer-encoding/i);
          assert.equal(response.body, body);
          assert.ok(seemsComplete(response));
        });
      }
    }
  }
}

const breaks: { name: string; handler: RawHandler }[] = [
  {
    name: "closes within chunks",
    handler: (socket) => socket.end(chunked + encodeChunk(large)),
  },
  {
    name: "closes within chunks later",
    handler: (socket) => {
      socket.write(chunked + encodeChunk(large));
      setTimeout(() => socket.end(), 50);
    },
  },
  {
    name: "resets a body without length",
    handler: (socket) => {
      socket.write(`${ok}\r\n${large}`);
      setTimeout(() => socket.resetAndDestroy(), 50);
    },
  },
  {
    name: "closes within its length",
    handler: (socket) =>
      socket.end(`${ok}Content-Length: ${2 * large.length}\r\n\r\n${large}`),
  },
  {
    name: "sends an invalid chunk",
    handler: (socket) => socket.write(`${chunked}${encodeChunk(large)}z\r\n`),
  },
];

for (const nodeCount of [1, 2]) {
  for (const { name, handler } of breaks) {
    // Guards against a part of a body that an HTTP/1.0 caller takes for all of it.
    test(`a response to HTTP/1.0 does not seem complete through ${nodeCount} nodes when the target ${name}`, async (context) => {
      const path = await startRawPath(context, nodeCount, handler);
      const response = await openCaller(context, path).received;
      assert.ok(
        !seemsComplete(response) || response.head.startsWith("HTTP/1.1 502"),
        `${response.head}${response.body.length} bytes`,
      );
      const { origin, last } = path;
      await waitFor(() => origin.node.callCount + last.node.callCount === 0);
    });
  }
}

const ends: {
  name: string;
  end(socket: Socket, path: RawPath): Promise<unknown> | void;
}[] = [
  {
    name: "the node stops",
    end: (_, { origin }) => origin.node.stop({ limitMilliseconds: 100 }),
  },
  {
    name: "the listener closes at once",
    end: (_, { origin }) => origin.node.outside.closeImmediately(),
  },
  {
    name: "the caller closes its direction",
    end: (socket) => void socket.end(),
  },
];

for (const nodeCount of [1, 2]) {
  for (const { name, end } of ends) {
    test(`a response to HTTP/1.0 does not seem complete through ${nodeCount} nodes when ${name}`, async (context) => {
      const path = await startRawPath(context, nodeCount, (socket) => {
        socket.write(chunked + encodeChunk(large));
      });
      const { socket, received } = openCaller(context, path);
      await waitFor(() => socket.bytesRead > large.length);
      await end(socket, path);
      assert.equal((await received).end, "reset");
      const { origin, last } = path;
      await waitFor(() => origin.node.callCount + last.node.callCount === 0);
    });
  }
}
