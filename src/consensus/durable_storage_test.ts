import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import fc from "fast-check";
import {
  createSeededRandom,
  type Log,
  type RandomSource,
} from "../common/mod.ts";
import { PowerLossFileSystem } from "../../tests/support/power_loss_file_system.ts";
import { DurableStorage } from "./durable_storage.ts";
import type { FileSystem } from "./file_system.ts";
import type { LogEntry } from "./log_entry.ts";
import { createNodeFileSystem } from "./node_file_system.ts";
import type { PersistedState, StorageRequest } from "./persisted_state.ts";

const log: Log = { info: () => {}, warn: () => {}, error: () => {} };

interface FakeFile {
  content: Buffer;
  synced: Buffer;
}

/** Keeps files in memory, and loses unsynced changes at a crash. */
class FakeFileSystem implements FileSystem {
  /** Number of changes and syncs so far. */
  operationCount = 0;
  /** Number of the first operation that fails; all later ones fail too. */
  firstFailingOperation = Infinity;
  folderMark = "1";
  #names = new Map<string, FakeFile>();
  #syncedNames = new Map<string, FakeFile>();

  constructor(contents: Readonly<Record<string, Buffer>> = {}) {
    for (const [name, content] of Object.entries(contents)) {
      this.#names.set(name, { content, synced: content });
    }
    this.#syncedNames = new Map(this.#names);
  }

  /** Gets the files after a crash, with a random part of unsynced changes. */
  crash(random: RandomSource): FakeFileSystem {
    const names = random() < 0.5 ? this.#names : this.#syncedNames;
    const remaining: Record<string, Buffer> = {};
    for (const [name, { content, synced }] of names) {
      const added = Math.floor(
        random() * 2 * Math.max(0, content.length - synced.length),
      );
      remaining[name] = content.length < synced.length
        ? (random() < 0.5 ? content : synced)
        : content.subarray(0, synced.length + added);
    }
    return new FakeFileSystem(remaining);
  }

  getContents(): Record<string, Buffer> {
    return Object.fromEntries(
      [...this.#names].map(([name, file]) => [name, file.content]),
    );
  }

  prepare(): Promise<void> {
    return Promise.resolve();
  }

  open(name: string) {
    const file = this.#names.get(name) ??
      { content: Buffer.alloc(0), synced: Buffer.alloc(0) };
    if (!this.#names.has(name)) {
      this.#names.set(name, file);
    }
    return Promise.resolve({
      append: (bytes: Uint8Array) =>
        this.#step(() => file.content = Buffer.concat([file.content, bytes])),
      truncate: (length: number) =>
        this.#step(() => file.content = file.content.subarray(0, length)),
      sync: () => this.#step(() => file.synced = file.content),
      read: (offset: number, length: number) =>
        Promise.resolve(file.content.subarray(offset, offset + length)),
      close: () => Promise.resolve(),
    });
  }

  readFile(name: string): Promise<Uint8Array | undefined> {
    return Promise.resolve(this.#names.get(name)?.content);
  }

  rename(from: string, to: string): Promise<void> {
    return this.#step(() => {
      const file = this.#names.get(from);
      assert.ok(file);
      this.#names.set(to, file);
      this.#names.delete(from);
    });
  }

  remove(name: string): Promise<void> {
    return this.#step(() => this.#names.delete(name));
  }

  syncFolder(): Promise<void> {
    return this.#step(() => this.#syncedNames = new Map(this.#names));
  }

  lock() {
    return Promise.resolve({ folderMark: this.folderMark, release: () => {} });
  }

  #step(change: () => void): Promise<void> {
    this.operationCount++;
    if (this.operationCount > this.firstFailingOperation) {
      return Promise.reject(new Error("ENOSPC"));
    }
    change();
    return this.operationCount === this.firstFailingOperation
      ? Promise.reject(new Error("ENOSPC"))
      : Promise.resolve();
  }
}

/** Converts the hard state and the log of a state to comparable texts. */
function toComparable(state: PersistedState) {
  return {
    hardState: JSON.stringify(state.hardState),
    log: JSON.stringify([
      state.snapshot,
      state.entries.map(({ index, term, content }) => [
        index,
        term,
        content.kind === "command" && Buffer.from(content.command).toString(),
      ]),
    ]),
  };
}

function createEntries(from: number, count: number, term: number): LogEntry[] {
  return Array.from({ length: count }, (_, position) => ({
    index: from + position,
    term,
    timeMilliseconds: 1000,
    content: { kind: "command", command: Buffer.from(`${term}:${position}`) },
  }));
}

type Step = "append" | "vote" | "replace" | "snapshot" | "install";

/** Creates the next write request and the state after it. */
function createNextWrite(
  state: PersistedState,
  step: Step,
): { request: StorageRequest; state: PersistedState } {
  const { snapshot, hardState } = state;
  const term = hardState.term + 1;
  const last = snapshot.index + state.entries.length;
  const changed = { ...hardState, term, groupId: "g" };
  const base = { sequence: 1, hardState: changed };
  const next = { ...state, hardState: changed };
  // There is nothing to take a snapshot of in an empty log.
  switch (step === "snapshot" && state.entries.length === 0 ? "vote" : step) {
    case "append":
    case "replace": {
      const from = step === "append" || state.entries.length === 0
        ? last + 1
        : last;
      const entries = createEntries(from, 3, term);
      return {
        request: { ...base, entries },
        state: {
          ...next,
          entries: [
            ...state.entries.filter((each) => each.index < from),
            ...entries,
          ],
        },
      };
    }
    case "vote":
      return { request: { ...base, entries: [] }, state: next };
    case "snapshot":
    case "install": {
      const kept = step === "snapshot" ? state.entries.slice(2) : [];
      const info = step === "install"
        ? { index: last + 5, term, timeMilliseconds: 1, members: [] }
        : {
          ...snapshot,
          index: last - kept.length,
          term: state.entries[last - kept.length - snapshot.index - 1]?.term ??
            snapshot.term,
        };
      return {
        request: {
          ...base,
          snapshot: { info, data: Buffer.from("state") },
          entries: kept,
        },
        state: { ...next, snapshot: info, entries: kept },
      };
    }
  }
}

const anyStep = fc.constantFrom<Step>(
  "append",
  "append",
  "vote",
  "replace",
  "snapshot",
  "install",
);

// Guards against losing an acknowledged write, and against reading a mix of two
// writes, when the process or machine stops at any point of a write.
test("a crash at any write, sync or rename loses no completed write", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(anyStep, { minLength: 1, maxLength: 8 }),
      fc.array(fc.tuple(fc.nat(60), fc.integer()), { maxLength: 3 }),
      async (steps, crashes) => {
        let files = new FakeFileSystem();
        let allowed: PersistedState[] = [];
        let bootCount = 0;
        for (const [failsAt, seed] of [...crashes, [Infinity, 0] as const]) {
          files.firstFailingOperation = failsAt;
          const allowedBefore = allowed;
          try {
            const storage = await DurableStorage.open(files, { log });
            let { state } = storage;
            if (allowedBefore.length > 0) {
              const found = toComparable(state);
              for (const part of ["hardState", "log"] as const) {
                assert.ok(
                  allowedBefore.some((each) =>
                    toComparable(each)[part] === found[part]
                  ),
                  `${part} ${found[part]} was never written`,
                );
              }
            }
            assert.ok(
              state.identity.bootCount > bootCount,
              "boot count did not increase",
            );
            bootCount = state.identity.bootCount;
            allowed = [state];
            for (const step of steps) {
              const next = createNextWrite(state, step);
              allowed = [state, next.state];
              await storage.write(next.request);
              state = next.state;
              allowed = [state];
            }
          } catch (error) {
            assert.match((error as Error).message, /ENOSPC/);
          }
          files = files.crash(createSeededRandom(seed));
        }
      },
    ),
    { seed: 21, numRuns: 1500, includeErrorInReport: true },
  );
});

async function createFolder(): Promise<Record<string, Buffer>> {
  const files = new FakeFileSystem();
  const storage = await DurableStorage.open(files, { log });
  let { state } = storage;
  for (const step of ["append", "snapshot", "append", "append"] as const) {
    const next = createNextWrite(state, step);
    await storage.write(next.request);
    state = next.state;
  }
  return files.getContents();
}

const faults: {
  name: string;
  file: string;
  change: (bytes: Buffer) => Buffer | undefined;
  expected: RegExp | number;
}[] = [
  {
    name: "an incomplete last record is removed",
    file: "log",
    change: (bytes) => bytes.subarray(0, bytes.length - 1),
    expected: 4,
  },
  {
    name: "zeros after the last record are removed",
    file: "log",
    change: (bytes) => Buffer.concat([bytes, Buffer.alloc(64)]),
    expected: 7,
  },
  {
    name: "damage before the last record stops the start",
    file: "log",
    change: (bytes) => flip(bytes, 20),
    expected: /log is damaged: bad record at byte 8 before a good one/,
  },
  {
    name: "a damaged length before the last record stops the start",
    file: "log",
    change: (bytes) => flip(bytes, 10),
    expected: /log is damaged: bad record at byte 8 before a good one/,
  },
  ...["log", "hard_state", "identity", "snapshot"].map((file) => ({
    name: `a newer format of ${file} stops the start`,
    file,
    change: (bytes: Buffer) => flip(bytes, 7),
    expected: /has format version \d+; this release reads up to 1/,
  })),
  ...["hard_state", "identity", "snapshot"].map((file) => ({
    name: `a damaged ${file} stops the start`,
    file,
    change: (bytes: Buffer) => flip(bytes, bytes.length - 1),
    expected: new RegExp(`${file} is damaged`),
  })),
  ...["log", "hard_state", "identity"].map((file) => ({
    name: `a missing ${file} stops the start`,
    file,
    change: () => undefined,
    expected: new RegExp(`${file} is damaged: it is missing`),
  })),
];

function flip(bytes: Buffer, position: number): Buffer {
  const changed = Buffer.from(bytes);
  changed.writeUInt8(bytes.readUInt8(position) ^ 1, position);
  return changed;
}

for (const { name, file, change, expected } of faults) {
  test(name, async () => {
    const { [file]: bytes, ...others } = await createFolder();
    assert.ok(bytes);
    const changed = change(bytes);
    const opened = DurableStorage.open(
      new FakeFileSystem(changed ? { ...others, [file]: changed } : others),
      { log },
    );
    if (typeof expected === "number") {
      assert.equal((await opened).state.entries.length, expected);
    } else {
      await assert.rejects(opened, expected);
    }
  });
}

// Guards against starting a restored copy of a folder as if it were current.
test("a copied folder stays marked as moved at later starts", async () => {
  const files = new FakeFileSystem(await createFolder());
  for (const [mark, isMoved] of [["1", false], ["2", true], ["2", true]]) {
    files.folderMark = String(mark);
    const { state } = await DurableStorage.open(files, { log });
    assert.equal(state.hardState.isMoved, isMoved);
  }
});

// Guards against appending to a log whose end is unknown after a failed write.
test("after a failed write, every later write fails", async () => {
  const files = new FakeFileSystem();
  const storage = await DurableStorage.open(files, { log });
  files.firstFailingOperation = files.operationCount + 1;
  const { request } = createNextWrite(storage.state, "append");
  await assert.rejects(storage.write(request), /failed: ENOSPC/);
  files.firstFailingOperation = Infinity;
  await assert.rejects(storage.write(request), /failed: ENOSPC/);
});

test("a folder is open in one process at a time", async () => {
  const folder = await mkdtemp(join(tmpdir(), "dogwoodwalk-storage-"));
  try {
    const open = () =>
      DurableStorage.open(createNodeFileSystem(folder), { log });
    const storage = await open();
    await assert.rejects(open(), /Another process uses the data folder/);
    await storage.close();
    await (await open()).close();
  } finally {
    await rm(folder, { recursive: true });
  }
});

/** Opens the storage and writes; gets the state before and after each write. */
async function openAndWrite(
  files: FileSystem,
  steps: readonly Step[],
  onState: (states: readonly PersistedState[]) => void,
): Promise<void> {
  const storage = await DurableStorage.open(files, {
    log,
    mayBeCopy: false,
  });
  let { state } = storage;
  onState([state]);
  for (const step of steps) {
    const next = createNextWrite(state, step);
    onState([state, next.state]);
    await storage.write(next.request);
    state = next.state;
    onState([state]);
  }
}

// Guards against losing a completed write, or a folder that cannot be opened,
// when power is lost: unsynced writes may be torn, and names are kept or lost
// independently.
test("a loss of power at any operation loses no completed write", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(anyStep, { minLength: 1, maxLength: 8 }),
      fc.array(fc.tuple(fc.nat(60), fc.integer()), { maxLength: 3 }),
      async (steps, losses) => {
        const disk = new PowerLossFileSystem("1");
        let allowed: readonly PersistedState[] | undefined;
        for (const [operations, seed] of [...losses, [Infinity, 0] as const]) {
          disk.limitOperations(operations);
          const allowedBefore = allowed;
          const written = openAndWrite(disk.createView(), steps, (states) => {
            if (allowedBefore !== undefined && allowed === allowedBefore) {
              const found = states.map(toComparable)[0];
              for (const part of ["hardState", "log"] as const) {
                assert.ok(
                  allowedBefore.some((each) =>
                    toComparable(each)[part] === found?.[part]
                  ),
                  `${part} ${found?.[part]} was never written`,
                );
              }
            }
            allowed = states;
          });
          // All operations complete within this turn of the event loop, or hang.
          await Promise.race([
            written,
            new Promise((resolve) => setImmediate(resolve)),
          ]);
          disk.losePower(createSeededRandom(seed));
        }
      },
    ),
    { seed: 22, numRuns: 1500, includeErrorInReport: true },
  );
});
