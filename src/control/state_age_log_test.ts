import assert from "node:assert/strict";
import { test } from "node:test";
import { type LogFields, ManualClock } from "../common/mod.ts";
import type { ConsensusStatus } from "../consensus/mod.ts";
import { StateAgeLog } from "./state_age_log.ts";

const members = ["a", "b"].map((id) => ({
  id,
  address: `10.0.0.1:${id}`,
  isVoter: true,
}));

const current = {
  role: "leader",
  members,
  matchIndexes: new Map([["a", 7], ["b", 7]]),
  lastContactAgesMilliseconds: new Map(),
  stateAgeMilliseconds: 0,
  appliedIndex: 7,
  commitIndex: 7,
} as unknown as ConsensusStatus;

const cases: {
  name: string;
  status: Partial<ConsensusStatus>;
  expected: string[];
}[] = [
  {
    name: "an instance that lacks entries, and that it has them again",
    status: { stateAgeMilliseconds: 1500 },
    expected: ["state outdated", "state outdated", "state current"],
  },
  {
    name: "a member that lacks entries for more than 1 s",
    status: { matchIndexes: new Map([["a", 7], ["b", 6]]) },
    expected: ["member behind", "member behind"],
  },
  { name: "nothing while all is current", status: {}, expected: [] },
];

for (const { name, status, expected } of cases) {
  test(`the log of the state's age reports ${name}`, () => {
    const events: string[] = [];
    const add = (event: string, _fields?: LogFields) => events.push(event);
    const clock = new ManualClock();
    let reported = { ...current, ...status };
    const log = new StateAgeLog({
      log: { getStatus: () => reported },
      eventLog: { info: add, warn: add, error: add },
      clock,
      getRevisions: () => undefined,
    });
    for (let milliseconds = 0; milliseconds < 7000; milliseconds += 100) {
      log.check();
      clock.advance(100);
    }
    reported = current;
    log.check();
    assert.deepEqual(events, expected);
  });
}
