import assert from "node:assert/strict";
import { test } from "node:test";
import { exitCodes, getRefusalExitCode } from "./exit_code.ts";

const cases = [
  { reason: "invalid-document", code: exitCodes.invalidInput },
  { reason: "unknown-target", code: exitCodes.invalidInput },
  { reason: "isolated", code: exitCodes.unreachable },
  { reason: "outdated", code: exitCodes.unreachable },
  { reason: "storage-failed", code: exitCodes.unreachable },
  // The operator has to resend with the same change id.
  { reason: "outcome-unknown", code: exitCodes.unreachable },
  { reason: "member-change-refused", code: exitCodes.other },
];

for (const { reason, code } of cases) {
  test(`a refusal with ${reason} exits with ${code}`, () => {
    const refusal = { reason, message: "", controlAddresses: [] };
    assert.equal(getRefusalExitCode(refusal), code);
  });
}
