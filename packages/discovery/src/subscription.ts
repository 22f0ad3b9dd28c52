/** A subscription of an entry instance to a control instance. */
import type * as links from '@kingcupdeck/links'
import type * as livenesses from './liveness.js'
import type * as subscriptionChoices from './subscriptionChoice.js'

/** A subscription, which may still have to be accepted by the control instance. */
export interface Subscription extends subscriptionChoices.SubscriptionState {
  link: links.Link | undefined
  /** Records that it reports as live; undefined if it sends every heartbeat instead. */
  live: livenesses.LiveRecords | undefined
  /** Time of the last event. */
  lastSeenAt: number
  /** Whether the control instance has said if it has a quorum. */
  hasReported: boolean
  /** Time of the last tick, undefined before the first. */
  lastTickAt: number | undefined
  /** Time of the last tick with a quorum, at first that of the subscription. */
  lastQuorumAt: number
  version: number
}

/**
 * Describes what a subscription tells about the latest document, for the log.
 * @param now milliseconds
 */
export function describeSubscription (sub: Subscription, now: number): string {
  const tick = sub.lastTickAt === undefined ? 'no tick yet' : `${sub.isCurrent ? '' : 'not '}current ${Math.round(now - sub.lastTickAt)} ms ago`
  return `${sub.address} version ${sub.version}, ${tick}`
}
