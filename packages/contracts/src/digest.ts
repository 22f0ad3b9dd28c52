/**
 * Digests of texts and secrets. They stand apart from other hashes, whose library is native code that a control instance does not
 * need, and that it would load at each start.
 */
import * as crypto from 'node:crypto'

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
