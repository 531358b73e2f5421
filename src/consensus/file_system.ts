/** An open file that is written by appending. */
export interface OpenFile {
  /** Appends bytes, which are durable only after `sync`. */
  append(bytes: Uint8Array): Promise<void>;
  /** Shortens the file to a length. */
  truncate(length: number): Promise<void>;
  /** Makes the content of the file durable. */
  sync(): Promise<void>;
  read(offset: number, length: number): Promise<Uint8Array>;
  close(): Promise<void>;
}

/** An exclusive lock on a folder. */
export interface FolderLock {
  /**
   * Identifies the folder. A copy has another mark, because the mark comes from
   * the lock file, which is created only once in each folder.
   */
  readonly folderMark: string;
  release(): void;
}

/**
 * The file operations that the storage needs, within one folder. Tests replace
 * it with an implementation that loses unsynced data at a crash.
 */
export interface FileSystem {
  /** Creates the folder durably if it does not exist. */
  prepare(): Promise<void>;
  /** Opens a file, and creates it empty if it does not exist. */
  open(name: string): Promise<OpenFile>;
  /** Reads a whole file; `undefined` if it does not exist. */
  readFile(name: string): Promise<Uint8Array | undefined>;
  /** Renames a file and replaces `to`; durable only after `syncFolder`. */
  rename(from: string, to: string): Promise<void>;
  /** Removes a file if it exists. */
  remove(name: string): Promise<void>;
  /** Makes created, renamed and removed file names durable. */
  syncFolder(): Promise<void>;
  /**
   * Acquires an exclusive lock. The operating system releases it when the
   * process ends.
   * @returns `undefined` when another process holds the lock.
   */
  lock(name: string): Promise<FolderLock | undefined>;
}
