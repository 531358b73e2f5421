import assert from "node:assert/strict";
import { test } from "node:test";
import { checkDrains } from "./check_drains.ts";
import { checkExchanges } from "./check_exchanges.ts";
import { checkNestedCalls } from "./check_nested_calls.ts";
import { checkTransfers } from "./check_transfers.ts";
import type { Exchange, ExchangeEnd } from "./exchange.ts";
import { ProcessTimeline } from "./process_timeline.ts";
import type { SoakObservation, TargetRun } from "./soak_observation.ts";

const answered = {
  kind: "answered",
  status: 200,
  disposition: "ran",
  reason: undefined,
  answeredId: "a",
  fillerBytes: 0,
} as const;
const closed = {
  kind: "unanswered",
  cause: "closed",
  hasPartialResponse: false,
  oldestMilliseconds: 5000,
} as const;
const refused = {
  ...answered,
  status: 503,
  disposition: "not-run",
  reason: "no-target",
  answeredId: undefined,
} as const;

function createExchange(
  id: string,
  end: ExchangeEnd,
  options: { key?: string; waitedMilliseconds?: number; closedBy?: Exchange } =
    {},
): Exchange {
  return {
    request: {
      id,
      method: "GET",
      host: "soak",
      path: "/balances/1",
      key: options.key,
      body: "",
      fillerBytes: 0,
    },
    client: "client",
    node: "portal-1",
    sentMilliseconds: 100_000,
    endMilliseconds: 100_000 + (options.waitedMilliseconds ?? 5000),
    closedBy: options.closedBy,
    end,
  };
}

function createRun(call: string, key = ""): TargetRun {
  return {
    node: "portal-2",
    service: "member-portal",
    method: "POST",
    path: "/transfers",
    request: `token-${call}`,
    key,
    call,
    bytes: 0,
    parent: "",
    startMilliseconds: 100_001,
    end: "running",
  };
}

const complete = createExchange("a", answered);

const cases: readonly {
  readonly name: string;
  readonly exchanges: readonly Exchange[];
  readonly runs?: readonly TargetRun[];
  readonly brokenCalls?: readonly TargetRun[];
  readonly killed?: string;
  readonly drainedMilliseconds?: number;
  readonly violations: readonly string[];
}[] = [
  {
    name: "a complete response of its own",
    exchanges: [complete],
    runs: [createRun("a")],
    violations: [],
  },
  {
    name: "no answer to a request that ran",
    exchanges: [createExchange("a", closed)],
    runs: [createRun("a")],
    violations: ["lost"],
  },
  {
    name: "no answer to a request that ran behind a closing response",
    exchanges: [createExchange("b", closed, { closedBy: complete })],
    runs: [createRun("b")],
    violations: ["lost"],
  },
  {
    name: "no answer to a request whose node was killed",
    exchanges: [createExchange("a", closed)],
    runs: [createRun("a")],
    killed: "portal-1-node",
    violations: [],
  },
  {
    name: "no answer to a request that no target saw behind a closing response",
    exchanges: [createExchange("b", closed, { closedBy: complete })],
    violations: [],
  },
  {
    name: "no answer to a request that was read and not passed on",
    exchanges: [createExchange("a", closed)],
    violations: ["read-unanswered"],
  },
  {
    name: "no answer to a request that met the end of its connection",
    exchanges: [createExchange("a", closed, { waitedMilliseconds: 10 })],
    violations: [],
  },
  {
    name: "a part of a response",
    exchanges: [createExchange("a", { ...closed, hasPartialResponse: true })],
    violations: ["lost"],
  },
  {
    name: "the response of another request",
    exchanges: [createExchange("b", answered)],
    violations: ["wrong-response"],
  },
  {
    name: "not-run for a request that ran",
    exchanges: [createExchange("a", refused)],
    runs: [createRun("a")],
    violations: ["false-not-run"],
  },
  {
    name: "not-run for a resend of a transfer that ran",
    exchanges: [
      createExchange("k-1", closed, { key: "k", waitedMilliseconds: 10 }),
      createExchange("k-2", refused, { key: "k" }),
    ],
    runs: [createRun("k-1", "k")],
    killed: "portal-2-node",
    violations: ["false-not-run"],
  },
  {
    name: "a transfer that ran twice",
    exchanges: [],
    runs: [createRun("k-1", "k"), createRun("k-2", "k")],
    violations: ["ran-twice"],
  },
  {
    name: "a broken call of a target that reached another target",
    exchanges: [createExchange("a", { ...answered, status: 502 })],
    runs: [createRun("a"), { ...createRun("a"), parent: "token-a" }],
    brokenCalls: [createRun("a")],
    violations: ["lost-nested"],
  },
  {
    name: "a broken call of a request that was given up",
    exchanges: [createExchange("a", { ...refused, disposition: "unknown" })],
    runs: [createRun("a"), { ...createRun("a"), parent: "token-a" }],
    brokenCalls: [createRun("a")],
    violations: [],
  },
  {
    name: "a run at a target that was drained before",
    exchanges: [complete],
    runs: [createRun("a")],
    drainedMilliseconds: 90_000,
    violations: ["work-after-drain"],
  },
  {
    name: "a run at a target that has just been drained",
    exchanges: [complete],
    runs: [createRun("a")],
    drainedMilliseconds: 99_000,
    violations: [],
  },
];

for (const each of cases) {
  const { name, exchanges, runs = [], brokenCalls = [], violations } = each;
  const { killed, drainedMilliseconds = Infinity } = each;
  test(`${name}: ${violations.join() || "no violation"}`, () => {
    const timeline = new ProcessTimeline();
    if (killed !== undefined) {
      timeline.entries.push({
        process: killed,
        intervention: "killed",
        fromMilliseconds: 99_000,
        toMilliseconds: 101_000,
      });
    }
    const observation: SoakObservation = {
      exchanges,
      timeline,
      runs,
      brokenCalls,
      refusedCalls: [],
    };
    const found = [
      ...checkExchanges(observation),
      ...checkTransfers(observation),
      ...checkNestedCalls(observation),
      ...checkDrains(observation, [{
        node: "portal-2",
        confirmedMilliseconds: drainedMilliseconds,
        endMilliseconds: Infinity,
      }]),
    ];
    assert.deepEqual(found.map(({ kind }) => kind), violations);
  });
}
