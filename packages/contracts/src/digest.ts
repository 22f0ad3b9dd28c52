/** SHA-256 digests, separate from hashing.ts so that control instances do not load its native library. */
import * as crypto from 'node:crypto'

/** Returns the SHA-256 digest in lower-case hexadecimal, the form in which the configuration document stores tokens. */
export function sha256 (text: string | Uint8Array): string {
  return crypto.createHash('sha256').update(text).digest('hex')
}

/** Compares two secrets of equal length in constant time. */
export function isSameSecret (left: string, right: string): boolean {
  const a = Buffer.from(left)
  const b = Buffer.from(right)
  return a.length === b.length && crypto.timingSafeEqual(a, b)
}
