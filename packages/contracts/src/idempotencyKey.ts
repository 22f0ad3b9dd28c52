/** The timestamp of an idempotency key. */

const TIME_HEX_DIGITS = 12

/**
 * Returns the timestamp of a UUIDv7 in milliseconds since the Unix epoch.
 * @param key a validated UUIDv7
 */
export function toKeyMs (key: string): number {
  return parseInt(key.replaceAll('-', '').slice(0, TIME_HEX_DIGITS), 16)
}
