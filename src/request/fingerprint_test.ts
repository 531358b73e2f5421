import assert from "node:assert/strict";
import { test } from "node:test";
import { getBodyHashes, StreamedBodyHashes } from "./body_hashes.ts";
import {
  type FingerprintSource,
  getRequestFingerprints,
} from "./fingerprint.ts";

interface Sent {
  readonly service?: string;
  readonly path?: string;
  readonly headers?: readonly string[];
  readonly body?: Buffer;
}

function getFingerprints({ service, path = "/a", headers = [], body }: Sent) {
  return getRequestFingerprints({
    service,
    method: "POST",
    path,
    headers,
    body: getBodyHashes(body ?? Buffer.alloc(0)),
  }, {
    request: new Set(["host"]),
    caller: new Set(["x-member"]),
    attempt: new Set(["x-number"]),
  });
}

const long = Buffer.alloc(300_000, "a");
const longWithOtherEnd = Buffer.concat([long.subarray(1), Buffer.from("b")]);

/** Requests that are sent twice, and which of their fingerprints are the same. */
const cases: {
  name: string;
  first: Sent;
  second: Sent;
  shared: "all" | "some" | "none";
}[] = [
  {
    name: "another attempt of the same request",
    first: { headers: ["X-Number", "1", "traceparent", "1", "Host", "a"] },
    second: { headers: ["Host", "A", "x-number", "2"] },
    shared: "all",
  },
  {
    name: "the same body as the body of a request in chunks",
    first: { headers: ["Content-Length", "1"], body: Buffer.from("a") },
    second: { body: Buffer.from("a") },
    shared: "all",
  },
  { name: "another path", first: {}, second: { path: "/b" }, shared: "none" },
  {
    name: "another service",
    first: { service: "a" },
    second: { service: "b" },
    shared: "none",
  },
  {
    name: "another host",
    first: { headers: ["Host", "a"] },
    second: { headers: ["Host", "b"] },
    shared: "none",
  },
  {
    name: "a body that differs behind its first bytes",
    first: { body: Buffer.from(`${"a".repeat(4096)}1`) },
    second: { body: Buffer.from(`${"a".repeat(4096)}2`) },
    shared: "some",
  },
  {
    name: "a long body that differs in its last byte",
    first: { body: long },
    second: { body: longWithOtherEnd },
    shared: "some",
  },
  {
    name: "another member in a header of the protocol",
    first: { headers: ["X-Member", "1"] },
    second: { headers: ["X-Member", "2"] },
    shared: "some",
  },
  {
    name: "another cookie",
    first: { headers: ["Cookie", "member=1"] },
    second: { headers: ["Cookie", "member=2"] },
    shared: "some",
  },
  {
    name: "another value of an unknown header",
    first: { headers: ["X-Unknown", "1"] },
    second: { headers: ["X-Unknown", "2"] },
    shared: "some",
  },
];

for (const { name, first, second, shared } of cases) {
  // Guards against a sound request that is taken for one that crashes targets.
  test(`fingerprints of ${name}: ${shared} are the same`, () => {
    const left = getFingerprints(first);
    const right = getFingerprints(second);
    const count = left.filter((each) => right.includes(each)).length;
    if (shared === "all") {
      assert.deepEqual(left, right);
    } else {
      assert.equal(count > 0, shared === "some");
      assert.notEqual(left.at(-1), right.at(-1));
    }
  });
}

test("a body has the same fingerprints whether it was streamed or buffered", () => {
  const source: Omit<FingerprintSource, "body"> = {
    method: "POST",
    path: "/a",
    headers: [],
  };
  const hashes = new StreamedBodyHashes();
  for (let at = 0; at < long.length; at += 7000) {
    hashes.update(long.subarray(at, at + 7000));
  }
  const buffered = getRequestFingerprints({
    ...source,
    body: getBodyHashes(long),
  });
  const [start] = getRequestFingerprints({ ...source, body: hashes });
  assert.equal(start, buffered[0]);
  hashes.end();
  assert.deepEqual(
    getRequestFingerprints({ ...source, body: hashes }),
    buffered,
  );
});
