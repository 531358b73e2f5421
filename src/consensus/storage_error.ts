/** Why the storage cannot be used. */
export type StorageErrorKind =
  /** Damage that is not a torn tail. */
  | "corrupt"
  /** Written by a newer release. */
  | "newer-format"
  /** Another process uses the folder. */
  | "locked"
  /** A write or sync failed, such as on a full disk. */
  | "write-failed";

/** A fault of the data folder after which an instance must not go on. */
export class StorageError extends Error {
  /**
   * @param kind What is wrong.
   * @param message The file and the fault.
   */
  constructor(readonly kind: StorageErrorKind, message: string) {
    super(message);
    this.name = "StorageError";
  }
}

/**
 * Throws that a file is damaged.
 * @param file Name of the file.
 * @param fault What was found.
 */
export function throwCorrupt(file: string, fault: string): never {
  throw new StorageError("corrupt", `File ${file} is damaged: ${fault}`);
}
