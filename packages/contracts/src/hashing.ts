/** Hash helpers over a well-kept library: rendezvous scores. */
import * as xxhash from '@node-rs/xxhash'

/**
 * 32-bit hash of a text.
 * @param text what is hashed
 * @param seed makes independent families of hashes
 * @returns an unsigned 32-bit number
 */
export function hash32 (text: string, seed = 0): number {
  return xxhash.xxh32(text, seed)
}

/**
 * Score of a (key, node) pair for weighted rendezvous hashing: the node with the highest score owns the key. A node's
 * share of keys is its weight over the sum of weights, and the loss of a node moves only that node's keys.
 * @param key what is placed
 * @param node where it may be placed
 * @param weight the node's share, above 0
 * @returns a score; higher wins
 */
export function rendezvousScore (key: string, node: string, weight = 1): number {
  const unit = (hash32(`${key}\n${node}`, 0x9e37) + 1) / 4294967297
  return -weight / Math.log(unit)
}
