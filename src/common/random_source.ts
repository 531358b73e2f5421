import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

/** Generates a random number in [0, 1). */
export type RandomSource = () => number;

/**
 * Creates a deterministic random source.
 * @param seed A 32-bit integer.
 * @returns A source that yields the same numbers for the same seed.
 */
export function createSeededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
