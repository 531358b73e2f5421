/** An open file; writes go to its end. */
export interface OpenFile {
  /** Adds bytes at the end; durable only after `sync`. */
  append(bytes: Uint8Array): Promise<void>;
  /** Cuts the file to a length. */
  truncate(length: number): Promise<void>;
  /** Makes the content durable. */
  sync(): Promise<void>;
  read(offset: number, length: number): Promise<Uint8Array>;
  close(): Promise<void>;
}

/** An exclusive lock on a folder. */
export interface FolderLock {
  /** Tells this folder from copies of it: the lock file is made only once. */
  readonly folderMark: string;
  release(): void;
}

/**
 * The part of a file system that the storage uses, inside one folder. Tests
 * replace it by one that forgets what was not synced.
 */
export interface FileSystem {
  /** Creates the folder when it is absent, and makes that durable. */
  prepare(): Promise<void>;
  /** Opens a file, created empty when absent. */
  open(name: string): Promise<OpenFile>;
  /** Reads a whole file; `undefined` when absent. */
  readFile(name: string): Promise<Uint8Array | undefined>;
  /** Replaces `to`; durable only after `syncFolder`. */
  rename(from: string, to: string): Promise<void>;
  /** Removes a file if it is there. */
  remove(name: string): Promise<void>;
  /** Makes created, renamed and removed names durable. */
  syncFolder(): Promise<void>;
  /**
   * Takes an exclusive lock that ends with the process.
   * @returns `undefined` when it is taken.
   */
  lock(name: string): Promise<FolderLock | undefined>;
}
