/** Throughput below which what is sent to another instance is taken for lost. */
const minimumBytesPerMillisecond = 128;

/**
 * Gets the time that a transfer takes at the least throughput.
 * @param bytes Size of the transfer.
 * @returns The time in milliseconds.
 */
export function getTransferMilliseconds(bytes: number): number {
  return bytes / minimumBytesPerMillisecond;
}
