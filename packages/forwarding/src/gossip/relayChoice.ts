/**
 * Relays of gossip. In a large fleet, the instances of an availability zone send their updates to one of them, the relay, which
 * exchanges sums with the relays of the other zones. So the messages of an instance do not grow with the fleet, and a load is known
 * everywhere after a few intervals.
 *
 * All instances order the members of a zone alike. An instance sends to a member that precedes it, never to a later one, so that
 * different views of which members are reachable cannot form a cycle that counts a load twice.
 */
import * as contracts from '@kingcupdeck/contracts'

/** An entry instance that may be a relay. */
export interface RelayCandidate { inner: string, zone: string }

/** Relays as seen by one instance. */
export interface RelayChoice {
  /** Relay of this instance, undefined if it relays for its zone itself. */
  own: string | undefined
  /** Relays of the other zones. */
  others: string[]
}

/** Largest fleet whose instances send their updates to all others directly. */
export const MAX_DIRECT_INSTANCES = 32
/** Relays of another zone that receive the sums of this one: the first may be unreachable for its own zone only. */
const RELAYS_PER_ZONE = 2

/**
 * Chooses the relays.
 * @param self this instance
 * @param others the other instances that are responsive
 * @param isSuspect whether an instance was found unreachable, or did not relay
 */
export function chooseRelays (self: RelayCandidate, others: readonly RelayCandidate[], isSuspect: (inner: string) => boolean): RelayChoice {
  const zones = new Map<string, RelayCandidate[]>()
  for (const item of [self, ...others]) {
    const members = zones.get(item.zone)
    if (members === undefined) zones.set(item.zone, [item])
    else members.push(item)
  }
  const choice: RelayChoice = { own: undefined, others: [] }
  for (const [zone, members] of zones) {
    const ordered = contracts.toRendezvousOrder(zone, members, item => item.inner).filter(item => item.inner === self.inner || !isSuspect(item.inner))
    if (zone !== self.zone) choice.others.push(...ordered.slice(0, RELAYS_PER_ZONE).map(item => item.inner))
    else if (ordered[0].inner !== self.inner) choice.own = ordered[0].inner
  }
  return choice
}
