/**
 * Fleet views known to this instance. The current view determines endpoint owners; earlier views show which instances may
 * still act as owners.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as ownership from './ownership.js'

/** The current fleet view and the earlier ones that some instance may still act on. */
export interface Views {
  /** Number of the current view; 0 before the first. */
  number (): number
  instances (): readonly contracts.Instance[]
  find (id: string): contracts.Instance | undefined
  /** Applies an update; older ones are ignored. @returns whether the current view changed */
  apply (update: contracts.ViewUpdate): boolean
  /** @returns the owner of an endpoint in the current view */
  ownerOf (endpoint: ownership.EndpointLocation): contracts.Instance | undefined
  /** @returns whether no instance other than the current owner can still act as owner of the endpoint */
  isOwnershipSettled (endpoint: ownership.EndpointLocation): boolean
}

interface View { number: number, instances: contracts.Instance[], owners: Map<string, contracts.Instance | undefined> }

/** Number of retained views. A laggard that is further behind blocks all ownership changes until its lease expires. */
const MAX_VIEWS = 64

export function createViews (): Views {
  let views: View[] = [{ number: 0, instances: [], owners: new Map() }]
  /** The latest view that each instance incarnation is known to have seen; never decreases. */
  const seen = new Map<string, number>()
  const current = (): View => views[views.length - 1]

  const ownerIn = (view: View, endpoint: ownership.EndpointLocation): contracts.Instance | undefined => {
    if (view.owners.has(endpoint.id)) return view.owners.get(endpoint.id)
    const owner = ownership.findOwner(view.instances, endpoint)
    view.owners.set(endpoint.id, owner)
    return owner
  }

  const appendView = (change: contracts.ViewChange): void => {
    const { instances } = current()
    views.push({ number: change.number, instances: toNextInstances(instances, change), owners: new Map() })
    if (views.length > MAX_VIEWS) views.shift()
  }

  // An instance's incarnation is the number of the view it joined with, so it cannot have acted on an earlier view.
  const seenBy = (instance: contracts.Instance): number => seen.get(toMemberId(instance)) ?? instance.incarnation

  const recordSeen = (update: contracts.ViewUpdate): void => {
    const latest = current()
    for (const instance of latest.instances) {
      const laggard = update.laggards.find(item => item.instance === instance.id)
      seen.set(toMemberId(instance), Math.max(seenBy(instance), laggard?.seen ?? update.number))
    }
    const memberIds = new Set(latest.instances.map(toMemberId))
    for (const id of seen.keys()) {
      if (!memberIds.has(id)) seen.delete(id)
    }
    const oldest = Math.min(latest.number, ...latest.instances.map(seenBy))
    while (views.length > 1 && views[0].number < oldest) views.shift()
  }

  return {
    number: () => current().number,
    instances: () => current().instances,
    find: id => current().instances.find(item => item.id === id),
    apply (update) {
      const before = current().number
      // Updates of a deposed leader may still be in flight, so an older view is never applied.
      if (update.number < before) return false
      if (update.base !== undefined && update.number > before) views = [{ number: update.base.number, instances: update.base.instances, owners: new Map() }]
      for (const change of update.changes) {
        if (change.number === current().number + 1) appendView(change)
      }
      if (current().number === update.number) recordSeen(update)
      return current().number !== before
    },
    ownerOf: endpoint => ownerIn(current(), endpoint),
    isOwnershipSettled (endpoint) {
      const latest = current()
      const owner = ownerIn(latest, endpoint)
      for (const other of latest.instances) {
        if (other.id === owner?.id) continue
        const lastSeen = seenBy(other)
        if (lastSeen >= latest.number) continue
        // The views it may act on are no longer retained: wait until it catches up or its lease expires.
        if (lastSeen < views[0].number) return false
        for (const view of views) {
          if (view.number >= lastSeen && view !== latest && ownerIn(view, endpoint)?.id === other.id) return false
        }
      }
      return true
    }
  }
}

function toMemberId (instance: contracts.Instance): string {
  return `${instance.id}#${instance.incarnation}`
}

function toNextInstances (instances: readonly contracts.Instance[], change: contracts.ViewChange): contracts.Instance[] {
  const others = instances.filter(item => item.id !== change.instance.id)
  switch (change.kind) {
    case 'joined': return [...others, change.instance]
    case 'leaving': return [...others, change.instance]
    case 'left': return others
  }
}
