/**
 * Outlier detection: ejects endpoints whose attempts fail or are late clearly more often than those of the other endpoints of their
 * service, although they announce themselves as healthy. Failures that affect all endpoints alike, such as overload, eject none.
 */
import * as decayedCounts from './decayedCounts.js'
import * as numbers from './numbers.js'

/** Attempts at one endpoint since the last gossip update: endpoint id, all attempts, missed attempts. */
export type OutcomeDelta = [endpoint: string, attempts: number, missed: number]

/** An endpoint that may be ejected. */
export interface OutlierCandidate {
  id: string
  /** Known requests in flight, of all entry instances. */
  load: number
  slots: number
}

/** Attempt statistics of endpoints, and the ejections based on them. */
export interface OutlierDetector {
  /** Records an attempt. It is missed if it failed, was rejected or exceeded the target latency. */
  record (endpoint: string, isMissed: boolean, now: number): void
  /** Merges the statistics of another instance. */
  merge (deltas: readonly OutcomeDelta[], now: number): void
  /** Returns the attempts recorded by this instance since the last call. */
  takeDeltas (now: number): OutcomeDelta[]
  /** Discards what this instance recorded about an endpoint and has not sent yet: it was not the fault of the endpoint. */
  forgive (endpoint: string): void
  /** Number of endpoints with statistics. */
  size (): number
  /** Returns the endpoints of a service that are ejected now. */
  findOutliers (service: string, endpoints: readonly OutlierCandidate[], now: number): ReadonlySet<string>
}

/** Half-life of the attempt statistics: long enough for twenty attempts at a small endpoint, short compared to an outage. */
const HALF_LIFE_MS = 1500
/** Minimum duration of an ejection. Then the endpoint has to be found worse again, since a short fault is over. */
const EJECTION_MS = 4000
/** Statistics that are older than this are deleted, because endpoints come and go under new ids. */
const RETENTION_MS = 20 * HALF_LIFE_MS
/** Minimum share of missed attempts of an outlier. */
const MIN_MISSED_SHARE = 0.25
/** Minimum excess over the misses expected from the other endpoints, in standard deviations. */
const MIN_DEVIATIONS = 2.5
/** Additional missed attempts that are required, because the deviation of few attempts is unreliable. */
const MIN_EXCESS_MISSED = 2
/** Lower bound of the expected share of missed attempts. With none missed anywhere, the first few would make an outlier. */
const MIN_EXPECTED_SHARE = 0.05
/** Maximum share of the endpoints of a service that may be ejected: the remaining ones must carry the load. */
const MAX_EJECTED_SHARE = 1 / 3
/** No endpoint is ejected if the remaining ones would exceed this share of their slots. */
const MAX_UTILIZATION = 0.7

const NO_OUTLIERS: ReadonlySet<string> = new Set()

/** Creates a detector without statistics. */
export function createOutlierDetector (onChange: (endpoint: string, isEjected: boolean, share: number) => void = () => {}): OutlierDetector {
  const own = decayedCounts.createDecayedCounts(HALF_LIFE_MS)
  const all = decayedCounts.createDecayedCounts(HALF_LIFE_MS)
  const deltas = new Map<string, OutcomeDelta>()
  const ejectedByService = new Map<string, Set<string>>()
  const ejectedUntil = new Map<string, number>()

  /** Returns the endpoints with a clearly higher share of missed attempts than all other endpoints together. */
  const detect = (counts: decayedCounts.DecayedCounts, endpoints: readonly OutlierCandidate[], now: number): ReadonlySet<string> => {
    const total = { attempts: 0, missed: 0 }
    const suspects: Array<{ id: string, item: decayedCounts.Counts }> = []
    for (const { id } of endpoints) {
      const item = counts.get(id)
      if (item === undefined) continue
      total.attempts += item.attempts
      total.missed += item.missed
      if (toMissedShare(item) >= MIN_MISSED_SHARE) suspects.push({ id, item })
    }
    if (suspects.length === 0) return NO_OUTLIERS
    const unit = counts.unit(now)
    const outliers = new Set<string>()
    for (const { id, item } of suspects) {
      const share = toMissedShare({ attempts: total.attempts - item.attempts, missed: total.missed - item.missed })
      const expected = item.attempts / unit * Math.max(MIN_EXPECTED_SHARE, share)
      if (item.missed / unit > expected + MIN_DEVIATIONS * Math.sqrt(expected) + MIN_EXCESS_MISSED) outliers.add(id)
    }
    return outliers
  }

  const deleteExpired = (now: number): void => {
    for (const counts of [own, all]) counts.prune(now, RETENTION_MS)
    for (const [id, until] of ejectedUntil) if (now > until + RETENTION_MS) ejectedUntil.delete(id)
  }

  const missedShareOf = (id: string): number => toMissedShare(all.get(id) ?? { attempts: 0, missed: 0 })

  const recordChanges = (service: string, next: Set<string>, now: number): void => {
    const previous = ejectedByService.get(service) ?? new Set<string>()
    for (const id of next) {
      if (previous.has(id)) continue
      ejectedUntil.set(id, now + EJECTION_MS)
      onChange(id, true, missedShareOf(id))
    }
    for (const id of previous) {
      if (next.has(id)) continue
      ejectedUntil.delete(id)
      onChange(id, false, missedShareOf(id))
    }
    ejectedByService.set(service, next)
  }

  return {
    record (endpoint, isMissed, now) {
      const missed = isMissed ? 1 : 0
      own.add(endpoint, 1, missed, now)
      all.add(endpoint, 1, missed, now)
      const item = deltas.get(endpoint) ?? [endpoint, 0, 0]
      deltas.set(endpoint, [endpoint, item[1] + 1, item[2] + missed])
    },
    merge (list, now) {
      for (const [endpoint, attempts, missed] of list) all.add(endpoint, attempts, missed, now)
    },
    takeDeltas (now) {
      deleteExpired(now)
      const list = [...deltas.values()]
      deltas.clear()
      return list
    },
    forgive (endpoint) {
      own.delete(endpoint)
      deltas.delete(endpoint)
    },
    size: () => Math.max(own.size(), all.size()),
    findOutliers (service, endpoints, now) {
      // An endpoint may fail for one availability zone only, so the statistics of this instance are also evaluated alone.
      const outliers = [detect(all, endpoints, now), detect(own, endpoints, now)]
      const isQuiet = outliers.every(set => set.size === 0) && ejectedUntil.size === 0 && (ejectedByService.get(service)?.size ?? 0) === 0
      if (isQuiet) return NO_OUTLIERS
      const ranked = endpoints
        .filter(item => now < (ejectedUntil.get(item.id) ?? 0) || outliers.some(set => set.has(item.id)))
        .sort((a, b) => missedShareOf(b.id) - missedShareOf(a.id))
        .slice(0, Math.floor(MAX_EJECTED_SHARE * endpoints.length))
      const ejected = new Set(ranked.map(item => item.id))
      const remaining = endpoints.filter(item => !ejected.has(item.id))
      // If the remaining endpoints cannot take the load, an outlier is better than an overloaded endpoint.
      if (numbers.sum(endpoints.map(item => item.load)) > MAX_UTILIZATION * numbers.sum(remaining.map(item => item.slots))) ejected.clear()
      recordChanges(service, ejected, now)
      return ejected
    }
  }
}

function toMissedShare (stats: decayedCounts.Counts): number {
  return stats.attempts <= 0 ? 0 : stats.missed / stats.attempts
}
