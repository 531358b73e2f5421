import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { formatFinding } from "../common/mod.ts";
import { CallGraph } from "./call_graph.ts";
import {
  decodeDocumentPart,
  encodeDocumentPart,
  getDocumentPart,
} from "./document_part.ts";
import { parseDocument } from "./parse_document.ts";
import { RouteTable } from "./route_table.ts";

const examples = [
  { file: "examples/strike-fund.toml", services: 4, objective: "goodput" },
  { file: "examples/benefits-office.toml", services: 4, objective: "recovery" },
];

for (const { file, services, objective } of examples) {
  test(`parseDocument accepts ${file}`, () => {
    const result = parseDocument(readFileSync(file, "utf8"), file);
    assert.equal(
      result.kind,
      "ok",
      result.kind === "error" ? result.error.map(formatFinding).join("\n") : "",
    );
    if (result.kind === "ok") {
      assert.equal(result.value.services.size, services);
      assert.equal(result.value.objective, objective);
    }
  });
}

const strikeFund = readFileSync("examples/strike-fund.toml", "utf8");

function parseStrikeFund() {
  const result = parseDocument(strikeFund, "strike-fund.toml");
  assert.equal(result.kind, "ok");
  if (result.kind !== "ok") {
    throw new Error("unreachable");
  }
  return result.value;
}

const faults = [
  {
    name: "an unknown key",
    from: "format = 1",
    to: "format = 1\nspeed = 3",
    finding: /:3: speed: Unknown key/,
  },
  {
    name: "a newer format",
    from: "format = 1",
    to: "format = 2",
    finding: /:2: format: Expected a whole number from 1 to 1/,
  },
  {
    name: "an unknown class",
    from: 'class = "sheet"',
    to: 'class = "paper"',
    finding: /routes\.1\.class: Class "paper" is not in classes/,
  },
  {
    name: "an allowance below the required attempts",
    from: "attempt_allowance = 12",
    to: "attempt_allowance = 2",
    finding: /attempt_allowance: Smaller than the 3 attempts/,
  },
  {
    name: "a cycle of calls",
    from: "attempt_allowance = 4",
    to: 'attempt_allowance = 4\ncalls = [{ service = "treasury" }]',
    finding: /Calls form a cycle/,
  },
  {
    name: "a call to an unknown service",
    from: '{ service = "attendance-archive" }',
    to: '{ service = "archive" }',
    finding: /calls\.0\.service: Service "archive" is not in services/,
  },
  {
    name: "a service whose name is too long",
    from: "[services.",
    to: `[services.${
      "a".repeat(1025)
    }]\nslots = 1\nconnections = 1\n[services.`,
    finding: /services\.a+: Longer than 1024 characters/,
  },
  {
    name: "a syntax error",
    from: "format = 1",
    to: "format = ",
    finding: /strike-fund\.toml:\d+: /,
  },
];

for (const { name, from, to, finding } of faults) {
  test(`parseDocument reports the location of ${name}`, () => {
    const text = strikeFund.replace(from, to);
    const result = parseDocument(text, "strike-fund.toml");
    assert.equal(result.kind, "error");
    if (result.kind === "error") {
      assert.match(result.error.map(formatFinding).join("\n"), finding);
    }
  });
}

test("parseDocument reports all findings in one pass", () => {
  const text = strikeFund.replace("slots = 10", "slots = -1")
    .replace("retry_ratio = 0.1", "retry_ratio = 7")
    .replace('method = "GET"', 'method = "get"');
  const result = parseDocument(text, "strike-fund.toml");
  assert.equal(result.kind === "error" ? result.error.length : 0, 3);
});

test("getDocumentPart keeps a service and the services that its calls reach", () => {
  const part = getDocumentPart(parseStrikeFund(), "treasury");
  assert.deepEqual([...part.services.keys()], ["treasury", "roster-registry"]);
  const decoded = decodeDocumentPart(encodeDocumentPart(part));
  assert.deepEqual(encodeDocumentPart(decoded), encodeDocumentPart(part));
  assert.equal(decoded.services.get("treasury")?.slots, 36);
});

const matches = [
  { method: "POST", path: "/transfers", expectedPath: "/transfers" },
  { method: "GET", path: "/transfers", expectedPath: undefined },
  { method: "GET", path: "/balances/7", expectedPath: "/balances/*" },
  { method: "GET", path: "/balances", expectedPath: undefined },
];

for (const { method, path, expectedPath } of matches) {
  test(`RouteTable matches ${method} ${path} with ${expectedPath}`, () => {
    const table = new RouteTable(parseStrikeFund());
    const route = table.getRoute({ service: "treasury", method, path });
    assert.equal(route?.path, expectedPath);
  });
}

test("CallGraph gets required attempts, depth and reachable services", () => {
  const document = parseStrikeFund();
  const graph = new CallGraph(document);
  const route = new RouteTable(document).getRoute({
    service: "member-portal",
    method: "POST",
    path: "/transfers",
  });
  assert.ok(route);
  assert.equal(graph.getRouteRequiredAttempts(route), 3);
  assert.equal(graph.getRouteDepth(route), 3);
  assert.deepEqual([...graph.getReachableServices(route)], [
    "treasury",
    "roster-registry",
  ]);
});

const hostRoutes = `${strikeFund}
[[routes]]
host = "Pay.example"
split = [
  { service = "${parseStrikeFund().routes[0]?.service}", weight = 9 },
  { service = "${parseStrikeFund().routes.at(-1)?.service}", weight = 1 },
]
method = "*"
path = "/pay/*"
class = "${parseStrikeFund().classes[0]}"
idempotent = false
deadline_ms = 2000
attempt_allowance = 50
maximum_targets = 2
`;

test("a route is found by its host, and each node has the services of its split", () => {
  const result = parseDocument(hostRoutes, "hosts.toml");
  assert.equal(
    result.kind,
    "ok",
    result.kind === "error" ? result.error.map(formatFinding).join("\n") : "",
  );
  if (result.kind !== "ok") {
    return;
  }
  const table = new RouteTable(result.value);
  const call = { host: "pay.example", method: "POST", path: "/pay/1" };
  const route = table.getHostRoute(call);
  assert.equal(route?.split?.length, 2);
  assert.equal(route?.maximumTargets, 2);
  assert.equal(table.getHostRoute({ ...call, host: "x.example" }), undefined);
  for (const service of result.value.services.keys()) {
    const part = getDocumentPart(result.value, service);
    for (const { service: used } of route?.split ?? []) {
      assert.ok(part.services.has(used), `${service} lacks ${used}`);
    }
  }
});

test("parseDocument reports a split to an unknown service", () => {
  const result = parseDocument(
    hostRoutes.replace(
      /service = "[^"]*", weight = 9/,
      'service = "x", weight = 9',
    ),
    "hosts.toml",
  );
  assert.equal(result.kind, "error");
});
