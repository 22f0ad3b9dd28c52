/** Placement: the order in which endpoints are tried for a request. `owner` is the default; the other policies are benchmark baselines. */
import * as contracts from '@kingcupdeck/contracts'

export const PLACEMENT_POLICIES = ['owner', 'random', 'roundRobin', 'leastReported', 'powerOfTwo', 'plainHash', 'boundedSliver'] as const
export type PlacementPolicy = typeof PLACEMENT_POLICIES[number]

/** An endpoint that may serve the request. */
export interface Candidate { id: string, zone: string, weight: number }

/** Load of the endpoints as this instance knows it. */
export interface LoadView {
  /** @returns the load that the endpoint last reported; may be stale */
  reported (id: string): number
  /** @returns the number of requests that this instance has in flight on the endpoint */
  local (id: string): number
}

export interface PlacementInput {
  policy: PlacementPolicy
  /** Affinity key: requests with the same key prefer the same endpoints. */
  key: string
  candidates: readonly Candidate[]
  loads: LoadView
  loadFactor: number
  random: () => number
  /** Sequence number of the decision, used by round robin. */
  sequence: number
}

/** Number of ranks after the home that spills go to first; bounds how many endpoints cache the same chat. */
const SPILL_RANKS = 4

/**
 * Orders the candidate endpoints by the placement policy.
 * @returns endpoint ids, most preferred first
 */
export function orderEndpoints (input: PlacementInput): string[] {
  const { policy } = input
  switch (policy) {
    case 'owner': return orderForOwner(input)
    case 'plainHash': return rankByRendezvous(input)
    case 'boundedSliver': return orderBoundedSliver(input)
    case 'random': return shuffle(input)
    case 'roundRobin': return orderRoundRobin(input)
    case 'leastReported': return sortByLoad(input, toIds(input), input.loads.reported)
    case 'powerOfTwo': return orderPowerOfTwo(input)
  }
}

function toIds (input: PlacementInput): string[] {
  return input.candidates.map(item => item.id)
}

/** Larger pools are ranked in two levels, to avoid hashing every endpoint for each request. */
const MAX_FLAT_CANDIDATES = 256
const GROUP_COUNT = 64
/** Number of groups whose endpoints are ranked: enough for the home, the spill ranks and further retries. */
const RANKED_GROUPS = 2

/**
 * Ranks endpoints for a key by weighted rendezvous hashing. Large pools are ranked in two levels: groups by their total
 * weight, then the endpoints of the highest-ranked groups only.
 * @param input pass the same `candidates` array while the endpoints are unchanged: the grouping is cached by array
 * @returns endpoint ids, the home first
 */
export function rankByRendezvous (input: Pick<PlacementInput, 'key' | 'candidates'>): string[] {
  const { key, candidates } = input
  if (candidates.length <= MAX_FLAT_CANDIDATES) return rankFlat(key, candidates)
  const groups = toGroups(candidates)
  const topGroups = groups
    .map(group => ({ group, score: contracts.rendezvousScore(key, group.id, group.weight) }))
    .sort((a, b) => b.score - a.score)
    .slice(0, RANKED_GROUPS)
  return topGroups.flatMap(item => rankFlat(key, item.group.candidates))
}

function rankFlat (key: string, candidates: readonly Candidate[]): string[] {
  const scored = candidates.map(item => ({ id: item.id, score: contracts.rendezvousScore(key, item.id, item.weight) }))
  scored.sort((a, b) => b.score - a.score)
  return scored.map(item => item.id)
}

interface Group { id: string, weight: number, candidates: Candidate[] }

const groupCache = new WeakMap<readonly Candidate[], Group[]>()

/** Assigns groups by endpoint id alone, so that changes to other endpoints do not move an endpoint. */
function toGroups (candidates: readonly Candidate[]): Group[] {
  const cached = groupCache.get(candidates)
  if (cached !== undefined) return cached
  const groups = Array.from({ length: GROUP_COUNT }, (_, i) => ({ id: `group-${i}`, weight: 0, candidates: [] as Candidate[] }))
  for (const candidate of candidates) {
    const group = groups[contracts.hash32(candidate.id, GROUP_COUNT) % GROUP_COUNT]
    group.weight += candidate.weight
    group.candidates.push(candidate)
  }
  const nonEmpty = groups.filter(group => group.weight > 0)
  groupCache.set(candidates, nonEmpty)
  return nonEmpty
}

/** The home first, then the spill ranks by reported load, then the remaining endpoints by rank. */
function orderForOwner (input: PlacementInput): string[] {
  const ranked = rankByRendezvous(input)
  const spills = sortByLoad(input, ranked.slice(1, 1 + SPILL_RANKS), input.loads.reported)
  return [...ranked.slice(0, 1), ...spills, ...ranked.slice(1 + SPILL_RANKS)]
}

/** Consistent hashing with bounded loads, based only on the requests that this instance has in flight. */
function orderBoundedSliver (input: PlacementInput): string[] {
  const ranked = rankByRendezvous(input)
  const total = ranked.reduce((sum, id) => sum + input.loads.local(id), 0)
  const cap = Math.ceil(input.loadFactor * (total + 1) / ranked.length)
  const below = ranked.filter(id => input.loads.local(id) + 1 <= cap)
  return [...below, ...ranked.filter(id => !below.includes(id))]
}

function orderPowerOfTwo (input: PlacementInput): string[] {
  const shuffled = shuffle(input)
  return [...sortByLoad(input, shuffled.slice(0, 2), input.loads.reported), ...shuffled.slice(2)]
}

function sortByLoad (input: PlacementInput, list: string[], load: (id: string) => number): string[] {
  return list.map((id, at) => ({ id, at, load: load(id) }))
    .sort((a, b) => a.load - b.load || a.at - b.at)
    .map(item => item.id)
}

function orderRoundRobin (input: PlacementInput): string[] {
  const list = toIds(input)
  const at = list.length === 0 ? 0 : input.sequence % list.length
  return [...list.slice(at), ...list.slice(0, at)]
}

function shuffle (input: PlacementInput): string[] {
  const list = toIds(input)
  for (let i = list.length - 1; i > 0; i--) {
    const j = Math.floor(input.random() * (i + 1))
    const swapped = list[i]
    list[i] = list[j]
    list[j] = swapped
  }
  return list
}
