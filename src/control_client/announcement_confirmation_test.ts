import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
  AnnouncementConfirmation,
  type ConfirmedFact,
  type ConfirmingAnswer,
} from "./announcement_confirmation.ts";

/** Time after which every confirmation has sent its renewal. */
const settlingMilliseconds = 1000;

/** Waits for a confirmation, with a renewal that control answers. */
function startConfirmation(context: TestContext, fact: ConfirmedFact) {
  context.mock.timers.enable({ apis: ["setTimeout"] });
  let sequence = 0;
  let confirmations = 0;
  const confirmation = new AnnouncementConfirmation({
    renew: () => ++sequence,
  });
  confirmation.setListener({ fact, onConfirmed: () => confirmations++ });
  confirmation.onSent();
  return {
    confirmation,
    getConfirmations: () => confirmations,
    answer: (answer: Omit<ConfirmingAnswer, "sequence">) => {
      context.mock.timers.tick(settlingMilliseconds);
      confirmation.onRenewAnswer({ sequence, ...answer });
    },
  };
}

const cases: {
  fact: ConfirmedFact;
  isCollecting: boolean;
  hasMajority: boolean;
  hasAllRecords: boolean;
  isConfirmed: boolean;
}[] = [
  {
    fact: "newest",
    isCollecting: false,
    hasMajority: false,
    hasAllRecords: false,
    isConfirmed: true,
  },
  {
    fact: "newest",
    isCollecting: true,
    hasMajority: true,
    hasAllRecords: false,
    isConfirmed: false,
  },
  {
    fact: "newest",
    isCollecting: true,
    hasMajority: false,
    hasAllRecords: true,
    isConfirmed: true,
  },
  {
    fact: "remembered",
    isCollecting: true,
    hasMajority: true,
    hasAllRecords: false,
    isConfirmed: true,
  },
  {
    fact: "remembered",
    isCollecting: false,
    hasMajority: false,
    hasAllRecords: true,
    isConfirmed: false,
  },
];

for (const { isConfirmed, isCollecting, fact, ...answer } of cases) {
  // Guards against a drain that is acknowledged and forgotten, and against targets
  // that wait for instances which cannot know more.
  test(`an instance ${isConfirmed ? "confirms" : "does not confirm"} that an announcement is ${fact}: ${JSON.stringify({ isCollecting, ...answer })}`, (context) => {
    const started = startConfirmation(context, fact);
    started.confirmation.setCollecting(isCollecting);
    started.answer(answer);
    assert.equal(started.getConfirmations(), isConfirmed ? 1 : 0);
    started.confirmation.setCollecting(false);
    started.answer({ hasMajority: true, hasAllRecords: true });
    started.answer({ hasMajority: true, hasAllRecords: true });
    assert.equal(started.getConfirmations(), 1);
  });
}
