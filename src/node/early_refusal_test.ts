import assert from "node:assert/strict";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { FakeLedger } from "../../tests/support/fake_ledger.ts";
import { sendCall } from "../../tests/support/http_call.ts";
import { startPair, type TestPair } from "../../tests/support/test_pair.ts";
import { testDocument } from "../../tests/support/test_node.ts";

const transfer = "POST /transfers HTTP/1.1\r\nHost: front\r\n";
const body = "Content-Length: 8\r\nConnection: close\r\n\r\namount=5";

/** A request that a node refuses before it knows the call. */
interface RefusedRequest {
  readonly name: string;
  /** Makes the node refuse requests that another node accepts. */
  prepare?(pair: TestPair): void;
  readonly document?: string;
  readonly to?: "loopback";
  /** Bytes in front of the key. */
  readonly head: string;
  /** Bytes behind the key. */
  readonly rest: string;
  /** Status, and the reason in the response. */
  readonly expected: readonly [status: string, reason: string];
}

const refusedRequests: readonly RefusedRequest[] = [
  {
    name: "without a document",
    prepare: ({ node }) => node.state.view = undefined,
    head: transfer,
    rest: body,
    expected: ["503", "no-target"],
  },
  {
    name: "with a document that does not have the route yet",
    document: testDocument.replace('path = "/transfers"', 'path = "/older"'),
    head: transfer,
    rest: body,
    expected: ["404", "unknown-route"],
  },
  {
    name: "for a path that it does not accept",
    head: "POST /a/../transfers HTTP/1.1\r\nHost: front\r\n",
    rest: body,
    expected: ["400", "malformed-request"],
  },
  {
    name: "that belongs to a call that has ended",
    to: "loopback",
    head: `${transfer}dogwoodwalk-request: ended\r\n`,
    rest: body,
    expected: ["499", "cancelled"],
  },
  {
    name: "without Host",
    head: "POST /transfers HTTP/1.1\r\n",
    rest: body,
    expected: ["400", "malformed-request"],
  },
];

const unreadableRequests: readonly {
  readonly name: string;
  readonly bytes: string;
  readonly expected: string;
}[] = [
  {
    name: "whose headers are too large",
    bytes: `${transfer}X: ${"x".repeat(20_000)}\r\n${body}`,
    expected: "431 unknown too-large",
  },
  {
    name: "whose headers do not arrive in time",
    bytes: transfer,
    expected: "408 unknown malformed-request",
  },
  {
    name: "with an invalid header",
    bytes: `${transfer}no header\r\n${body}`,
    expected: "400 unknown malformed-request",
  },
];

/** Sends bytes on a new connection, and reads until it ends. */
function sendBytes(port: number, bytes: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, "127.0.0.1", () => socket.write(bytes));
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    socket.on("end", () => resolve(received));
    socket.on("error", reject);
  });
}

/** Gets the status, disposition and reason of a response. */
function getOutcome(response: string): string {
  const getHeader = (name: string) =>
    new RegExp(`dogwoodwalk-${name}: (.*)\r\n`).exec(response)?.[1];
  return `${response.slice(9, 12)} ${getHeader("disposition")} ${
    getHeader("reason")
  }`;
}

/** Starts a node at which the key `k1` ran, and one that refuses requests. */
async function startPairs(
  context: TestContext,
  { prepare, document }: Pick<RefusedRequest, "prepare" | "document">,
): Promise<TestPair> {
  const ledger = new FakeLedger();
  const first = await startPair("front-1", { ledger });
  const second = await startPair("front-2", {
    ledger,
    headersMilliseconds: 300,
    ...(document !== undefined && { document }),
  });
  context.after(() => Promise.all([first.close(), second.close()]));
  const ran = await sendCall({
    port: first.outside,
    method: "POST",
    path: "/transfers",
    headers: { "Idempotency-Key": "k1" },
    body: "amount=5",
  });
  assert.equal(ran.status, 200);
  prepare?.(second);
  return second;
}

for (const refused of refusedRequests) {
  const { name, to = "outside", head, rest, expected } = refused;
  const [status, reason] = expected;
  test(`a node does not call a transfer that ran elsewhere not-run when it refuses a resend ${name}`, async (context) => {
    const { node } = await startPairs(context, refused);
    const send = async (key: string) =>
      getOutcome(await sendBytes(node[to].port, head + key + rest));
    assert.equal(
      await send("Idempotency-Key: k1\r\n"),
      `${status} unknown ${reason}`,
    );
    assert.equal(await send(""), `${status} not-run ${reason}`);
  });
}

for (const { name, bytes, expected } of unreadableRequests) {
  test(`a node does not call a transfer that ran elsewhere not-run when it cannot read a resend ${name}`, async (context) => {
    const { outside } = await startPairs(context, {});
    assert.equal(getOutcome(await sendBytes(outside, bytes)), expected);
  });
}
