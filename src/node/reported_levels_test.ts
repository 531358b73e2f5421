import assert from "node:assert/strict";
import { test } from "node:test";
import { LevelTable } from "../admission/mod.ts";
import { disabledMetrics, ManualClock } from "../common/mod.ts";
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
  const counters = new CallCounters(disabledMetrics);
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

test("a route with a host discovers the services whose levels answers report", () => {
  const table = createTable();
  const plan = createPlan("pay.example");
  const levels = [{ service: "deep", level: 200 }];
  recordLevels(table, { levels, load }, { plan, isLocalTarget: false });
  assert.deepEqual([...plan.discoveredServices], ["deep"]);
  const leastImportant = 3 * 128 + 127;
  // The first call passes as a probe.
  table.shouldShed([...plan.discoveredServices], leastImportant);
  assert.ok(table.shouldShed([...plan.discoveredServices], leastImportant));
  // Answers without a level lower the recorded one to 0.
  for (let index = 0; index < 100; index++) {
    recordLevels(table, { levels: [], load }, { plan, isLocalTarget: false });
  }
  assert.deepEqual(table.getEntries(), []);
});

test("a route that declares its calls discovers no services", () => {
  const plan = createPlan(undefined);
  addDiscoveredServices(plan, ["deep"]);
  assert.equal(plan.discoveredServices.size, 0);
});

// Guards against needless refusals: a node whose clients call an overloaded
// service reported that service's level to callers of its local target, whose
// calls do not reach the service.
test("answers report only levels of services that calls of the target reach", () => {
  const table = createTable();
  table.record("deep", 100);
  table.record("other", 100);
  const plan = createPlan("pay.example");
  addDiscoveredServices(plan, ["deep"]);
  const services = getRelevantLevels(table, plan).map((each) => each.service);
  assert.deepEqual(services, ["deep"]);
});

// Guards against moving calls to other zones because of errors that are caused
// by an overloaded service behind the target; they fail in other zones as well.
const faultCases: readonly {
  readonly name: string;
  readonly status: number;
  readonly answeredLevel: number;
  readonly recordedLevel: number;
  readonly expected: boolean | undefined;
}[] = [
  {
    name: "a success",
    status: 200,
    answeredLevel: 0,
    recordedLevel: 0,
    expected: false,
  },
  {
    name: "a client's error",
    status: 404,
    answeredLevel: 0,
    recordedLevel: 0,
    expected: false,
  },
  {
    name: "a failure",
    status: 500,
    answeredLevel: 0,
    recordedLevel: 0,
    expected: true,
  },
  {
    name: "a failure while the target reports a level",
    status: 500,
    answeredLevel: 9,
    recordedLevel: 0,
    expected: undefined,
  },
  {
    name: "a failure while a service that the target calls has a level",
    status: 504,
    answeredLevel: 0,
    recordedLevel: 9,
    expected: undefined,
  },
];

for (
  const { name, status, answeredLevel, recordedLevel, expected } of faultCases
) {
  test(`${name} counts as a fault of the target: ${expected}`, () => {
    const table = createTable();
    const plan = createPlan("pay.example");
    addDiscoveredServices(plan, ["deep"]);
    table.record("deep", recordedLevel);
    const levels = answeredLevel === 0
      ? []
      : [{ service: "back", level: answeredLevel }];
    const fault = isTargetFault(status, { levels, load }, { table, plan });
    assert.equal(fault, expected);
  });
}
