/** Steps of importance within one class. */
export const bucketsPerClass = 128;

/**
 * Gets the importance of a call; a lower number is more important.
 * @param classIndex Index of the class; 0 is the most important.
 * @param hash Unsigned 32-bit hash of the identity of the whole request.
 * @returns `classIndex * 128 + bucket`, with the bucket from the top bits of
 * the hash, so that buckets and the order of the queue agree.
 */
export function getPriority(classIndex: number, hash: number): number {
  return classIndex * bucketsPerClass + (hash >>> 25);
}
