/** Prefix cache of the engine stand-in: an LRU cache of token blocks. */
import * as contracts from '@kingcupdeck/contracts'

/** Number of tokens in a block. */
export const BLOCK_TOKENS = 16

export interface PrefixCache {
  /** Returns how many leading blocks are cached, and marks them as used. */
  match (blocks: readonly number[]): number
  /** Caches blocks, evicting the least recently used ones, and returns the number of evicted blocks. */
  store (blocks: readonly number[]): number
  size (): number
}

/**
 * Creates an empty cache.
 * @param capacity maximum number of blocks
 */
export function createPrefixCache (capacity: number): PrefixCache {
  const blocksByRecency = new Map<number, true>()
  const touch = (block: number): void => {
    blocksByRecency.delete(block)
    blocksByRecency.set(block, true)
  }
  return {
    match (blocks) {
      let count = 0
      while (count < blocks.length && blocksByRecency.has(blocks[count])) count++
      for (const block of blocks.slice(0, count)) touch(block)
      return count
    },
    store (blocks) {
      for (const block of blocks) touch(block)
      let evicted = 0
      while (blocksByRecency.size > capacity) {
        blocksByRecency.delete(blocksByRecency.keys().next().value as number)
        evicted++
      }
      return evicted
    },
    size: () => blocksByRecency.size
  }
}

/** Splits text at whitespace; each word is one token. */
export function toTokens (text: string): string[] {
  return text.split(/\s+/).filter(token => token !== '')
}

/** Returns one hash per full block of a prompt; each hash covers the block and all tokens before it. */
export function toBlocks (tokens: readonly string[]): number[] {
  const blocks: number[] = []
  let parentHash = 0
  for (let start = 0; start + BLOCK_TOKENS <= tokens.length; start += BLOCK_TOKENS) {
    parentHash = contracts.hash32(tokens.slice(start, start + BLOCK_TOKENS).join(' '), parentHash)
    blocks.push(parentHash)
  }
  return blocks
}
