/** Numbers in [0, 1) from a seed. */
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformFloat64'

export function createRandom (seed: number): () => number {
  const generator = xoroshiro.xoroshiro128plus(seed)
  return () => uniform.uniformFloat64(generator)
}
