/** The time that an idempotency key carries. */

const TIME_HEX_DIGITS = 12

/**
 * Reads the time out of a UUIDv7.
 * @param key a key that was checked to be one
 * @returns wall-clock milliseconds at which it was made
 */
export function toKeyMs (key: string): number {
  return parseInt(key.replaceAll('-', '').slice(0, TIME_HEX_DIGITS), 16)
}
