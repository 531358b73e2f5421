import assert from "node:assert/strict";
import { test } from "node:test";
import { checkHistory, checkNodeRevisions } from "./check_documents.ts";

const acknowledged = [
  { revision: 2, changeId: "a" },
  { revision: 3, changeId: "b" },
];

for (
  const { name, history, kinds } of [
    { name: "complete", history: acknowledged, kinds: [] },
    {
      name: "without a change",
      history: acknowledged.slice(0, 1),
      kinds: ["lost-revision"],
    },
    {
      name: "with another change",
      history: [{ revision: 2, changeId: "c" }, ...acknowledged.slice(1)],
      kinds: ["lost-revision"],
    },
  ]
) {
  test(`a history ${name}: ${kinds.join() || "no violation"}`, () => {
    const found = checkHistory(acknowledged, history);
    assert.deepEqual(found.map(({ kind }) => kind), kinds);
  });
}

function createLog(...revisions: readonly (number | "start")[]): string {
  return revisions.map((revision) =>
    revision === "start"
      ? 'outside=1 event="node started"'
      : `revision=${revision} event="document in force"`
  ).join("\n");
}

for (
  const { name, log, kinds } of [
    { name: "rising", log: createLog("start", 1, 2, 2), kinds: [] },
    {
      name: "lower after a start",
      log: createLog("start", 2, "start", 1),
      kinds: [],
    },
    {
      name: "lower without a start",
      log: createLog("start", 2, 1),
      kinds: ["older-revision"],
    },
  ]
) {
  test(`revisions of a node ${name}: ${kinds.join() || "no violation"}`, () => {
    const found = checkNodeRevisions("portal-1", log);
    assert.deepEqual(found.map(({ kind }) => kind), kinds);
  });
}
