/**
 * Choice of control instances by an entry instance: how many subscriptions it wants, which one is the least useful, and whether
 * another control instance would be better. Spreads the subscriptions of all entry instances evenly.
 */
import * as contracts from '@kingcupdeck/contracts'

/** State of a subscription that the choice depends on. */
export interface SubscriptionState {
  address: string
  /** When it was begun, milliseconds. */
  startedAt: number
  /** Whether the control instance has accepted it. */
  isEstablished: boolean
  /** Whether the control instance had a quorum at its last tick. */
  isCurrent: boolean
}

/**
 * Number of subscriptions. Of five control instances, two may be partitioned from the others and still reachable for entry
 * instances: three subscriptions then include one with a quorum.
 */
export const SUBSCRIPTIONS = 3
/** Further subscriptions that may be open for a moment, while others are being established or replaced. */
const SPARE_SUBSCRIPTIONS = 2
/** A subscription that is not established after this long is no longer waited for: another one is opened beside it. */
const HEDGE_AFTER_MS = 700

/** Returns control instances in the order in which an entry instance prefers them. */
export function toPreferred (id: string, addresses: Iterable<string>): string[] {
  return contracts.toRendezvousOrder(id, addresses, address => address)
}

/**
 * Returns how many subscriptions to begin now.
 * @param isBeforeContact whether no control instance with a quorum was heard yet
 * @param now milliseconds
 */
export function countMissing (open: readonly SubscriptionState[], isBeforeContact: boolean, now: number): number {
  const isOverdue = (sub: SubscriptionState): boolean => now - sub.startedAt > HEDGE_AFTER_MS
  // At the start of a fleet all instances know the same few seeds: each asks one, and another one only if that does not help.
  const wanted = isBeforeContact ? Math.min(SUBSCRIPTIONS, 1 + open.filter(item => item.isEstablished && isOverdue(item)).length) : SUBSCRIPTIONS
  const slow = open.filter(item => !item.isEstablished && isOverdue(item)).length
  return Math.max(0, wanted - (open.length - Math.min(SPARE_SUBSCRIPTIONS, slow)))
}

/** Returns the least useful of surplus subscriptions: one without a quorum, or the least preferred; undefined if there is no surplus. */
export function findSurplus<T extends SubscriptionState> (id: string, open: readonly T[]): T | undefined {
  const established = open.filter(sub => sub.isEstablished)
  if (established.length <= SUBSCRIPTIONS) return undefined
  const leastPreferred = toPreferred(id, established.map(sub => sub.address)).at(-1)
  return established.find(sub => !sub.isCurrent) ?? established.find(sub => sub.address === leastPreferred)
}

/** Returns whether a control instance is preferred to one of the subscribed ones, and all subscriptions are in order. */
export function isImprovement (id: string, open: readonly SubscriptionState[], candidate: string): boolean {
  if (open.length !== SUBSCRIPTIONS || open.some(sub => !sub.isEstablished || !sub.isCurrent)) return false
  return toPreferred(id, [...open.map(sub => sub.address), candidate]).at(-1) !== candidate
}
