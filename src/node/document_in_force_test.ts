import assert from "node:assert/strict";
import { test } from "node:test";
import {
  parseTestDocument,
  startTestNode,
} from "../../tests/support/test_node.ts";

const document = parseTestDocument();
const cases = [
  {
    name: "the whole document",
    received: document,
    line:
      /services=2 routes=5 hosts=0 hasOwnService=true event="document in force"/,
  },
  {
    name: "a document without the node's service",
    received: {
      ...document,
      services: new Map([...document.services].slice(1)),
      routes: document.routes.filter(({ service }) => service === "back"),
    },
    line:
      /services=1 routes=1 hosts=0 hasOwnService=false event="document in force"/,
  },
  {
    name: "a document with hosts",
    received: {
      ...document,
      routes: ["a", "a", "b"].flatMap((host) =>
        document.routes.map((route) => ({ ...route, host }))
      ),
    },
    line:
      /services=2 routes=15 hosts=2 hasOwnService=true event="document in force"/,
  },
];

for (const { name, received, line } of cases) {
  // Guards against two nodes whose documents differ without a trace in the log.
  test(`the line about ${name} has its size`, async (context) => {
    const { node, logLines } = await startTestNode("front-1");
    context.after(() => node.stop({ limitMilliseconds: 0 }));
    node.applyDocument(received, 2);
    assert.match(logLines.at(-1) ?? "", / revision=2 /);
    assert.match(logLines.at(-1) ?? "", line);
  });
}
