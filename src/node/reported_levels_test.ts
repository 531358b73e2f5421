import assert from "node:assert/strict";
import { test } from "node:test";
import { LevelTable } from "../admission/mod.ts";
import { discardedMetrics, ManualClock } from "../common/mod.ts";
import { parseTestDocument } from "../../tests/support/test_node.ts";
import { CallCounters } from "./call_counters.ts";
import { DocumentView, type RoutePlan } from "./document_view.ts";
import {
  addDiscoveredServices,
  getRelevantLevels,
  isTargetFault,
  recordLevels,
} from "./reported_levels.ts";

function createPlan(host: string | undefined): RoutePlan {
  const document = parseTestDocument();
  const counters = new CallCounters(discardedMetrics);
  const view = new DocumentView(document, { revision: 1, counters });
  const plan = view.getPlan({ service: "back", method: "GET", path: "/1" });
  counters.close();
  assert.ok(plan !== undefined);
  return {
    ...plan,
    route: { ...plan.route, host },
    discoveredServices: new Set(),
  };
}

function createTable(): LevelTable {
  return new LevelTable({ clock: new ManualClock(), classCount: 4 });
}

const load = { running: 1, queued: 0, limit: 4 };

test("a route with a host learns the services whose levels answers state", () => {
  const table = createTable();
  const plan = createPlan("pay.example");
  const levels = [{ service: "deep", level: 200 }];
  recordLevels(table, { levels, load }, { plan, isOwnTarget: false });
  assert.deepEqual([...plan.discoveredServices], ["deep"]);
  const leastImportant = 3 * 128 + 127;
  // The first one passes as a probe.
  table.shouldShed([...plan.discoveredServices], leastImportant);
  assert.ok(table.shouldShed([...plan.discoveredServices], leastImportant));
  // News without a level open the service again.
  for (let index = 0; index < 100; index++) {
    recordLevels(table, { levels: [], load }, { plan, isOwnTarget: false });
  }
  assert.deepEqual(table.getEntries(), []);
});

test("a route that declares its calls learns nothing", () => {
  const plan = createPlan(undefined);
  addDiscoveredServices(plan, ["deep"]);
  assert.equal(plan.discoveredServices.size, 0);
});

// A node whose clients call an overloaded service stated its level to callers
// of the target beside it, which then refused requests without need.
test("answers state only levels of services that calls of the target reach", () => {
  const table = createTable();
  table.record("deep", 100);
  table.record("other", 100);
  const plan = createPlan("pay.example");
  addDiscoveredServices(plan, ["deep"]);
  const services = getRelevantLevels(table, plan).map((each) => each.service);
  assert.deepEqual(services, ["deep"]);
});

// Failures that an overloaded service behind the target caused moved calls to
// other zones, where they failed as well.
const faults: readonly {
  readonly name: string;
  readonly status: number;
  readonly stated: number;
  readonly heard: number;
  readonly expected: boolean | undefined;
}[] = [
  { name: "a success", status: 200, stated: 0, heard: 0, expected: false },
  {
    name: "a client's error",
    status: 404,
    stated: 0,
    heard: 0,
    expected: false,
  },
  { name: "a failure", status: 500, stated: 0, heard: 0, expected: true },
  {
    name: "a failure while the target states a level",
    status: 500,
    stated: 9,
    heard: 0,
    expected: undefined,
  },
  {
    name: "a failure while a deeper service has a level",
    status: 504,
    stated: 0,
    heard: 9,
    expected: undefined,
  },
];

for (const { name, status, stated, heard, expected } of faults) {
  test(`${name} is judged as a fault of the target: ${expected}`, () => {
    const table = createTable();
    const plan = createPlan("pay.example");
    addDiscoveredServices(plan, ["deep"]);
    table.record("deep", heard);
    const levels = stated === 0 ? [] : [{ service: "back", level: stated }];
    const fault = isTargetFault(status, { levels, load }, { table, plan });
    assert.equal(fault, expected);
  });
}
