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

function getRequiredAttempts({ calls }: Tree): number {
  return calls.reduce((sum, call) => sum + getRequiredAttempts(call), 1);
}

interface Run {
  readonly random: RandomSource;
  readonly lossRate: number;
  attempts: number;
  refused: number;
}

/** Runs a call with its retries; returns the attempts that it did not use. */
function run(call: Tree, account: AllowanceAccount, state: Run): number {
  const pending = [...call.calls];
  while (pending.length > 0) {
    // Some calls run in parallel: all start before the first one ends.
    const parallelCalls = pending.splice(0, 1 + Math.floor(state.random() * 3));
    const started = parallelCalls.map((callee, index) => {
      const later = [...parallelCalls.slice(index + 1), ...pending];
      const reserved = later.reduce(
        (sum, each) => sum + getRequiredAttempts(each),
        0,
      );
      return {
        callee,
        reservation: account.startAttempt(
          getRequiredAttempts(callee),
          reserved,
        ),
      };
    });
    for (const { callee, reservation } of started) {
      if (reservation === undefined) {
        state.refused++;
        continue;
      }
      state.attempts++;
      const calleeAccount = new AllowanceAccount(reservation.delegatedAttempts);
      const unused = run(callee, calleeAccount, state);
      const isLost = state.random() < state.lossRate;
      account.reclaimUnused(reservation.delegatedAttempts, isLost ? 0 : unused);
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

test("an allowance of the required attempts suffices for every declared call without losses", () => {
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
        const requiredAttempts = getRequiredAttempts(root);
        run(
          { calls: [root] },
          new AllowanceAccount(requiredAttempts + extra),
          state,
        );
        assert.deepEqual([state.attempts, state.refused], [
          requiredAttempts,
          0,
        ]);
      },
    ),
    { seed: 20262, numRuns: 1000 },
  );
});

const cases = [
  {
    name: "keeps half for retries",
    total: 12,
    requiredAttempts: 3,
    delegatedAttempts: 5,
  },
  {
    name: "delegates the required attempts first",
    total: 4,
    requiredAttempts: 4,
    delegatedAttempts: 3,
  },
  { name: "last attempt", total: 1, requiredAttempts: 3, delegatedAttempts: 0 },
  {
    name: "spent",
    total: 0,
    requiredAttempts: 1,
    delegatedAttempts: undefined,
  },
  {
    name: "keeps the reserve",
    total: 12,
    requiredAttempts: 2,
    reserved: 9,
    delegatedAttempts: 2,
  },
];

for (
  const { name, total, requiredAttempts, reserved, delegatedAttempts } of cases
) {
  test(`AllowanceAccount.startAttempt: ${name}`, () => {
    const reservation = new AllowanceAccount(total).startAttempt(
      requiredAttempts,
      reserved,
    );
    assert.equal(reservation?.delegatedAttempts, delegatedAttempts);
  });
}

for (const unused of [Infinity, NaN, -5, 1e9]) {
  test(`AllowanceAccount.reclaimUnused: ${unused} reported as unused does not increase the allowance`, () => {
    const account = new AllowanceAccount(10);
    account.reclaimUnused(
      account.startAttempt(1)?.delegatedAttempts ?? 0,
      unused,
    );
    assert.ok(account.remaining <= 9 && account.remaining >= 5);
  });
}
