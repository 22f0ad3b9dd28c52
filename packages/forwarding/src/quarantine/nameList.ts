/** Lists of names in log lines. */

const MAX_NAMES = 16

/** Joins names, and says how many are left out. */
export function toNameList (names: readonly string[], separator: string): string {
  const rest = names.length - MAX_NAMES
  return `${names.slice(0, MAX_NAMES).join(separator)}${rest > 0 ? ` and ${rest} more` : ''}`
}
