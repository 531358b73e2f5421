/** Largest values that a decoded header may carry. */
export const fieldLimits = {
  /** Equals the size of the largest headers that a node accepts. */
  requestIdLength: 64 * 1024,
  callerLength: 128,
  classIndex: 15,
  /** Equals the largest deadline that the document allows. */
  remainingMilliseconds: 600_000,
  /** Equals the largest attempt allowance that the document allows. */
  allowance: 10_000,
  depth: 64,
  hash: 2 ** 32 - 1,
  /** 16 classes of 128 buckets. */
  level: 16 * 128,
  levelEntries: 64,
  /** Running or queued calls of one target, or its limit. */
  load: 1_000_000,
  /** Equals the largest deadline that the document allows. */
  serviceMicroseconds: 600_000_000,
  serviceLength: 1024,
  keyLength: 256,
  answerLength: 4096,
  /** The longest encoded request identity and service, and the other fields. */
  contextLength: 190 * 1024,
} as const;

/**
 * Reads a decimal number without sign, leading zeros or other characters.
 * @param text The text; `undefined` when the field is missing.
 * @param maximum Largest value that is accepted.
 * @returns The number, or -1 when the text is anything else.
 */
export function readWholeNumber(
  text: string | undefined,
  maximum: number,
): number {
  if (text === undefined || text.length === 0 || text.length > 16) {
    return -1;
  }
  let value = 0;
  for (let index = 0; index < text.length; index++) {
    const digit = text.charCodeAt(index) - 48;
    if (digit < 0 || digit > 9) {
      return -1;
    }
    value = value * 10 + digit;
  }
  const hasLeadingZero = text.length > 1 && text.charCodeAt(0) === 48;
  return hasLeadingZero || value > maximum ? -1 : value;
}
