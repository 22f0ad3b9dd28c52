/**
 * Which endpoint gets a request. A decision without input or output: it sees the loads and the request's prompt.
 *
 * Load pattern: many requests share the first parts of their prompts, and an endpoint that has read a part keeps it. So
 * requests with the same shared parts go to the same endpoint, unless it carries much more than the others: then the next
 * one in the order of that prompt takes them, so that a prompt that becomes popular spreads over a few endpoints and not
 * over all.
 *
 * Load pattern: more requests than the endpoints can begin in time. Whatever is sent waits behind all that was sent before, so
 * that all answers come late, and a request that is sent elsewhere in haste has its prompt read twice. So a request goes to no
 * endpoint where it would begin late; if that is so of the first few in its order, it is refused while there is time to return.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as numbers from './numbers.js'

/** An endpoint that may get the request. */
export interface Candidate {
  id: string
  zone: string
  /** Requests there, of all entry instances as far as known. */
  load: number
  /** Requests of this instance there. */
  ownInFlight: number
  slots: number
  /** Whether it says that it is still slow after its start. */
  isCold: boolean
  /** How long a request is likely to wait there until its answer begins, milliseconds; 0 where nothing is known. */
  delayMs: number
  /** Connections that this instance may still open there. */
  freeConnections: number
  /** How long it has been running, milliseconds; Infinity if not known. */
  ageMs: number
}

/** What the choice depends on beside the candidates. */
export interface ChoiceOptions {
  /** What the request shares with others; absent where nothing is gained by returning to an endpoint. */
  affinity: string | undefined
  /** Availability zone of this instance. */
  zone: string
  /** Where it would wait longer than this it is not sent, milliseconds. */
  delayLimitMs: number
}

/** What came of the choice. */
export type Choice =
  /** The endpoint, and why: the first in the order of the prompt, a later one, one nearby, or the least loaded. */
  | { kind: 'chosen', id: string, why: 'home' | 'spill' | 'near' | 'least' }
  /** At all that come into question the request would wait too long, for this time at least. */
  | { kind: 'busy', delayMs: number }
  /** No endpoint has room. */
  | { kind: 'none' }

/** An endpoint may carry this multiple of the mean load before requests go to the next one ... */
const LOAD_FACTOR = 1.5
/** ... and this many more, since a mean near zero says little. */
const LOAD_ALLOWANCE = 2.5
/** So many endpoints in the order of a prompt may be asked to take it: at each further one it would be read anew. */
const HOMES = 2
/** A new endpoint begins with this share of the prompts that are its in the long run ... */
const NEWCOMER_SHARE = 0.1
/** ... and has all of them after this time. */
const NEWCOMER_MS = 120_000
/** While less than this share of all places is taken, a zone may have twice its share of requests without a wait. */
const QUIET_SHARE = 0.35

/**
 * Chooses an endpoint.
 * @param candidates endpoints of the service that may get work
 * @param req what the request shares, and where it came in
 * @param draw a number in [0, 1), to spread requests among equals
 * @returns the endpoint, or why there is none
 */
export function chooseEndpoint (candidates: readonly Candidate[], req: ChoiceOptions, draw: number): Choice {
  const open = candidates.filter(item => item.freeConnections > 0)
  if (open.length === 0) return { kind: 'none' }
  const mean = numbers.sum(candidates.map(item => item.load)) / candidates.length
  const bound = LOAD_FACTOR * mean + LOAD_ALLOWANCE
  return req.affinity === undefined ? chooseSpread(open, req.zone, draw) : chooseHome(open, req.affinity, bound, req.delayLimitMs)
}

/** An endpoint whose cache may hold what a request shares. */
export interface CacheSource { id: string, ageMs: number }

/**
 * Names the endpoint from whose cache the chosen one may copy the shared parts of a prompt.
 *
 * Load pattern: an endpoint leaves, joins, or is so popular that its requests go to the next one; each time prompts that some
 * endpoint holds would be read again elsewhere, and all that wait there would wait for it. Copying them takes a fraction of that.
 * @param sources all endpoints that can be reached, also those that leave, the chosen one with them
 * @param affinity what the request shares
 * @param chosen the endpoint that gets the request
 * @returns the id of the most likely holder, or undefined where the chosen one is that itself
 */
export function chooseCacheSource (sources: readonly CacheSource[], affinity: string, chosen: string): string | undefined {
  const [first, second] = rank(sources, affinity)
  if (first === undefined) return undefined
  if (first.id !== chosen) return first.id
  // A newcomer that is first in the order took the place of the second, which was first until it came.
  return first.ageMs < NEWCOMER_MS ? second?.id : undefined
}

/** @returns the endpoints in the order of a prompt, its home first */
function rank<T extends CacheSource> (endpoints: readonly T[], affinity: string): T[] {
  return endpoints
    .map(item => ({ item, score: contracts.rendezvousScore(affinity, item.id, toWeight(item.ageMs)) }))
    .sort((a, b) => b.score - a.score)
    .map(({ item }) => item)
}

function chooseHome (open: readonly Candidate[], affinity: string, bound: number, delayLimitMs: number): Choice {
  const ranked = rank(open, affinity)
  const fitting = ranked.filter(item => item.load + 1 <= bound)
  const homes = fitting.length > 0 ? fitting.slice(0, HOMES) : [leastLoaded(open)]
  const chosen = homes.find(item => item.delayMs <= delayLimitMs)
  if (chosen === undefined) return { kind: 'busy', delayMs: Math.min(...homes.map(item => item.delayMs)) }
  return { kind: 'chosen', id: chosen.id, why: fitting.length === 0 ? 'least' : chosen === ranked[0] ? 'home' : 'spill' }
}

/**
 * The endpoint with the fewest requests of this instance for its places; of the own availability zone while all is quiet.
 *
 * Load pattern: 64 instances send 300 short requests a second to five endpoints with six places each. What they tell each other
 * is older than a request lasts; were the least loaded one by that chosen, all of them would choose the same one until the next
 * news. What each instance has under way itself is never old, and grows where an endpoint is slow.
 */
function chooseSpread (open: readonly Candidate[], zone: string, draw: number): Choice {
  const busy = numbers.sum(open.map(item => item.load)) / numbers.sum(open.map(item => item.slots))
  const warm = open.filter(item => !item.isCold)
  const near = busy < QUIET_SHARE ? warm.filter(item => item.zone === zone) : []
  const pool = [near, warm, open].find(list => list.length > 0) ?? open
  const least = Math.min(...pool.map(item => item.ownInFlight / item.slots))
  const equals = pool.filter(item => item.ownInFlight / item.slots <= least)
  return { kind: 'chosen', id: equals[Math.floor(draw * equals.length)].id, why: near.length > 0 ? 'near' : 'least' }
}

/**
 * Load pattern: endpoints are replaced one after the other, or crash and come back empty. Were a newcomer given its whole
 * share at once, so many prompts that others hold would be read again in the seconds in which the others also take over what
 * the lost ones held. Requests that the others have no room for go to it all the same.
 */
function toWeight (ageMs: number): number {
  return Math.min(1, NEWCOMER_SHARE + (1 - NEWCOMER_SHARE) * ageMs / NEWCOMER_MS)
}

function leastLoaded (pool: readonly Candidate[]): Candidate {
  return pool.reduce((best, item) => item.load / item.slots < best.load / best.slots ? item : best)
}
