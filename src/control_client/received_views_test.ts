import assert from "node:assert/strict";
import { test } from "node:test";
import type { ViewUpdate } from "../protocol/generated/session.ts";
import { ReceivedViews } from "./received_views.ts";

/** Creates an update that leaves the view empty. */
function createUpdate(digest: string): ViewUpdate {
  return {
    service: "balances",
    full: true,
    changed: [],
    removedTargetIds: [],
    digest,
    collecting: false,
  };
}

const other = createUpdate("another view");
// A view that control does not know all targets of has no digest.
const unknown = createUpdate("");

const cases: {
  readonly name: string;
  /** Updates with their times in milliseconds. */
  readonly updates: readonly { readonly at: number; update: ViewUpdate }[];
  readonly checkAt: number;
  readonly expected: readonly string[];
}[] = [
  {
    name:
      "that differed again shortly after it was requested is requested later",
    updates: [{ at: 0, update: other }, { at: 300, update: other }],
    checkAt: 1000,
    expected: ["balances"],
  },
  {
    name: "that was requested shortly before is not requested again",
    updates: [{ at: 0, update: other }],
    checkAt: 999,
    expected: [],
  },
  {
    name: "that no longer differs is not requested",
    updates: [{ at: 0, update: other }, { at: 300, update: unknown }],
    checkAt: 1000,
    expected: [],
  },
];

// Guards against a view that differs from control's until its next change.
for (const { name, updates, checkAt, expected } of cases) {
  test(`a view ${name}`, () => {
    const views = new ReceivedViews();
    updates.forEach(({ at, update }) => views.apply(update, at));
    assert.deepEqual(views.takeDueRequests(checkAt), expected);
  });
}
