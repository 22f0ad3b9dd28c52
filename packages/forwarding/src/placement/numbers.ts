/** Arithmetic helpers. */

/**
 * Returns the sum of the numbers.
 * @returns their sum, 0 for none
 */
export function sum (list: readonly number[]): number {
  return list.reduce((total, item) => total + item, 0)
}

/**
 * Returns the upper median.
 * @returns the upper median, or undefined for none
 */
export function median (list: readonly number[]): number | undefined {
  return [...list].sort((a, b) => a - b)[Math.floor(list.length / 2)]
}
