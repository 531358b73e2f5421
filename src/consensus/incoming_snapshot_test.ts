import assert from "node:assert/strict";
import { test } from "node:test";
import { IncomingSnapshot } from "./incoming_snapshot.ts";
import { emptySnapshotInfo } from "./log_entry.ts";

type Chunk = Parameters<IncomingSnapshot["add"]>[0];

function createChunk(
  text: string,
  options: { index?: number; offset: number; isLast?: boolean },
): Chunk {
  const { index = 7, offset, isLast = false } = options;
  return {
    kind: "snapshotChunk",
    info: { ...emptySnapshotInfo, index },
    offset,
    data: Buffer.from(text),
    isLast,
  };
}

// Guards against restoring the state machine from chunks that do not belong
// together.
const cases: readonly {
  readonly name: string;
  readonly chunks: readonly Chunk[];
  readonly nextOffsets: readonly number[];
  readonly data: string | undefined;
}[] = [
  {
    name: "in order",
    chunks: [
      createChunk("ab", { offset: 0 }),
      createChunk("cd", { offset: 2, isLast: true }),
    ],
    nextOffsets: [2, 4],
    data: "abcd",
  },
  {
    name: "with one repeated",
    chunks: [
      createChunk("ab", { offset: 0 }),
      createChunk("cd", { offset: 2 }),
      createChunk("cd", { offset: 2 }),
      createChunk("ef", { offset: 4, isLast: true }),
    ],
    nextOffsets: [2, 4, 4, 6],
    data: "abcdef",
  },
  {
    name: "with one missing",
    chunks: [
      createChunk("ab", { offset: 0 }),
      createChunk("ef", { offset: 4, isLast: true }),
    ],
    nextOffsets: [2, 2],
    data: undefined,
  },
  {
    name: "of two snapshots",
    chunks: [
      createChunk("ab", { offset: 0 }),
      createChunk("cd", { index: 9, offset: 2, isLast: true }),
    ],
    nextOffsets: [2, 0],
    data: undefined,
  },
  {
    name: "that begin again",
    chunks: [
      createChunk("ab", { offset: 0 }),
      createChunk("xy", { offset: 0 }),
      createChunk("z", { offset: 2, isLast: true }),
    ],
    nextOffsets: [2, 2, 3],
    data: "xyz",
  },
];

for (const { name, chunks, nextOffsets, data } of cases) {
  test(`chunks ${name} give ${data ?? "no snapshot"}`, () => {
    const incoming = new IncomingSnapshot();
    const results = chunks.map((each) => incoming.add(each));
    assert.deepEqual(results.map((each) => each.nextOffset), nextOffsets);
    const whole = results.at(-1)?.data;
    assert.equal(whole && Buffer.from(whole).toString(), data);
  });
}
