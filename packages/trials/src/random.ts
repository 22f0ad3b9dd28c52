/** Seeded choices for trials. */
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformFloat64'

/**
 * Creates a source of numbers in [0, 1).
 * @param seed the same seed gives the same numbers
 * @returns the source
 */
export function createRandom (seed: number): () => number {
  const generator = xoroshiro.xoroshiro128plus(seed)
  return () => uniform.uniformFloat64(generator)
}

/**
 * Picks one of a list.
 * @param random the source
 * @param list what to pick from, not empty
 * @returns one of them
 */
export function pick<T> (random: () => number, list: readonly T[]): T {
  return list[Math.floor(random() * list.length)]
}

/**
 * Words that mean nothing, for prompts.
 * @param random the source
 * @param count how many
 * @returns the text
 */
export function createWords (random: () => number, count: number): string {
  return Array.from({ length: count }, () => Math.floor(random() * 1e6).toString(36)).join(' ')
}
