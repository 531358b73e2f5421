import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { DocumentHistory } from "../configuration/mod.ts";
import { parseDocument } from "../document/mod.ts";
import { ParsedDocumentCache } from "./parsed_document_cache.ts";

const text = readFileSync("examples/benefits-office.toml", "utf8");

test("a document that cannot be parsed is reported once, until the next one can", () => {
  const history = new DocumentHistory();
  const unreadable: number[] = [];
  const cache = new ParsedDocumentCache({
    history,
    parse: parseDocument,
    onUnreadable: (_environment, revision) => unreadable.push(revision),
  });
  const texts = [text, "of another release", `${text}# 3\n`];
  const states = texts.map((each, index) => {
    history.apply({
      environment: "trial",
      baseRevision: index,
      bytes: Buffer.from(each),
      changeId: `c${index}`,
      operator: "ana",
      ledgerLimits: undefined,
    }, { time: new Date(0) });
    const isReadable = [1, 2].map(() => cache.isReadable("trial"));
    return { isReadable, revision: cache.get("trial")?.revision };
  });
  assert.deepEqual(states, [
    { isReadable: [true, true], revision: 1 },
    { isReadable: [false, false], revision: 1 },
    { isReadable: [true, true], revision: 3 },
  ]);
  assert.deepEqual(unreadable, [2]);
});
