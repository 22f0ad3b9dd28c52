/** Non-cryptographic hashing and weighted rendezvous hashing. */
import * as xxhash from '@node-rs/xxhash'

/**
 * Returns the xxHash32 of a text.
 * @param seed selects one of several independent hash functions
 * @returns an unsigned 32-bit integer
 */
export function hash32 (text: string, seed = 0): number {
  return xxhash.xxh32(text, seed)
}

/**
 * Returns the score of a node for a key in weighted rendezvous hashing; the node with the highest score owns the key.
 * @param weight relative share of the keys, above 0
 */
export function rendezvousScore (key: string, node: string, weight = 1): number {
  const unit = (hash32(`${key}\n${node}`, 0x9e37) + 1) / 4294967297
  return -weight / Math.log(unit)
}
