import { randomBytes } from "node:crypto";
import type { Log } from "../common/mod.ts";
import {
  decodeHardState,
  decodeIdentity,
  decodeLogRecord,
  decodeSnapshotInfo,
  encodeHardState,
  encodeIdentity,
  encodeLogRecord,
  encodeSnapshotInfo,
} from "./codec.ts";
import type { FileSystem, FolderLock, OpenFile } from "./file_system.ts";
import {
  emptySnapshotInfo,
  type LogEntry,
  type SnapshotInfo,
} from "./log_entry.ts";
import type { PeerState } from "./peer_state.ts";
import {
  emptyHardState,
  type Identity,
  type PersistedState,
  type StorageRequest,
} from "./persisted_state.ts";
import {
  createFileHeader,
  createRecord,
  fileHeaderBytes,
  readRecords,
  readSingleRecord,
} from "./record_file.ts";
import { StorageError, throwCorrupt } from "./storage_error.ts";

/** Settings of the storage. */
export interface DurableStorageOptions {
  readonly log: Log;
  /** Creates the identifiers of instances and starts; random by default. */
  readonly createId?: () => string;
  /**
   * Whether the folder may be a copy, such as a restored backup; true by
   * default. The start of a copy needs the confirmation of every voter.
   */
  readonly mayBeCopy?: boolean | undefined;
}

/** Durable storage of one instance in its data folder. */
export class DurableStorage {
  /** State that the folder held when it was opened. */
  readonly state: PersistedState;
  /** Content of the snapshot; empty if there is none. */
  readonly snapshotData: Uint8Array;
  readonly #files: FileSystem;
  readonly #lock: FolderLock;
  #logFile: OpenFile;
  #snapshot: { index: number; data: Uint8Array };
  #failure: StorageError | undefined;

  private constructor(
    files: FileSystem,
    parts: {
      state: PersistedState;
      snapshotData: Uint8Array;
      logFile: OpenFile;
      lock: FolderLock;
    },
  ) {
    this.#files = files;
    this.state = parts.state;
    this.snapshotData = parts.snapshotData;
    this.#logFile = parts.logFile;
    this.#lock = parts.lock;
    this.#snapshot = {
      index: parts.state.snapshot.index,
      data: parts.snapshotData,
    };
  }

  /**
   * Locks and reads the folder, and durably increments the boot count. Throws a
   * `StorageError` when the folder is in use, damaged or of a newer release.
   * @param files File system of the folder.
   * @param options Log and source of identifiers.
   * @returns The opened storage.
   */
  static async open(
    files: FileSystem,
    options: DurableStorageOptions,
  ): Promise<DurableStorage> {
    await files.prepare();
    const lock = await files.lock("lock");
    if (lock === undefined) {
      throw new StorageError("locked", "Another process uses the data folder");
    }
    try {
      const createId = options.createId ??
        (() => randomBytes(16).toString("hex"));
      const stored = await readIdentity(files);
      const identity: Identity = {
        id: stored?.id ?? createId(),
        bootCount: (stored?.bootCount ?? 0) + 1,
        bootId: createId(),
        folderMark: lock.folderMark,
      };
      let hardState = await readHardState(files);
      const snapshot = await readSnapshot(files);
      if (
        stored === undefined && (hardState !== undefined || snapshot.info.index)
      ) {
        throwCorrupt("identity", "it is missing, but other files exist");
      }
      const log = await readLog(files, snapshot.info, {
        isRequired: hardState !== undefined,
        log: options.log,
      });
      if (
        hardState === undefined &&
        (log.entries.length > 0 || snapshot.info.index > 0)
      ) {
        throwCorrupt("hard_state", "it is missing, but other files exist");
      }
      const isMarkChecked = options.mayBeCopy ?? true;
      const isMarked = stored?.folderMark === lock.folderMark;
      if (hardState && isMarkChecked && !isMarked) {
        options.log.warn("data folder was moved or copied");
        hardState = { ...hardState, isMoved: true };
        await replaceFile(files, "hard_state", [
          createRecord(encodeHardState(hardState)),
        ]);
      }
      await replaceFile(files, "identity", [
        createRecord(encodeIdentity(identity)),
      ]);
      return new DurableStorage(files, {
        state: {
          identity,
          hardState: hardState ?? emptyHardState,
          snapshot: snapshot.info,
          entries: log.entries,
          peers: log.peers,
        },
        snapshotData: snapshot.data,
        logFile: log.file,
        lock,
      });
    } catch (error) {
      lock.release();
      throw error;
    }
  }

  /**
   * Performs a write and resolves once it is durable. After a failed write all
   * later ones fail, because the content of the disk is then unknown.
   * @param request The parts to write.
   */
  async write(request: StorageRequest): Promise<void> {
    if (this.#failure !== undefined) {
      throw this.#failure;
    }
    try {
      await this.#write(request);
    } catch (error) {
      this.#failure = new StorageError(
        "write-failed",
        `Writing the data folder failed: ${(error as Error).message}`,
      );
      throw this.#failure;
    }
  }

  /**
   * Reads a part of the latest snapshot.
   * @param index Index of the snapshot.
   * @param range Offset and maximum length, in bytes.
   * @returns `undefined` when that snapshot has been replaced.
   */
  readSnapshotChunk(
    index: number,
    range: { offset: number; length: number },
  ): { data: Uint8Array; isLast: boolean } | undefined {
    const { data } = this.#snapshot;
    if (this.#snapshot.index !== index) {
      return undefined;
    }
    const end = range.offset + range.length;
    return {
      data: data.subarray(range.offset, end),
      isLast: end >= data.length,
    };
  }

  /** Closes the files and releases the lock. */
  async close(): Promise<void> {
    await this.#logFile.close();
    this.#lock.release();
  }

  async #write(request: StorageRequest): Promise<void> {
    // The hard state is written first, so that the disk never holds entries of
    // a term above its own.
    if (request.hardState !== undefined) {
      await replaceFile(this.#files, "hard_state", [
        createRecord(encodeHardState(request.hardState)),
      ]);
    }
    const { snapshot } = request;
    if (snapshot !== undefined) {
      await replaceFile(this.#files, "snapshot", [
        createRecord(encodeSnapshotInfo(snapshot.info)),
        // The prefix is needed because a record has at least one byte.
        createRecord(Buffer.of(0), snapshot.data),
      ]);
      this.#snapshot = { index: snapshot.info.index, data: snapshot.data };
      await replaceFile(
        this.#files,
        "log",
        createLogRecords(request.entries, request.peers),
      );
      await this.#logFile.close();
      this.#logFile = await this.#files.open("log");
      return;
    }
    if (request.entries.length > 0 || request.peers !== undefined) {
      await this.#logFile.append(
        createRecord(encodeLogRecord(request.entries, request.peers)),
      );
      await this.#logFile.sync();
    }
  }
}

/** Creates the records of a new log; none when there is nothing to store. */
function createLogRecords(
  entries: readonly LogEntry[],
  peers: ReadonlyMap<string, PeerState> | undefined,
): Buffer[] {
  const payload = encodeLogRecord(entries, peers);
  return payload.length === 0 ? [] : [createRecord(payload)];
}

/** Replaces a file. Writes its records one by one, because they may be large. */
async function replaceFile(
  files: FileSystem,
  name: string,
  records: readonly Buffer[],
): Promise<void> {
  const temporary = `${name}.new`;
  await files.remove(temporary);
  const file = await files.open(temporary);
  try {
    await file.append(createFileHeader());
    for (const record of records) {
      await file.append(record);
    }
    await file.sync();
  } finally {
    await file.close();
  }
  await files.rename(temporary, name);
  await files.syncFolder();
}

async function readIdentity(files: FileSystem): Promise<Identity | undefined> {
  const bytes = await files.readFile("identity");
  return bytes && decodeIdentity(readSingleRecord("identity", bytes));
}

async function readHardState(files: FileSystem) {
  const bytes = await files.readFile("hard_state");
  return bytes && decodeHardState(readSingleRecord("hard_state", bytes));
}

async function readSnapshot(
  files: FileSystem,
): Promise<{ info: SnapshotInfo; data: Uint8Array }> {
  const bytes = await files.readFile("snapshot");
  if (bytes === undefined) {
    return { info: emptySnapshotInfo, data: new Uint8Array() };
  }
  const { payloads: [info, data], validLength } = readRecords(
    "snapshot",
    bytes,
  );
  if (
    info === undefined || data === undefined || validLength !== bytes.length
  ) {
    throwCorrupt("snapshot", "its records are incomplete");
  }
  return { info: decodeSnapshotInfo(info), data: data.subarray(1) };
}

async function readLog(
  files: FileSystem,
  snapshot: SnapshotInfo,
  options: { isRequired: boolean; log: Log },
): Promise<{
  file: OpenFile;
  entries: LogEntry[];
  peers: ReadonlyMap<string, PeerState>;
}> {
  const stored = await files.readFile("log");
  if (stored === undefined && options.isRequired) {
    throwCorrupt("log", "it is missing, but other files exist");
  }
  const bytes = stored ?? new Uint8Array();
  const { payloads, validLength } = readRecords("log", bytes);
  const { entries, peers } = replayRecords(payloads);
  const entriesAfterSnapshot = getEntriesAfter(snapshot, entries);
  // A new log gets its header like the other files, by a rename: a header that
  // is torn by a loss of power would look like damage.
  if (entriesAfterSnapshot === undefined || validLength < fileHeaderBytes) {
    await replaceFile(files, "log", createLogRecords([], peers));
    return { file: await files.open("log"), entries: [], peers };
  }
  const file = await files.open("log");
  if (validLength < bytes.length) {
    options.log.warn("removed incomplete last record of the log", {
      bytes: bytes.length - validLength,
      at: validLength,
    });
    await file.truncate(validLength);
  }
  await file.sync();
  await files.syncFolder();
  return { file, entries: entriesAfterSnapshot, peers };
}

/** Replays the records in order; an entry replaces all from its index on. */
function replayRecords(
  payloads: readonly Uint8Array[],
): { entries: LogEntry[]; peers: ReadonlyMap<string, PeerState> } {
  const entries: LogEntry[] = [];
  const peers = new Map<string, PeerState>();
  for (const payload of payloads) {
    const record = decodeLogRecord(payload);
    const first = entries[0]?.index ?? record.entries[0]?.index ?? 0;
    for (const entry of record.entries) {
      const position = entry.index - first;
      if (position < 0 || position > entries.length) {
        throwCorrupt("log", `entry ${entry.index} is out of order`);
      }
      entries.length = position;
      entries.push(entry);
    }
    for (const [id, state] of record.peers) {
      peers.set(id, state);
    }
  }
  return { entries, peers };
}

/**
 * Gets the entries that continue a snapshot; `undefined` when the log does not
 * match it, because a crash came after the write of a received snapshot and
 * before that of the new log.
 */
function getEntriesAfter(
  snapshot: SnapshotInfo,
  entries: readonly LogEntry[],
): LogEntry[] | undefined {
  const first = entries[0];
  if (first === undefined) {
    return [];
  }
  if (first.index > snapshot.index + 1) {
    throwCorrupt(
      "log",
      `it starts at entry ${first.index} after a snapshot up to ${snapshot.index}`,
    );
  }
  const position = snapshot.index - first.index;
  const last = entries[position];
  if (position >= 0 && last?.term !== snapshot.term) {
    return undefined;
  }
  return entries.slice(position + 1);
}
