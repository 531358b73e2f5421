import assert from "node:assert/strict";
import { mkdtempSync, openSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { createLogOutput } from "./log_output.ts";

test("flush writes all buffered lines", (context) => {
  const folder = mkdtempSync(join(tmpdir(), "log-output-"));
  context.after(() => rmSync(folder, { recursive: true }));
  const file = join(folder, "out.log");
  const output = createLogOutput(openSync(file, "w"));
  output.write("event=first\n");
  output.write("event=second\n");
  output.flush();
  assert.equal(readFileSync(file, "utf8"), "event=first\nevent=second\n");
});
