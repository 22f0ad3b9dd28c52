/**
 * Which endpoints answer worse than the others of their service, and get no work for a while. A decision without input or
 * output: it sees how attempts went, here and at the other entry instances.
 *
 * Load pattern: one of a few endpoints fails or delays four of ten requests, or is silent on open connections, while its
 * announcements and health check are good. Its load is low since it answers quickly or not at all, so it would get as much
 * work as the sound ones. What fails everywhere, as under too much load, is no reason: only the difference to the others counts.
 */
import * as numbers from './numbers.js'

/** How attempts at one endpoint went since an instance told last: its id, all attempts, those that missed. */
export type OutcomeDelta = [endpoint: string, attempts: number, missed: number]

/** An endpoint as it may be set aside. */
export interface OutlierCandidate {
  id: string
  /** Requests there, of all entry instances as far as known. */
  load: number
  slots: number
}

/** How attempts at endpoints went. */
export interface OutlierDetector {
  /** Notes an attempt; it missed if it failed, was refused or came later than its target. */
  record (endpoint: string, isMissed: boolean, now: number): void
  /** Takes what another instance tells. */
  merge (news: readonly OutcomeDelta[], now: number): void
  /** @returns what was noted here since the last call */
  takeDeltas (now: number): OutcomeDelta[]
  /** @returns how many endpoints are remembered, here or by what others told */
  size (): number
  /** @returns those of a service's endpoints that should get no work now */
  findOutliers (service: string, endpoints: readonly OutlierCandidate[], now: number): ReadonlySet<string>
}

/** Half of what was seen counts after this time: long enough for twenty attempts at a small endpoint, short against a fault. */
const HALF_LIFE_MS = 1500
/** An endpoint that was set aside stays so for this long, and then has to be found worse again: a short fault is over. */
const HOLD_MS = 4000
/** What was seen longer ago than this counts for nothing and is forgotten: endpoints come and go under new ids. */
const FORGET_MS = 20 * HALF_LIFE_MS
/** An endpoint is worse if this share of its attempts missed ... */
const WORSE_SHARE = 0.25
/** ... and more than this many standard deviations over what the others' share lets expect ... */
const DEVIATIONS = 2.5
/** ... and these on top, since for few attempts a deviation says little. */
const MISSED_ON_TOP = 2
/** The others' share is taken for no less than this: with none missed anywhere, the first few would be a surprise. */
const LEAST_SHARE = 0.05
/** Of a service's endpoints at most this share is set aside: what is left must carry the load. */
const MOST_ASIDE = 1 / 3
/** Endpoints are set aside only while the others stay below this share of their places. */
const FULL_SHARE = 0.7

interface Tally { attempts: number, missed: number, at: number }

/**
 * Creates the memory of outcomes.
 * @param onChange told when an endpoint is set aside or gets work again
 * @returns the memory, empty
 */
export function createOutlierDetector (onChange: (endpoint: string, isAside: boolean, share: number) => void = () => {}): OutlierDetector {
  const own = new Map<string, Tally>()
  const all = new Map<string, Tally>()
  const news = new Map<string, OutcomeDelta>()
  const asideOf = new Map<string, Set<string>>()
  const heldUntil = new Map<string, number>()

  const add = (tallies: Map<string, Tally>, endpoint: string, attempts: number, missed: number, now: number): void => {
    const tally = read(tallies, endpoint, now)
    tally.attempts += attempts
    tally.missed += missed
    tallies.set(endpoint, tally)
  }

  /** @returns the endpoints whose attempts missed clearly more often than those at all others together */
  const findOutliers = (tallies: Map<string, Tally>, endpoints: readonly OutlierCandidate[], now: number): Set<string> => {
    const tallyOf = new Map(endpoints.map(item => [item.id, read(tallies, item.id, now)]))
    const attempts = numbers.sum([...tallyOf.values()].map(item => item.attempts))
    const missed = numbers.sum([...tallyOf.values()].map(item => item.missed))
    const outliers = new Set<string>()
    for (const [id, tally] of tallyOf) {
      if (toShare(tally) < WORSE_SHARE) continue
      const share = toShare({ attempts: attempts - tally.attempts, missed: missed - tally.missed })
      const expected = tally.attempts * Math.max(LEAST_SHARE, share)
      if (tally.missed > expected + DEVIATIONS * Math.sqrt(expected) + MISSED_ON_TOP) outliers.add(id)
    }
    return outliers
  }

  const forget = (now: number): void => {
    for (const tallies of [own, all]) {
      for (const [id, tally] of tallies) if (now - tally.at > FORGET_MS) tallies.delete(id)
    }
    for (const [id, until] of heldUntil) if (now > until + FORGET_MS) heldUntil.delete(id)
  }

  const noteChanges = (service: string, next: Set<string>, now: number): void => {
    const last = asideOf.get(service) ?? new Set<string>()
    for (const id of next) {
      if (last.has(id)) continue
      heldUntil.set(id, now + HOLD_MS)
      onChange(id, true, toShare(read(all, id, now)))
    }
    for (const id of last) {
      if (next.has(id)) continue
      heldUntil.delete(id)
      onChange(id, false, toShare(read(all, id, now)))
    }
    asideOf.set(service, next)
  }

  return {
    record (endpoint, isMissed, now) {
      const missed = isMissed ? 1 : 0
      add(own, endpoint, 1, missed, now)
      add(all, endpoint, 1, missed, now)
      const item = news.get(endpoint) ?? [endpoint, 0, 0]
      news.set(endpoint, [endpoint, item[1] + 1, item[2] + missed])
    },
    merge (list, now) {
      for (const [endpoint, attempts, missed] of list) add(all, endpoint, attempts, missed, now)
    },
    takeDeltas (now) {
      forget(now)
      const list = [...news.values()]
      news.clear()
      return list
    },
    size: () => Math.max(own.size, all.size),
    findOutliers (service, endpoints, now) {
      // An endpoint may fail for the callers of one availability zone only, so what was seen here counts by itself as well.
      const outliers = [findOutliers(all, endpoints, now), findOutliers(own, endpoints, now)]
      const worse = endpoints
        .filter(item => now < (heldUntil.get(item.id) ?? 0) || outliers.some(set => set.has(item.id)))
        .sort((a, b) => toShare(read(all, b.id, now)) - toShare(read(all, a.id, now)))
        .slice(0, Math.floor(MOST_ASIDE * endpoints.length))
      const aside = new Set(worse.map(item => item.id))
      const left = endpoints.filter(item => !aside.has(item.id))
      // Set aside they would leave too few places for the load: a worse endpoint is better than a full one.
      if (numbers.sum(endpoints.map(item => item.load)) > FULL_SHARE * numbers.sum(left.map(item => item.slots))) aside.clear()
      noteChanges(service, aside, now)
      return aside
    }
  }
}

/** @returns what is left of a tally by now */
function read (tallies: ReadonlyMap<string, Tally>, endpoint: string, now: number): Tally {
  const tally = tallies.get(endpoint)
  if (tally === undefined) return { attempts: 0, missed: 0, at: now }
  const left = 2 ** (-(now - tally.at) / HALF_LIFE_MS)
  return { attempts: tally.attempts * left, missed: tally.missed * left, at: now }
}

function toShare (tally: { attempts: number, missed: number }): number {
  return tally.attempts <= 0 ? 0 : tally.missed / tally.attempts
}
