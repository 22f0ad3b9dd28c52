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
  return weight * toUnweightedScore(key, node)
}

/**
 * Orders nodes by their score for a key, the owner first.
 * @param toId returns the id of a node
 */
export function toRendezvousOrder<T> (key: string, nodes: Iterable<T>, toId: (node: T) => string): T[] {
  return [...nodes]
    .map(node => ({ node, score: rendezvousScore(key, toId(node)) }))
    .sort((a, b) => b.score - a.score)
    .map(item => item.node)
}

/** Returns the score of a node for one key; see {@link rendezvousScore}. */
export type Scorer = (node: string, weight?: number) => number

/** Creates a function that scores nodes for a key and hashes each node once. */
export function createScorer (key: string): Scorer {
  const scores = new Map<string, number>()
  return (node, weight = 1) => {
    let score = scores.get(node)
    if (score === undefined) {
      score = toUnweightedScore(key, node)
      scores.set(node, score)
    }
    return weight * score
  }
}

function toUnweightedScore (key: string, node: string): number {
  const unit = (hash32(`${key}\n${node}`, 0x9e37) + 1) / 4294967297
  return -1 / Math.log(unit)
}
