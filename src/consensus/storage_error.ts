/** Why the storage cannot be used. */
export type StorageErrorKind =
  /** A file is damaged other than by an incomplete last record. */
  | "corrupt"
  /** A file was written by a newer release. */
  | "newer-format"
  /** Another process uses the folder. */
  | "locked"
  /** A write or sync failed, such as on a full disk. */
  | "write-failed";

/** An error of the data folder after which the instance must stop. */
export class StorageError extends Error {
  /**
   * @param kind Category of the error.
   * @param message The affected file and what is wrong with it.
   */
  constructor(readonly kind: StorageErrorKind, message: string) {
    super(message);
    this.name = "StorageError";
  }
}

/**
 * Throws a `StorageError` of kind `corrupt`.
 * @param file Name of the damaged file.
 * @param fault What is wrong with it.
 */
export function throwCorrupt(file: string, fault: string): never {
  throw new StorageError("corrupt", `File ${file} is damaged: ${fault}`);
}
