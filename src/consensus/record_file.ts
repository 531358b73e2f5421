import { crc32c } from "@node-rs/crc32";
import { StorageError, throwCorrupt } from "./storage_error.ts";

/** Format version of all files in the data folder. */
export const storageFormatVersion = 1;

/** Size of a file header: magic number and format version. */
export const fileHeaderBytes = 8;

const recordHeaderBytes = 8;
const magic = Buffer.from("DWLK");

/** Creates the header of a new file. */
export function createFileHeader(): Buffer {
  const header = Buffer.alloc(fileHeaderBytes);
  magic.copy(header);
  header.writeUInt32LE(storageFormatVersion, 4);
  return header;
}

/**
 * Creates a record: length, CRC-32C, payload. The checksum also covers the
 * length, so that a run of zeros is not a valid record.
 * @param parts The parts of the content; together at least one byte.
 */
export function createRecord(...parts: readonly Uint8Array[]): Buffer {
  const length = parts.reduce((sum, part) => sum + part.length, 0);
  const record = Buffer.alloc(recordHeaderBytes + length);
  record.writeUInt32LE(length, 0);
  let offset = recordHeaderBytes;
  for (const part of parts) {
    record.set(part, offset);
    offset += part.length;
  }
  record.writeUInt32LE(getChecksum(record, 0, length), 4);
  return record;
}

/** Valid content of a file of records. */
export interface RecordFileContent {
  readonly payloads: readonly Uint8Array[];
  /** Length of the header and the complete records, in bytes. */
  readonly validLength: number;
}

/**
 * Reads the records of a file. Each record is synced before the next one is
 * written, so a crash can leave only the last one incomplete. Throws a
 * `StorageError` when a valid record follows an invalid one.
 * @param file Name of the file, for error messages.
 * @param bytes Content of the file.
 * @returns The records before an incomplete one.
 */
export function readRecords(
  file: string,
  bytes: Uint8Array,
): RecordFileContent {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  if (buffer.length < fileHeaderBytes) {
    return { payloads: [], validLength: 0 };
  }
  checkHeader(file, buffer);
  const payloads: Uint8Array[] = [];
  let offset = fileHeaderBytes;
  while (offset < buffer.length) {
    const payload = readRecord(buffer, offset);
    if (payload === undefined) {
      break;
    }
    payloads.push(payload);
    offset += recordHeaderBytes + payload.length;
  }
  for (let later = offset + 1; later < buffer.length; later++) {
    if (readRecord(buffer, later) !== undefined) {
      throwCorrupt(
        file,
        `bad record at byte ${offset} before a good one at byte ${later}`,
      );
    }
  }
  return { payloads, validLength: offset };
}

/**
 * Reads a file that holds exactly one record. Such a file is replaced
 * atomically, so an incomplete record is damage and throws a `StorageError`.
 * @param file Name of the file, for error messages.
 * @param bytes Content of the file.
 */
export function readSingleRecord(file: string, bytes: Uint8Array): Uint8Array {
  const { payloads, validLength } = readRecords(file, bytes);
  const [payload] = payloads;
  if (
    payload === undefined || payloads.length !== 1 ||
    validLength !== bytes.length
  ) {
    throwCorrupt(file, "its record is incomplete");
  }
  return payload;
}

function checkHeader(file: string, buffer: Buffer): void {
  if (!buffer.subarray(0, 4).equals(magic)) {
    throwCorrupt(file, "it does not start with a known header");
  }
  const version = buffer.readUInt32LE(4);
  if (version > storageFormatVersion) {
    throw new StorageError(
      "newer-format",
      `File ${file} has format version ${version}; this release reads up to ${storageFormatVersion}`,
    );
  }
}

function readRecord(buffer: Buffer, offset: number): Uint8Array | undefined {
  if (offset + recordHeaderBytes >= buffer.length) {
    return undefined;
  }
  const length = buffer.readUInt32LE(offset);
  const start = offset + recordHeaderBytes;
  if (length === 0 || length > buffer.length - start) {
    return undefined;
  }
  return buffer.readUInt32LE(offset + 4) === getChecksum(buffer, offset, length)
    ? buffer.subarray(start, start + length)
    : undefined;
}

function getChecksum(record: Buffer, offset: number, length: number): number {
  const start = offset + recordHeaderBytes;
  return crc32c(
    record.subarray(start, start + length),
    crc32c(record.subarray(offset, offset + 4)),
  );
}
