import assert from "node:assert/strict";
import { test } from "node:test";
import { createLog, formatKeyValues } from "./log.ts";

const cases = [
  { name: "plain", fields: { a: 1, b: "x" }, line: "a=1 b=x" },
  { name: "spaces", fields: { a: "x y" }, line: 'a="x y"' },
  { name: "line break", fields: { a: "x\ny=1" }, line: 'a="x\\ny=1"' },
  { name: "absent", fields: { a: undefined, b: true }, line: "b=true" },
  { name: "empty", fields: { a: "" }, line: 'a=""' },
];

for (const { name, fields, line } of cases) {
  test(`formatKeyValues: ${name} is formatted as one parsable line`, () => {
    assert.equal(formatKeyValues(fields), line);
  });
}

test("createLog writes one key=value line per event", () => {
  const lines: string[] = [];
  const log = createLog({
    base: { process: "node" },
    write: (line) => lines.push(line),
  });
  log.warn("session lost", { control: "127.0.0.1:1" });
  assert.equal(lines.length, 1);
  assert.match(
    lines[0] ?? "",
    /^level=warn time=\S+ process=node control=127\.0\.0\.1:1 event="session lost"\n$/,
  );
});
