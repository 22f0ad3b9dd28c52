/**
 * The load cap: no endpoint is given work beyond a set multiple of the mean load across the endpoints of its pool. The
 * inequality here is the promise; the owner asserts it at every admission.
 */

/** What the cap of an endpoint depends on. */
export interface LoadCapInput {
  /** The set multiple of the mean, above 1. */
  factor: number
  /** Requests in flight in the whole pool, without the one to admit. */
  total: number
  /** Sum of the weights of the pool's endpoints. */
  weightSum: number
  /** Weight of this endpoint. */
  weight: number
  /** How many requests the endpoint can run at once. */
  slots: number
}

/**
 * Computes how many requests an endpoint may have in flight.
 * @param input the pool's load and the endpoint's share
 * @returns the largest load that the admission of one more may lead to; at least 1, at most the endpoint's slots
 */
export function toLoadCap (input: LoadCapInput): number {
  const mean = (input.total + 1) / Math.max(input.weightSum, input.weight)
  const cap = Math.ceil(input.factor * mean * input.weight - 1e-9)
  return Math.max(1, Math.min(input.slots, cap))
}
