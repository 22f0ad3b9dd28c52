/** An endpoint as its owner keeps it: the exact count in flight, the queue, the connections and the last announcement. */
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as routing from '@kingcupdeck/routing'
import type * as session from './session.js'

/** An endpoint as its owner keeps it. */
export interface OwnedEndpoint {
  readonly id: string
  /** The last announcement that came here; undefined once another instance owns the endpoint. */
  announcement: contracts.Announcement | undefined
  lastAnnouncementAt: number
  /** The interval between announcements that it was asked for. */
  intervalMs: number
  client: links.EndpointClient
  address: string
  /** Requests admitted and not ended; the exact count in flight of this owner. */
  readonly sessions: Set<session.Session>
  readonly queue: routing.FairQueue<session.Session>
  readonly waitEstimate: routing.WaitEstimator
  /** Requests of an earlier owner that may still run: an upper bound that only falls. */
  inheritedLoad: number
  /** Lowest own count since the last announcement, and in the interval before. */
  lowestOwnLoad: { current: number, previous: number }
  /** The suspect that runs here; no other may run beside it. */
  suspect: session.Session | undefined
  /** Highest fencing number sent to it or announced by it. */
  highestFence: number
  orderedAt: number
  /** Times at which it came back after being gone. */
  recoveries: number[]
  suspendedUntil: number
  isMarkedGone: boolean
  /** The check of whether it died, while one is under way. */
  pendingProbe: Promise<ProbeResult> | undefined
}

/** What became of an endpoint whose connection failed. */
export type ProbeResult = 'alive' | 'died' | 'unresponsive'

const FLAP_WINDOW_MS = 60_000
const FLAPS_ALLOWED = 2
const MAX_HOLD_MS = 30_000

/**
 * Creates an owned endpoint that has not announced itself here yet.
 * @param id the endpoint
 * @param address IP number and port
 * @returns the endpoint
 */
export function createOwnedEndpoint (id: string, address: string): OwnedEndpoint {
  return {
    id,
    announcement: undefined,
    lastAnnouncementAt: -Infinity,
    intervalMs: contracts.ANNOUNCE_INTERVAL_MS,
    client: links.createEndpointClient(`http://${address}`),
    address,
    sessions: new Set(),
    queue: routing.createFairQueue(),
    waitEstimate: routing.createWaitEstimator(),
    inheritedLoad: 0,
    lowestOwnLoad: { current: 0, previous: 0 },
    suspect: undefined,
    highestFence: 0,
    orderedAt: -Infinity,
    recoveries: [],
    suspendedUntil: -Infinity,
    isMarkedGone: false,
    pendingProbe: undefined
  }
}

/**
 * Tells whether an announcement is an earlier one, or the same once more.
 * @param endpoint the endpoint
 * @param announcement what it says of itself
 * @returns whether it says nothing new
 */
export function isOutdated (endpoint: OwnedEndpoint, announcement: contracts.Announcement): boolean {
  const known = endpoint.announcement
  return known !== undefined && (known.boot > announcement.boot || (known.boot === announcement.boot && known.seq >= announcement.seq))
}

/**
 * Takes an announcement into the owner's books.
 * @param endpoint the endpoint
 * @param announcement what it says of itself
 * @param handedOver requests that an earlier owner says it still has in flight there
 */
export function applyAnnouncement (endpoint: OwnedEndpoint, announcement: contracts.Announcement, handedOver: number): void {
  const before = endpoint.announcement
  const address = `${announcement.host}:${announcement.port}`
  if (address !== endpoint.address) {
    endpoint.client.closeIdle()
    endpoint.client = links.createEndpointClient(`http://${address}`)
    endpoint.address = address
  }
  if (before === undefined) endpoint.inheritedLoad = Math.max(handedOver, announcement.load - endpoint.sessions.size)
  else if (before.boot !== announcement.boot) endpoint.inheritedLoad = 0
  else lowerForeign(endpoint, announcement.load)
  endpoint.lowestOwnLoad = { current: endpoint.sessions.size, previous: endpoint.lowestOwnLoad.current }
  endpoint.announcement = announcement
  endpoint.lastAnnouncementAt = performance.now()
  endpoint.highestFence = Math.max(endpoint.highestFence, announcement.fence)
}

/**
 * The announced load is old by an unknown lag, but at that time it was our own count plus the foreign one, and the
 * foreign one only falls. So what is left after our lowest own count in the interval is an upper bound.
 */
function lowerForeign (endpoint: OwnedEndpoint, announcedLoad: number): void {
  const lowest = Math.min(endpoint.lowestOwnLoad.current, endpoint.lowestOwnLoad.previous)
  endpoint.inheritedLoad = Math.min(endpoint.inheritedLoad, Math.max(0, announcedLoad - lowest))
}

/**
 * The exact load as the cap counts it.
 * @param endpoint the endpoint
 * @returns requests in flight, those of an earlier owner among them
 */
export function toLoad (endpoint: OwnedEndpoint): number {
  return endpoint.sessions.size + endpoint.inheritedLoad
}

/**
 * Tells whether an endpoint has missed its announcements.
 * @param endpoint the endpoint
 * @returns whether it must be taken for gone
 */
export function isUnresponsive (endpoint: OwnedEndpoint): boolean {
  return performance.now() - endpoint.lastAnnouncementAt > contracts.ANNOUNCE_TIMEOUT_INTERVALS * endpoint.intervalMs
}

/**
 * Tells whether an endpoint takes work at all.
 * @param endpoint the endpoint
 * @returns whether it lately said that it is ready
 */
export function isReady (endpoint: OwnedEndpoint): boolean {
  return endpoint.announcement?.state === 'ready' && !isUnresponsive(endpoint)
}

/**
 * Notes that an endpoint came back, and holds one back that comes and goes.
 * @param endpoint the endpoint
 * @returns whether it is held back now
 */
export function recordRecovery (endpoint: OwnedEndpoint): boolean {
  const now = performance.now()
  endpoint.recoveries = [...endpoint.recoveries.filter(at => now - at < FLAP_WINDOW_MS), now]
  const excess = endpoint.recoveries.length - FLAPS_ALLOWED
  if (excess <= 0) return false
  endpoint.suspendedUntil = now + Math.min(MAX_HOLD_MS, 1000 * 2 ** excess)
  return true
}
