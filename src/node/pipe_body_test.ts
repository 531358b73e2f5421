import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { pipeBody, type PipeBodyError } from "./pipe_body.ts";

type Ends = { source: PassThrough; destination: PassThrough };

const cases: { error: PipeBodyError; end(streams: Ends): void }[] = [
  { error: "source-aborted", end: ({ source }) => source.destroy() },
  { error: "destination-closed", end: (each) => each.destination.destroy() },
  { error: "too-large", end: ({ source }) => source.write("too large") },
];

for (const isPaused of [false, true]) {
  for (const { error, end } of cases.slice(0, isPaused ? 2 : 3)) {
    // Guards against a source that is blamed for what its destination did.
    test(`a ${isPaused ? "paused " : ""}transfer ends with ${error}`, async () => {
      const source = new PassThrough();
      const destination = new PassThrough({ highWaterMark: 1 });
      if (!isPaused) {
        destination.resume();
      }
      const message = source as unknown as IncomingMessage;
      const ended = new Promise((resolve) =>
        pipeBody(message, destination, { chunks: [], limit: 4, onEnd: resolve })
      );
      source.write("four");
      await new Promise((resolve) => setImmediate(resolve));
      end({ source, destination });
      assert.equal(await ended, error);
    });
  }
}
