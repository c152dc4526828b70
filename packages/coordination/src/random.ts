/**
 * Source of random numbers for this package's state machines. It is passed in
 * as a function, so that a seed reproduces every decision.
 */
import * as distribution from "pure-rand/distribution/uniformFloat64";
import * as generator from "pure-rand/generator/xoroshiro128plus";

/** Returns a number in [0, 1). */
export type RandomSource = () => number;

/** Creates a random source whose sequence depends only on the seed. */
export function createRandomSource(seed: number): RandomSource {
  const state = generator.xoroshiro128plus(seed);
  return () => distribution.uniformFloat64(state);
}
