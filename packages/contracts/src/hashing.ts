/** Hash helpers over a well-kept library: rendezvous scores, fingerprints and token digests. */
import * as crypto from 'node:crypto'
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

/**
 * SHA-256 of a text in lower-case hexadecimal; the form in which tokens stand in the document.
 * @param text the secret or body
 * @returns 64 hexadecimal digits
 */
export function sha256 (text: string | Uint8Array): string {
  return crypto.createHash('sha256').update(text).digest('hex')
}

/**
 * Compares two strings in constant time, so that a response time tells nothing about a secret.
 * @param left one string
 * @param right the other
 * @returns whether they are equal
 */
export function isSameSecret (left: string, right: string): boolean {
  const a = Buffer.from(left)
  const b = Buffer.from(right)
  return a.length === b.length && crypto.timingSafeEqual(a, b)
}
