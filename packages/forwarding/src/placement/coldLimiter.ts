/**
 * Limits the requests that the whole fleet sends to an endpoint that is warming up, without messages between the instances. A few
 * instances are designated for each such endpoint by rendezvous hashing, and each of them has an equal share of the limit; the
 * others use warm endpoints.
 */
import * as contracts from '@kingcupdeck/contracts'

/** Limit of the requests to a cold endpoint, in addition to the rate that its service declares. */
export interface ColdBound {
  /** Multiple of the declared rate. */
  excess: number
  /** Requests per second on top of it. */
  slack: number
}

/** Options of {@link createColdLimiter}. */
export interface ColdLimiterOptions {
  /** Id of this instance. */
  self: string
  /** Returns the ids of all entry instances that may still send requests, with or without this one. */
  instanceIds: () => readonly string[]
}

/** Limits the requests of this instance to cold endpoints. */
export interface ColdLimiter {
  /**
   * Returns whether this instance may send a request to a cold endpoint now.
   * @param maxPerSecond limit of the whole fleet, requests in any second
   */
  maySend (endpointId: string, maxPerSecond: number, now: number): boolean
  /** Records that this instance sends a request to a cold endpoint. */
  recordSend (endpointId: string, now: number): void
}

/** Share of the limit of the whole fleet that one instance may use. */
export interface ColdShare { /** Number of designated instances. */ senders: number, /** Requests of each of them in any second. */ perSecond: number }

/** More than one, so that an endpoint still receives requests while one of them restarts. */
const MAX_SENDERS = 4
/**
 * Instances whose views of the fleet differ, as during a partition, may designate different instances. Each designated set has this
 * part of the limit.
 */
const VIEW_SHARE = 0.5
const WINDOW_MS = 1000
/** Time for which a designation is kept, since it is looked up for each request. */
const DESIGNATION_MAX_AGE_MS = 500
const MAX_ENTRIES = 2000

/**
 * Returns the limit for a service.
 * @param ratePerSecond rate that the service declares for cold endpoints, 0 without one
 * @returns requests in any second, Infinity without a limit
 */
export function toMaxPerSecond (ratePerSecond: number, bound: ColdBound): number {
  return ratePerSecond > 0 ? ratePerSecond * bound.excess + bound.slack : Infinity
}

/** Divides the limit of the whole fleet among designated instances. */
export function toColdShare (maxPerSecond: number, instanceCount: number): ColdShare {
  const available = Math.max(1, Math.floor(maxPerSecond * VIEW_SHARE))
  const senders = Math.min(MAX_SENDERS, instanceCount, available)
  return { senders, perSecond: Math.floor(available / senders) }
}

/**
 * Returns whether an instance is one of the designated senders to an endpoint.
 * @param instanceIds ids of all instances, this one included
 */
export function isDesignated (endpointId: string, self: string, instanceIds: readonly string[], senders: number): boolean {
  return contracts.toRendezvousOrder(endpointId, instanceIds, id => id).slice(0, senders).includes(self)
}

/** Creates a limiter. */
export function createColdLimiter (opts: ColdLimiterOptions): ColdLimiter {
  const entries = new Map<string, { at: number, perSecond: number, sends: number[] }>()

  const lookUp = (endpointId: string, maxPerSecond: number, now: number): { perSecond: number, sends: number[] } => {
    const known = entries.get(endpointId)
    if (known !== undefined && now - known.at < DESIGNATION_MAX_AGE_MS) return known
    const ids = [...new Set([opts.self, ...opts.instanceIds()])]
    const share = toColdShare(maxPerSecond, ids.length)
    const entry = { at: now, perSecond: isDesignated(endpointId, opts.self, ids, share.senders) ? share.perSecond : 0, sends: known?.sends ?? [] }
    if (entries.size >= MAX_ENTRIES) entries.clear()
    entries.set(endpointId, entry)
    return entry
  }

  return {
    maySend (endpointId, maxPerSecond, now) {
      const entry = lookUp(endpointId, maxPerSecond, now)
      while (entry.sends.length > 0 && now - entry.sends[0] >= WINDOW_MS) entry.sends.shift()
      return entry.sends.length < entry.perSecond
    },
    recordSend (endpointId, now) { entries.get(endpointId)?.sends.push(now) }
  }
}
