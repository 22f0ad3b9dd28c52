/** Arithmetic that several decisions need. */

/**
 * Adds up.
 * @param list numbers
 * @returns their sum, 0 for none
 */
export function sum (list: readonly number[]): number {
  return list.reduce((total, item) => total + item, 0)
}
