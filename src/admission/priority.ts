/** Number of priorities within one class. */
export const bucketsPerClass = 128;

/**
 * Gets the priority of a call as a number; 0 is the highest priority. Within a
 * class, the hash decides, so that calls of the same request have the same one.
 * @param classIndex Index of the class; 0 is the most important.
 * @param hash Unsigned 32-bit hash of the identity of the whole request.
 * @returns `classIndex * 128 + bucket`. The bucket is the top 7 bits of the
 * hash, because the queue orders calls of a class and depth by hash.
 */
export function getPriority(classIndex: number, hash: number): number {
  return classIndex * bucketsPerClass + (hash >>> 25);
}
