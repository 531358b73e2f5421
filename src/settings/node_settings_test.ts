import assert from "node:assert/strict";
import { test } from "node:test";
import { formatFinding } from "../common/mod.ts";
import { parseNodeSettings } from "./node_settings.ts";

const valid = `node_id = "portal-1"
environment = "trial"
service = "member-portal"
region = "Muntenia"
availability_zone = "muntenia-a"
outside = "127.0.0.1:8000"
node = "127.0.0.1:8001"
loopback = "127.0.0.1:8002"
control_addresses = ["127.0.0.1:7001", "127.0.0.1:7002"]
`;

test("parseNodeSettings fills in defaults", () => {
  const result = parseNodeSettings(valid, "node.toml");
  assert.ok(result.kind === "ok");
  assert.equal(result.value.targetLeaseMilliseconds, 3000);
  assert.equal(result.value.stopLimitMilliseconds, 30_000);
  assert.deepEqual(result.value.node, { host: "127.0.0.1", port: 8001 });
});

const invalidSettings = [
  {
    name: "an unknown key",
    text: valid + "outsid = 1\n",
    finding: /node\.toml:10: outsid: Unknown key/,
  },
  {
    name: "a port out of range",
    text: valid.replace("8001", "80010"),
    finding: /node\.toml:7: node: Expected host:port/,
  },
  {
    name: "a listener that other machines can reach without a token",
    text: valid.replace("127.0.0.1:8000", "0.0.0.0:8000"),
    finding: /outside: .*token_file is not set/,
  },
  {
    name: "a loopback listener that other machines can reach",
    text: valid.replace("127.0.0.1:8002", "10.0.0.1:8002"),
    finding: /loopback: Expected a loopback address/,
  },
  {
    name: "settings without a source of the document",
    text: valid.replace(/control_addresses.*\n/, ""),
    finding: /Expected control_addresses or document_file/,
  },
];

for (const { name, text, finding } of invalidSettings) {
  test(`parseNodeSettings reports ${name} with its line`, () => {
    const result = parseNodeSettings(text, "node.toml");
    assert.ok(result.kind === "error");
    assert.match(result.error.map(formatFinding).join("\n"), finding);
  });
}

test("parseNodeSettings reports all errors at once", () => {
  const text = valid.replace('"portal-1"', "7").replace(":8001", "")
    .replace('"trial"', '""') + "stop_limit_ms = -1\n";
  const result = parseNodeSettings(text, "node.toml");
  assert.equal(result.kind === "error" ? result.error.length : 0, 4);
});
