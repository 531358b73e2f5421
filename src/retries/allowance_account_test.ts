import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createSeededRandom, type RandomSource } from "../common/mod.ts";
import { AllowanceAccount } from "./allowance_account.ts";

interface Tree {
  readonly calls: readonly Tree[];
}

const { tree } = fc.letrec<{ tree: Tree }>((tie) => ({
  tree: fc.oneof(
    { maxDepth: 4, depthSize: "max" },
    fc.constant({ calls: [] }),
    fc.record({ calls: fc.array(tie("tree"), { maxLength: 3 }) }),
  ),
}));

function getNeed({ calls }: Tree): number {
  return calls.reduce((need, call) => need + getNeed(call), 1);
}

interface Run {
  readonly random: RandomSource;
  readonly lossRate: number;
  attempts: number;
  refused: number;
}

/** Runs a call with its retries; returns what its response would state. */
function run(call: Tree, account: AllowanceAccount, state: Run): number {
  const pending = [...call.calls];
  while (pending.length > 0) {
    // Some calls run beside each other: all begin before the first settles.
    const beside = pending.splice(0, 1 + Math.floor(state.random() * 3));
    const begun = beside.map((callee, index) => {
      const later = [...beside.slice(index + 1), ...pending];
      const reserved = later.reduce((sum, each) => sum + getNeed(each), 0);
      return { callee, part: account.startAttempt(getNeed(callee), reserved) };
    });
    for (const { callee, part } of begun) {
      if (part === undefined) {
        state.refused++;
        continue;
      }
      state.attempts++;
      const account2 = new AllowanceAccount(part.delegatedAttempts);
      const unused = run(callee, account2, state);
      const isLost = state.random() < state.lossRate;
      account.reclaimUnused(part.delegatedAttempts, isLost ? 0 : unused);
      if (isLost && state.random() < 0.9) {
        pending.push(callee);
      }
    }
  }
  return account.remaining;
}

test("attempts never exceed the allowance over random call trees with lost responses", () => {
  fc.assert(
    fc.property(
      tree,
      fc.integer({ min: 0, max: 60 }),
      fc.integer(),
      (root, allowance, seed) => {
        const state = {
          random: createSeededRandom(seed),
          lossRate: 0.4,
          attempts: 0,
          refused: 0,
        };
        const account = new AllowanceAccount(allowance);
        const unused = run({ calls: [root] }, account, state);
        assert.ok(state.attempts + unused <= allowance);
      },
    ),
    { seed: 20261, numRuns: 2000 },
  );
});

test("an allowance of the need serves every declared call when nothing is lost", () => {
  fc.assert(
    fc.property(
      tree,
      fc.integer({ min: 0, max: 30 }),
      fc.integer(),
      (root, extra, seed) => {
        const state = {
          random: createSeededRandom(seed),
          lossRate: 0,
          attempts: 0,
          refused: 0,
        };
        const need = getNeed(root);
        run({ calls: [root] }, new AllowanceAccount(need + extra), state);
        assert.deepEqual([state.attempts, state.refused], [need, 0]);
      },
    ),
    { seed: 20262, numRuns: 1000 },
  );
});

const cases = [
  { name: "keeps half for retries", total: 12, need: 3, handedDown: 5 },
  { name: "gives the need first", total: 4, need: 4, handedDown: 3 },
  { name: "last attempt", total: 1, need: 3, handedDown: 0 },
  { name: "spent", total: 0, need: 1, handedDown: undefined },
  { name: "keeps the reserve", total: 12, need: 2, reserved: 9, handedDown: 2 },
];

for (const { name, total, need, reserved, handedDown } of cases) {
  test(`AllowanceAccount.begin: ${name}`, () => {
    const part = new AllowanceAccount(total).startAttempt(need, reserved);
    assert.equal(part?.delegatedAttempts, handedDown);
  });
}

for (const unused of [Infinity, NaN, -5, 1e9]) {
  test(`AllowanceAccount.settle: stating ${unused} unused does not enlarge the allowance`, () => {
    const account = new AllowanceAccount(10);
    account.reclaimUnused(
      account.startAttempt(1)?.delegatedAttempts ?? 0,
      unused,
    );
    assert.ok(account.remaining <= 9 && account.remaining >= 5);
  });
}
