/** The prefix cache of the engine stand-in: blocks of tokens, least recently used first out, within limited memory. */
import * as contracts from '@kingcupdeck/contracts'

/** Tokens in a block. */
export const BLOCK_TOKENS = 16

/** The prefix cache. */
export interface PrefixCache {
  /** @returns how many leading blocks are held; touches them */
  match (blocks: readonly number[]): number
  /** Holds blocks, dropping the least recently used. @returns how many were dropped */
  store (blocks: readonly number[]): number
  size (): number
}

/**
 * Creates an empty cache.
 * @param capacity blocks that fit
 * @returns the cache
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
      let dropped = 0
      while (blocksByRecency.size > capacity) {
        blocksByRecency.delete(blocksByRecency.keys().next().value as number)
        dropped++
      }
      return dropped
    },
    size: () => blocksByRecency.size
  }
}

/**
 * Cuts text into tokens, the stand-in's way: words.
 * @param text any text
 * @returns the tokens
 */
export function toTokens (text: string): string[] {
  return text.split(/\s+/).filter(token => token !== '')
}

/**
 * Names the blocks of a prompt; each name covers all tokens before it, as prefix caches have it.
 * @param tokens the prompt
 * @returns one name a full block
 */
export function toBlocks (tokens: readonly string[]): number[] {
  const blocks: number[] = []
  let parentHash = 0
  for (let start = 0; start + BLOCK_TOKENS <= tokens.length; start += BLOCK_TOKENS) {
    parentHash = contracts.hash32(tokens.slice(start, start + BLOCK_TOKENS).join(' '), parentHash)
    blocks.push(parentHash)
  }
  return blocks
}
