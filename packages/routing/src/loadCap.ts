/** Bounded load: the in-flight requests of an endpoint stay within a configured multiple of the weighted mean of its pool. */

/** Absorbs floating-point error before rounding up. */
const ROUNDING = 1e-9

export interface LoadCapInput {
  /** Multiple of the mean load, greater than 1. */
  factor: number
  /** Requests in flight across the pool, excluding the one to be admitted. */
  total: number
  /** Sum of the weights of the pool's endpoints. */
  weightSum: number
  weight: number
  /** Number of requests that the endpoint can run concurrently. */
  slots: number
}

/**
 * Computes how many requests an endpoint may have in flight.
 * @returns the upper bound including the request to be admitted; at least 1, at most the endpoint's slots
 */
export function toLoadCap (input: LoadCapInput): number {
  const mean = (input.total + 1) / Math.max(input.weightSum, input.weight)
  const cap = Math.ceil(input.factor * mean * input.weight - ROUNDING)
  return Math.max(1, Math.min(input.slots, cap))
}
