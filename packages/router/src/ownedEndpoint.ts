/** State of an endpoint at its owner: requests in flight, queue, connections and last announcement. */
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as routing from '@kingcupdeck/routing'
import type * as session from './session.js'

/** State of an endpoint at its owner. */
export interface OwnedEndpoint {
  readonly id: string
  /** The last announcement received; undefined once another instance owns the endpoint. */
  announcement: contracts.Announcement | undefined
  lastAnnouncementAt: number
  /** Announcement interval requested from the endpoint. */
  intervalMs: number
  client: links.EndpointClient
  address: string
  /** Requests admitted by this owner and not ended. */
  readonly sessions: Set<session.Session>
  readonly queue: routing.FairQueue<session.Session>
  readonly waitEstimate: routing.WaitEstimator
  /** Upper bound, never increasing, on the previous owner's requests that may still run. */
  inheritedLoad: number
  /** Minimum of `sessions.size` since the last announcement and in the interval before it. */
  lowestOwnLoad: { current: number, previous: number }
  /** The suspect request running here; at most one runs at a time. */
  suspect: session.Session | undefined
  /** Highest fencing number sent to it or announced by it. */
  highestFence: number
  orderedAt: number
  /** Times at which it returned after it was marked as gone. */
  recoveries: number[]
  /** No requests are admitted before this time, after repeated recoveries. */
  suspendedUntil: number
  isMarkedGone: boolean
  /** The health probe in progress, if any. */
  pendingProbe: Promise<ProbeResult> | undefined
}

/** Result of probing an endpoint whose connection failed. */
export type ProbeResult = 'alive' | 'died' | 'unresponsive'

const FLAP_WINDOW_MS = 60_000
const MAX_FLAPS = 2
const MAX_SUSPENSION_MS = 30_000

/**
 * Creates the state of an endpoint before its first announcement.
 * @param address IP address and port
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

/** Whether an announcement is not newer than the last one applied. */
export function isOutdated (endpoint: OwnedEndpoint, announcement: contracts.Announcement): boolean {
  const known = endpoint.announcement
  return known !== undefined && (known.boot > announcement.boot || (known.boot === announcement.boot && known.seq >= announcement.seq))
}

/**
 * Applies an announcement to the endpoint's state.
 * @param handedOverLoad requests that the previous owner reported in flight
 */
export function applyAnnouncement (endpoint: OwnedEndpoint, announcement: contracts.Announcement, handedOverLoad: number): void {
  const previous = endpoint.announcement
  const address = `${announcement.host}:${announcement.port}`
  if (address !== endpoint.address) {
    endpoint.client.closeIdle()
    endpoint.client = links.createEndpointClient(`http://${address}`)
    endpoint.address = address
  }
  if (previous === undefined) endpoint.inheritedLoad = Math.max(handedOverLoad, announcement.load - endpoint.sessions.size)
  else if (previous.boot !== announcement.boot) endpoint.inheritedLoad = 0
  else lowerInheritedLoad(endpoint, announcement.load)
  endpoint.lowestOwnLoad = { current: endpoint.sessions.size, previous: endpoint.lowestOwnLoad.current }
  endpoint.announcement = announcement
  endpoint.lastAnnouncementAt = performance.now()
  endpoint.highestFence = Math.max(endpoint.highestFence, announcement.fence)
}

/**
 * Lowers the bound on inherited load. The announced load is own plus inherited load at an unknown earlier time, and
 * inherited load never increases, so the announced load minus the lowest own load of the interval is an upper bound.
 */
function lowerInheritedLoad (endpoint: OwnedEndpoint, announcedLoad: number): void {
  const lowest = Math.min(endpoint.lowestOwnLoad.current, endpoint.lowestOwnLoad.previous)
  endpoint.inheritedLoad = Math.min(endpoint.inheritedLoad, Math.max(0, announcedLoad - lowest))
}

/** Returns the number of requests in flight, including inherited ones. */
export function toLoad (endpoint: OwnedEndpoint): number {
  return endpoint.sessions.size + endpoint.inheritedLoad
}

/** Whether an endpoint has missed enough announcements to be considered gone. */
export function isUnresponsive (endpoint: OwnedEndpoint): boolean {
  return performance.now() - endpoint.lastAnnouncementAt > contracts.ANNOUNCE_TIMEOUT_INTERVALS * endpoint.intervalMs
}

/** Whether an endpoint's last announcement says `ready` and is recent. */
export function isReady (endpoint: OwnedEndpoint): boolean {
  return endpoint.announcement?.state === 'ready' && !isUnresponsive(endpoint)
}

/**
 * Records that an endpoint returned, and suspends it with exponential backoff if it is flapping.
 * @returns whether it was suspended
 */
export function recordRecovery (endpoint: OwnedEndpoint): boolean {
  const now = performance.now()
  endpoint.recoveries = [...endpoint.recoveries.filter(at => now - at < FLAP_WINDOW_MS), now]
  const excess = endpoint.recoveries.length - MAX_FLAPS
  if (excess <= 0) return false
  endpoint.suspendedUntil = now + Math.min(MAX_SUSPENSION_MS, 1000 * 2 ** excess)
  return true
}
