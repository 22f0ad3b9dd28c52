/** Seeded random numbers. */
import * as uniform from 'pure-rand/distribution/uniformFloat64'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'

/** Returns a generator of numbers in [0, 1). */
export function createRandom (seed: number): () => number {
  const generator = xoroshiro.xoroshiro128plus(seed)
  return () => uniform.uniformFloat64(generator)
}

/**
 * Picks a random item.
 * @param list must not be empty
 */
export function pick<T> (random: () => number, list: readonly T[]): T {
  return list[Math.floor(random() * list.length)]
}
