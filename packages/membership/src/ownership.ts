/** Endpoint ownership: all requests to an endpoint pass through the one instance that owns it. */
import * as contracts from '@kingcupdeck/contracts'

/** The properties of an endpoint that its ownership depends on. */
export interface EndpointLocation { id: string, zone: string }

/**
 * Finds the owner of an endpoint by rendezvous hashing, preferring instances in the endpoint's availability zone.
 * @returns undefined when all instances are leaving or there are none
 */
export function findOwner (instances: readonly contracts.Instance[], endpoint: EndpointLocation): contracts.Instance | undefined {
  const remaining = instances.filter(item => !item.leaving)
  const sameZone = remaining.filter(item => item.zone === endpoint.zone)
  const candidates = sameZone.length > 0 ? sameZone : remaining
  let best: contracts.Instance | undefined
  let bestScore = -Infinity
  for (const candidate of candidates) {
    const score = contracts.rendezvousScore(endpoint.id, candidate.id)
    if (score <= bestScore) continue
    best = candidate
    bestScore = score
  }
  return best
}
