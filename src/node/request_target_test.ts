import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { test } from "node:test";
import { readRequestTarget } from "./request_target.ts";

const cases = [
  { url: "/a?b", header: "Pay.Example", host: "pay.example", path: "/a?b" },
  { url: "/a", header: "pay.example:8080", host: "pay.example", path: "/a" },
  { url: "/a", header: "pay.example.", host: "pay.example", path: "/a" },
  { url: "/a", header: "pay.example.:80", host: "pay.example", path: "/a" },
  { url: "/a", header: "[2001:DB8::1]:80", host: "[2001:db8::1]", path: "/a" },
  { url: "/a", header: undefined, host: "", path: "/a" },
  { url: "http://a.example/b?c", header: "x", host: "a.example", path: "/b?c" },
  { url: "HTTP://A.example:80", header: "x", host: "a.example", path: "/" },
  {
    url: "http://a.example?b=/c",
    header: "x",
    host: "a.example",
    path: "/?b=/c",
  },
  { url: "https://a.example/b", header: "x", host: undefined, path: undefined },
  { url: "ftp://a.example/b", header: "x", host: undefined, path: undefined },
  { url: "*", header: "x", host: undefined, path: undefined },
];

for (const { url, header, host, path } of cases) {
  // Guards against 400 or 404 for another form of a valid host or request target.
  test(`the target of a request for ${url} with Host ${header} is ${host} ${path}`, () => {
    const request = { url, headers: { host: header } } as IncomingMessage;
    const target = readRequestTarget(request, { allowsDotSegments: false });
    assert.deepEqual([target?.host, target?.path], [host, path]);
  });
}
