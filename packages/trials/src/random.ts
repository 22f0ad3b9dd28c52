/** Seeded pseudo-random numbers. */
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformFloat64'

/** Creates a generator of uniform numbers in [0, 1); equal seeds give equal sequences. */
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

/** Creates prompt text of `count` random words, separated by spaces. */
export function createWords (random: () => number, count: number): string {
  return Array.from({ length: count }, () => Math.floor(random() * 1e6).toString(36)).join(' ')
}
