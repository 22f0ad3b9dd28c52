/**
 * Where a request goes: the order in which endpoints are asked. The chosen policy is `owner`; the others are the
 * baselines that `npm run bench` measures it against, in the same code.
 */
import * as contracts from '@kingcupdeck/contracts'

/** The policies. */
export const PLACEMENT_POLICIES = ['owner', 'random', 'roundRobin', 'leastReported', 'powerOfTwo', 'plainHash', 'boundedSliver'] as const
/** A policy. */
export type PlacementPolicy = typeof PLACEMENT_POLICIES[number]

/** An endpoint as placement sees it. */
export interface Candidate { id: string, zone: string, weight: number }

/** What placement knows of loads. */
export interface LoadView {
  /** @returns the load of an endpoint as last heard of (may be old) */
  reported (id: string): number
  /** @returns how many requests this instance itself has in flight on the endpoint */
  local (id: string): number
}

/** What a choice depends on. */
export interface PlacementInput {
  policy: PlacementPolicy
  /** What keeps a chat together. */
  key: string
  candidates: readonly Candidate[]
  loads: LoadView
  loadFactor: number
  random: () => number
  /** Counts the choices, for round robin. */
  sequence: number
}

/** Spills go to one of this many ranks behind the home, so that a chat has few places where its cache may be. */
const SPILL_RANKS = 4

/**
 * Orders the endpoints that a request may go to.
 * @param input the request's key, the endpoints and what is known of their loads
 * @returns endpoint ids, the first to be asked first
 */
export function orderEndpoints (input: PlacementInput): string[] {
  const { policy } = input
  switch (policy) {
    case 'owner': return orderForOwner(input)
    case 'plainHash': return rankByRendezvous(input)
    case 'boundedSliver': return orderBoundedSliver(input)
    case 'random': return shuffle(input)
    case 'roundRobin': return rotate(input)
    case 'leastReported': return byLoad(input, ids(input), input.loads.reported)
    case 'powerOfTwo': return orderPowerOfTwo(input)
  }
}

function ids (input: PlacementInput): string[] {
  return input.candidates.map(item => item.id)
}

/** Above this many endpoints they are ranked in two steps, or each request would pay for a hash of every endpoint. */
const FLAT_UP_TO = 256
const GROUPS = 64
/** Groups whose endpoints are ranked: enough for the home, the spills and the tries behind them. */
const GROUPS_RANKED = 2

/**
 * Ranks endpoints for a key by weighted rendezvous hashing. Of a large pool only the ranks that matter are worked out: first
 * the groups are ranked by their weight, then the endpoints of the best two.
 * @param input the key and the endpoints; the same array is expected while the endpoints stay the same
 * @returns endpoint ids, the home first
 */
export function rankByRendezvous (input: Pick<PlacementInput, 'key' | 'candidates'>): string[] {
  const { key, candidates } = input
  if (candidates.length <= FLAT_UP_TO) return rankFlat(key, candidates)
  const groups = toGroups(candidates)
  const best = groups
    .map(group => ({ group, score: contracts.rendezvousScore(key, group.id, group.weight) }))
    .sort((a, b) => b.score - a.score)
    .slice(0, GROUPS_RANKED)
  return best.flatMap(item => rankFlat(key, item.group.candidates))
}

function rankFlat (key: string, candidates: readonly Candidate[]): string[] {
  const scored = candidates.map(item => ({ id: item.id, score: contracts.rendezvousScore(key, item.id, item.weight) }))
  scored.sort((a, b) => b.score - a.score)
  return scored.map(item => item.id)
}

interface Group { id: string, weight: number, candidates: Candidate[] }

const groupsOf = new WeakMap<readonly Candidate[], Group[]>()

/** The group of an endpoint follows from its id alone, so that others coming and going do not move it. */
function toGroups (candidates: readonly Candidate[]): Group[] {
  const known = groupsOf.get(candidates)
  if (known !== undefined) return known
  const groups = Array.from({ length: GROUPS }, (_, i) => ({ id: `group-${i}`, weight: 0, candidates: [] as Candidate[] }))
  for (const candidate of candidates) {
    const group = groups[contracts.hash32(candidate.id, GROUPS) % GROUPS]
    group.weight += candidate.weight
    group.candidates.push(candidate)
  }
  const used = groups.filter(group => group.weight > 0)
  groupsOf.set(candidates, used)
  return used
}

/** Home first; then the next ranks, least loaded first as far as known; then the rest by rank. */
function orderForOwner (input: PlacementInput): string[] {
  const ranked = rankByRendezvous(input)
  const spill = byLoad(input, ranked.slice(1, 1 + SPILL_RANKS), input.loads.reported)
  return [...ranked.slice(0, 1), ...spill, ...ranked.slice(1 + SPILL_RANKS)]
}

/** Bounded-load hashing on what this instance alone sees: the first rank below the factor times its own mean. */
function orderBoundedSliver (input: PlacementInput): string[] {
  const ranked = rankByRendezvous(input)
  const total = ranked.reduce((sum, id) => sum + input.loads.local(id), 0)
  const cap = Math.ceil(input.loadFactor * (total + 1) / ranked.length)
  const below = ranked.filter(id => input.loads.local(id) + 1 <= cap)
  return [...below, ...ranked.filter(id => !below.includes(id))]
}

function orderPowerOfTwo (input: PlacementInput): string[] {
  const mixed = shuffle(input)
  return [...byLoad(input, mixed.slice(0, 2), input.loads.reported), ...mixed.slice(2)]
}

function byLoad (input: PlacementInput, list: string[], load: (id: string) => number): string[] {
  return list.map((id, at) => ({ id, at, load: load(id) }))
    .sort((a, b) => a.load - b.load || a.at - b.at)
    .map(item => item.id)
}

function rotate (input: PlacementInput): string[] {
  const list = ids(input)
  const at = list.length === 0 ? 0 : input.sequence % list.length
  return [...list.slice(at), ...list.slice(0, at)]
}

function shuffle (input: PlacementInput): string[] {
  const list = ids(input)
  for (let i = list.length - 1; i > 0; i--) {
    const j = Math.floor(input.random() * (i + 1))
    const held = list[i]
    list[i] = list[j]
    list[j] = held
  }
  return list
}
