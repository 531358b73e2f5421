import type { RandomSource } from "../../src/common/mod.ts";
import type {
  FileSystem,
  FolderLock,
  OpenFile,
} from "../../src/consensus/file_system.ts";

/** A change of a file's content that is not synced yet. */
type UnsyncedChange =
  | { readonly kind: "write"; readonly at: number; readonly bytes: Uint8Array }
  | { readonly kind: "truncate"; readonly length: number };

interface SimulatedFile {
  /** What a process reads. */
  content: Buffer;
  /** What the last sync covered. */
  synced: Buffer;
  unsynced: UnsyncedChange[];
}

/**
 * The files of one folder in memory. A process that ends leaves them as they
 * are. A loss of power keeps what the last sync of each file covered; each later
 * write is present, missing or torn, and each name that was created, renamed or
 * removed since the last sync of the folder is kept or lost independently. The
 * mark of the folder may change, as if the lock file were a new one.
 */
export class PowerLossFileSystem {
  #folderMark: string;
  #names = new Map<string, SimulatedFile>();
  #syncedNames = new Map<string, SimulatedFile>();
  /** Number of the process that may use the files. */
  #process = 0;
  /** Operations after which the process hangs until it ends. */
  #remainingOperations = Infinity;

  /** @param folderMark Mark that identifies the folder. */
  constructor(folderMark: string) {
    this.#folderMark = folderMark;
  }

  /** Lets the process complete only some more operations; the next ones hang. */
  limitOperations(count: number): void {
    this.#remainingOperations = count;
  }

  /** Ends the process, whose pending operations never complete. */
  endProcess(): void {
    this.#process++;
    this.#remainingOperations = Infinity;
  }

  /** Ends the process and loses a random part of what is not synced. */
  losePower(random: RandomSource): void {
    this.endProcess();
    const isAllLost = random() < 0.3;
    if (random() < 0.5) {
      this.#folderMark += "*";
    }
    const names = new Map<string, SimulatedFile>();
    const copies = new Map<SimulatedFile, SimulatedFile>();
    for (
      const name of new Set([
        ...this.#names.keys(),
        ...this.#syncedNames.keys(),
      ])
    ) {
      const isKept = !isAllLost && random() < 0.5;
      const file = (isKept ? this.#names : this.#syncedNames).get(name);
      if (file !== undefined) {
        const copy = copies.get(file) ?? recoverFile(file, isAllLost, random);
        copies.set(file, copy);
        names.set(name, copy);
      }
    }
    this.#names = names;
    this.#syncedNames = new Map(names);
  }

  /** Creates the view of the files for a new process. */
  createView(): FileSystem {
    const process = this.#process;
    const step = <Value>(change: () => Value): Promise<Value> => {
      if (process !== this.#process || this.#remainingOperations <= 0) {
        return new Promise<Value>(() => {});
      }
      this.#remainingOperations--;
      return Promise.resolve(change());
    };
    const lock: FolderLock = {
      folderMark: this.#folderMark,
      release: () => {},
    };
    return {
      prepare: () => Promise.resolve(),
      lock: () => Promise.resolve(lock),
      open: (name) => step(() => createOpenFile(this.#open(name), step)),
      readFile: (name) => Promise.resolve(this.#names.get(name)?.content),
      rename: (from, to) =>
        step(() => {
          this.#names.set(to, this.#open(from));
          this.#names.delete(from);
        }),
      remove: (name) => step(() => void this.#names.delete(name)),
      syncFolder: () =>
        step(() => void (this.#syncedNames = new Map(this.#names))),
    };
  }

  #open(name: string): SimulatedFile {
    const file = this.#names.get(name) ??
      { content: Buffer.alloc(0), synced: Buffer.alloc(0), unsynced: [] };
    this.#names.set(name, file);
    return file;
  }
}

function createOpenFile(
  file: SimulatedFile,
  step: <Value>(change: () => Value) => Promise<Value>,
): OpenFile {
  const change = (unsynced: UnsyncedChange) =>
    step(() => {
      file.unsynced.push(unsynced);
      file.content = applyChange(file.content, unsynced);
    });
  return {
    append: (bytes) =>
      change({ kind: "write", at: file.content.length, bytes }),
    truncate: (length) => change({ kind: "truncate", length }),
    sync: () =>
      step(() => {
        file.synced = file.content;
        file.unsynced = [];
      }),
    read: (offset, length) =>
      Promise.resolve(file.content.subarray(offset, offset + length)),
    close: () => Promise.resolve(),
  };
}

function applyChange(content: Buffer, change: UnsyncedChange): Buffer {
  if (change.kind === "truncate") {
    return content.subarray(0, change.length);
  }
  const end = change.at + change.bytes.length;
  const changed = Buffer.alloc(Math.max(content.length, end));
  content.copy(changed);
  changed.set(change.bytes, change.at);
  return changed;
}

function recoverFile(
  file: SimulatedFile,
  isAllLost: boolean,
  random: RandomSource,
): SimulatedFile {
  let content = file.synced;
  for (const change of isAllLost ? [] : file.unsynced) {
    const outcome = random();
    if (outcome < 0.35) {
      continue;
    }
    const isTorn = change.kind === "write" && outcome < 0.7;
    content = applyChange(content, isTorn ? tear(change, random) : change);
  }
  return { content, synced: content, unsynced: [] };
}

/** Keeps the length of a write, and loses a part of its content. */
function tear(
  change: Extract<UnsyncedChange, { kind: "write" }>,
  random: RandomSource,
): UnsyncedChange {
  const { length } = change.bytes;
  const from = Math.floor(random() * length);
  const to = from + 1 + Math.floor(random() * (length - from));
  const bytes = Buffer.from(change.bytes);
  bytes.fill(0, from, to);
  return random() < 0.5
    ? { ...change, bytes: bytes.subarray(0, from) }
    : { ...change, bytes };
}
