/** Who owns an endpoint: the instance that all work for the endpoint passes through. */
import * as contracts from '@kingcupdeck/contracts'

/** What ownership depends on, of an endpoint. */
export interface EndpointLocation { id: string, zone: string }

/**
 * Finds the owner of an endpoint by rendezvous hashing, preferring instances of the endpoint's own availability zone.
 * @param instances the instances of a view
 * @param endpoint the endpoint
 * @returns the owner, or undefined in an empty view
 */
export function findOwner (instances: readonly contracts.Instance[], endpoint: EndpointLocation): contracts.Instance | undefined {
  const staying = instances.filter(item => !item.leaving)
  const near = staying.filter(item => item.zone === endpoint.zone)
  const candidates = near.length > 0 ? near : staying
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
