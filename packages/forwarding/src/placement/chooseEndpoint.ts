/**
 * Load balancing. Requests with a shared prompt prefix go to one endpoint by rendezvous hashing, for prompt cache affinity. If its load
 * exceeds a bound relative to the mean, they spill to the next endpoint in hash order. A request whose response would begin late at
 * these endpoints is rejected, so that the client can retry before its deadline. Other requests go to the least loaded endpoint.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as numbers from './numbers.js'

/** An endpoint that can be selected. */
export interface Candidate {
  id: string
  zone: string
  /** Known requests in flight, of all entry instances. */
  load: number
  /** Requests in flight of this instance. */
  ownInFlight: number
  slots: number
  /** Whether it announces that it is still warming up. */
  isCold: boolean
  /** Expected queue delay in milliseconds, 0 if unknown. */
  delayMs: number
  /** Further connections that this instance may open to it. */
  freeConnections: number
  /** Time since its start in milliseconds, Infinity if unknown. */
  ageMs: number
}

/** Properties of the request that the choice depends on. */
export interface ChoiceOptions {
  /** Scores endpoints for the shared prompt prefix; undefined for a request without affinity. */
  affinity: contracts.Scorer | undefined
  /** Availability zone of this instance. */
  zone: string
  /** Maximum queue delay, in milliseconds. */
  delayLimitMs: number
  /** Mean load of the service, endpoints that may not be chosen now included; that of the candidates by default. */
  meanLoad?: number
}

/** Result of {@link chooseEndpoint}. */
export type Choice =
  /** The endpoint and the reason: first in hash order, a later one, in the same availability zone, or least loaded. */
  | { kind: 'chosen', id: string, why: 'home' | 'spill' | 'near' | 'least' }
  /** All eligible endpoints exceed the maximum queue delay; `delayMs` is the lowest delay. */
  | { kind: 'busy', delayMs: number }
  /** No endpoint accepts further connections. */
  | { kind: 'none' }

/** Load bound of an endpoint, as a multiple of the mean load. */
const LOAD_FACTOR = 1.5
/** Requests that are added to the load bound, for small mean loads. */
const LOAD_ALLOWANCE = 2.5
/** Number of endpoints in hash order that are eligible; each further one would have to process the prompt again. */
const MAX_HOMES = 2
/** Initial rendezvous weight of a new endpoint, as a share of its final weight. */
const INITIAL_WEIGHT = 0.1
/** Time until a new endpoint has its final weight. */
const WARM_UP_MS = 120_000
/**
 * Utilization below which endpoints of the same availability zone are preferred. Up to it, a zone may have twice its share of the
 * requests without a wait.
 */
const ZONE_AFFINITY_UTILIZATION = 0.35

/**
 * Chooses an endpoint.
 * @param draw a number in [0, 1), to spread requests among equals
 */
export function chooseEndpoint (candidates: readonly Candidate[], req: ChoiceOptions, draw: number): Choice {
  const available = candidates.filter(item => item.freeConnections > 0)
  if (available.length === 0) return { kind: 'none' }
  if (req.affinity === undefined) return chooseByLoad(available, req.zone, draw)
  const meanLoad = req.meanLoad ?? toMeanLoad(candidates)
  return chooseByAffinity(available, req.affinity, LOAD_FACTOR * meanLoad + LOAD_ALLOWANCE, req.delayLimitMs)
}

/** Returns the mean load of endpoints, 0 without any. */
export function toMeanLoad (endpoints: ReadonlyArray<{ load: number }>): number {
  return endpoints.length === 0 ? 0 : numbers.sum(endpoints.map(item => item.load)) / endpoints.length
}

/** An endpoint whose KV cache may contain the shared prompt prefix. */
export interface CacheSource { id: string, ageMs: number }

/**
 * Returns the endpoint from whose KV cache the chosen one may import the shared prompt prefix, which is faster than processing it again.
 * @param sources all reachable endpoints, also leaving ones and the chosen one
 * @returns the id of the most likely source, or undefined if that is the chosen endpoint
 */
export function chooseCacheSource (sources: readonly CacheSource[], affinity: contracts.Scorer, chosen: string): string | undefined {
  const [first, second] = findFirst(sources, affinity, 2)
  if (first === undefined) return undefined
  if (first.id !== chosen) return first.id
  // A new endpoint that is first in hash order has replaced the second, which was first until then.
  return first.ageMs < WARM_UP_MS ? second?.id : undefined
}

/** Returns the first endpoints in rendezvous hash order for a shared prompt prefix. */
function findFirst<T extends CacheSource> (endpoints: readonly T[], affinity: contracts.Scorer, count: number): T[] {
  const first: Array<{ item: T, score: number }> = []
  for (const item of endpoints) {
    const score = affinity(item.id, toWeight(item.ageMs))
    if (first.length === count && score <= first[count - 1].score) continue
    const at = first.findIndex(other => score > other.score)
    first.splice(at < 0 ? first.length : at, 0, { item, score })
    if (first.length > count) first.pop()
  }
  return first.map(({ item }) => item)
}

function chooseByAffinity (available: readonly Candidate[], affinity: contracts.Scorer, bound: number, delayLimitMs: number): Choice {
  const belowBound = available.filter(item => item.load + 1 <= bound)
  const homes = belowBound.length > 0 ? findFirst(belowBound, affinity, MAX_HOMES) : [findLeastLoaded(available)]
  const chosen = homes.find(item => item.delayMs <= delayLimitMs)
  if (chosen === undefined) return { kind: 'busy', delayMs: Math.min(...homes.map(item => item.delayMs)) }
  const isHome = belowBound.length === available.length ? chosen === homes[0] : chosen === findFirst(available, affinity, 1)[0]
  return { kind: 'chosen', id: chosen.id, why: belowBound.length === 0 ? 'least' : isHome ? 'home' : 'spill' }
}

/**
 * Returns the endpoint with the lowest utilization by requests of this instance, in the same availability zone at low utilization.
 * Loads from gossip are older than short requests last: selecting by them would send all instances to the same endpoint.
 */
function chooseByLoad (available: readonly Candidate[], zone: string, draw: number): Choice {
  const utilization = numbers.sum(available.map(item => item.load)) / numbers.sum(available.map(item => item.slots))
  const warm = available.filter(item => !item.isCold)
  const sameZone = utilization < ZONE_AFFINITY_UTILIZATION ? warm.filter(item => item.zone === zone) : []
  const pool = [sameZone, warm, available].find(list => list.length > 0) ?? available
  const lowest = Math.min(...pool.map(item => item.ownInFlight / item.slots))
  const tied = pool.filter(item => item.ownInFlight / item.slots <= lowest)
  return { kind: 'chosen', id: tied[Math.floor(draw * tied.length)].id, why: sameZone.length > 0 ? 'near' : 'least' }
}

/** Raises the weight of a new endpoint gradually, which limits how many prompts have to be processed again when endpoints are replaced. */
function toWeight (ageMs: number): number {
  return Math.min(1, INITIAL_WEIGHT + (1 - INITIAL_WEIGHT) * ageMs / WARM_UP_MS)
}

function findLeastLoaded (pool: readonly Candidate[]): Candidate {
  return pool.reduce((best, item) => item.load / item.slots < best.load / best.slots ? item : best)
}
