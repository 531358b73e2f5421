import assert from "node:assert/strict";
import { test } from "node:test";
import { UnconfirmedMessages } from "./unconfirmed_messages.ts";

function createMessage(fingerprint: string) {
  return {
    $case: "suspectCleared" as const,
    suspectCleared: { fingerprint },
  };
}

// Guards against a crash report that is lost when an instance stops before it has
// passed the report on.
test("messages are sent again until a later renewal confirms them", () => {
  const messages = new UnconfirmedMessages();
  messages.add(createMessage("a"), 3);
  messages.add(createMessage("b"), 4);
  messages.confirm(3);
  assert.deepEqual(messages.getAllForResend(9), [createMessage("b")]);
  messages.confirm(8);
  assert.equal(messages.getAllForResend(9).length, 1);
  messages.confirm(9);
  assert.deepEqual(messages.getAllForResend(10), []);
});

test("a node without a session drops the oldest messages beyond the limit", () => {
  const messages = new UnconfirmedMessages();
  let dropped = 0;
  for (let index = 0; index < 1500; index++) {
    dropped += messages.add(createMessage(`${index}`), 1) === undefined ? 0 : 1;
  }
  assert.equal(dropped, 500, "each drop is returned, so that it can be logged");
  const kept = messages.getAllForResend(2);
  assert.equal(kept.length, 1000);
  assert.deepEqual(kept.at(-1), createMessage("1499"));
});
