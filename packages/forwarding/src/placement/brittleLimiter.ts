/**
 * Limits the rejections of brittle endpoints: those that announce that they fail if they have to reject more than a number of requests
 * in a second. They receive no more requests than they run at once: known loads are late, so each instance has slots of its own, and
 * the slots of all endpoints of a service are dealt out in turn. After a rejection an instance leaves them alone for as long as its share of the tolerated rejections requires. So the whole
 * fleet keeps to the limit without messages between the instances.
 */

/** What is known of an endpoint that may be brittle. */
export interface BrittleCandidate {
  id: string
  /** Requests in flight of this instance. */
  ownInFlight: number
}

/** Slots of an endpoint. */
export interface EndpointSlots { id: string, address: string, slots: number }

/** Options of {@link createBrittleLimiter}. */
export interface BrittleLimiterOptions {
  /** Id of this instance. */
  self: string
  /** Returns the ids of all entry instances that may send requests, with or without this one. */
  instanceIds: () => readonly string[]
  /** Returns all known endpoints of a service, also those that are down. */
  endpointsOf: (service: string) => readonly EndpointSlots[]
}

/** Limits the rejections of brittle endpoints. */
export interface BrittleLimiter {
  /**
   * Records a response of an endpoint.
   * @param limit rejections in a second that it announces to tolerate, undefined if it is not brittle
   * @param isRejected whether it had no room for the request
   */
  record (service: string, endpoint: string, limit: number | undefined, isRejected: boolean, now: number): void
  /** Returns whether a request may be sent to an endpoint. */
  maySend (service: string, endpoint: BrittleCandidate, now: number): boolean
}

/** Share of the tolerated rejections that is used; the instances count each other with a delay. */
const SAFETY_SHARE = 0.5
const SECOND_MS = 1000
/** Time for which the shares of the slots are kept, since they are looked up for each request. */
const SHARES_MAX_AGE_MS = 250

/**
 * Returns how long an instance does not use an endpoint after a rejection.
 * @param limit rejections in a second that the endpoint tolerates from all instances
 * @returns milliseconds
 */
export function toPauseMs (limit: number, instanceCount: number): number {
  return SECOND_MS * Math.max(1, instanceCount / Math.max(1, SAFETY_SHARE * limit))
}

/** Parses the announcement of a brittle endpoint. @returns undefined if it is absent or no number */
export function parseBrittleLimit (header: string | string[] | undefined): number | undefined {
  const limit = Number(header ?? NaN)
  return Number.isFinite(limit) && limit >= 0 ? limit : undefined
}

/**
 * Deals the slots of all endpoints out to the instances, one after the other, and returns how many of each endpoint one of them has. All
 * of them together have no more than there are, and no instance has two slots more than another.
 * @param instanceIds ids of all instances, that one included
 */
export function toSlotShares (self: string, instanceIds: readonly string[], endpoints: readonly EndpointSlots[]): Map<string, number> {
  const place = [...instanceIds].sort().indexOf(self)
  const count = instanceIds.length
  const shares = new Map<string, number>()
  let first = 0
  // An endpoint that is restarted keeps its address.
  for (const { id, slots } of [...endpoints].sort((a, b) => a.address < b.address ? -1 : 1)) {
    const skipped = (place - first % count + count) % count
    shares.set(id, Math.max(0, Math.ceil((slots - skipped) / count)))
    first += slots
  }
  return shares
}

/** Creates a limiter. */
export function createBrittleLimiter (opts: BrittleLimiterOptions): BrittleLimiter {
  const pausesByService = new Map<string, Map<string, number>>()
  const sharesByService = new Map<string, { at: number, shares: Map<string, number> }>()

  const toInstances = (): string[] => [...new Set([opts.self, ...opts.instanceIds()])]

  const getShares = (service: string, now: number): Map<string, number> => {
    const known = sharesByService.get(service)
    if (known !== undefined && now - known.at < SHARES_MAX_AGE_MS) return known.shares
    const shares = toSlotShares(opts.self, toInstances(), opts.endpointsOf(service))
    sharesByService.set(service, { at: now, shares })
    return shares
  }

  return {
    record (service, endpoint, limit, isRejected, now) {
      if (limit === undefined) {
        pausesByService.delete(service)
        sharesByService.delete(service)
        return
      }
      const pauses = pausesByService.get(service) ?? new Map<string, number>()
      pausesByService.set(service, pauses)
      for (const [id, until] of pauses) if (until <= now) pauses.delete(id)
      if (isRejected) pauses.set(endpoint, now + toPauseMs(limit, toInstances().length))
    },
    maySend (service, endpoint, now) {
      const pauses = pausesByService.get(service)
      if (pauses === undefined) return true
      // It may let fewer requests wait than before, or none.
      return (pauses.get(endpoint.id) ?? -Infinity) <= now && endpoint.ownInFlight < (getShares(service, now).get(endpoint.id) ?? 0)
    }
  }
}
