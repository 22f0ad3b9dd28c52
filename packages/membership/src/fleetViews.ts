/**
 * The views of the fleet as one instance knows them. The current view says who owns an endpoint; the views before it say
 * who may still believe to own it.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as ownership from './ownership.js'

/** The views that an instance knows. */
export interface Views {
  /** Number of the current view; 0 before the first. */
  number (): number
  instances (): readonly contracts.Instance[]
  find (id: string): contracts.Instance | undefined
  /** Takes an update. @returns whether the view changed */
  apply (update: contracts.ViewUpdate): boolean
  /** @returns the owner of an endpoint in the current view */
  ownerOf (endpoint: ownership.EndpointLocation): contracts.Instance | undefined
  /** @returns whether nobody but the owner of the current view can still act as owner of this endpoint */
  isOwnershipSettled (endpoint: ownership.EndpointLocation): boolean
}

interface View { number: number, instances: contracts.Instance[], owners: Map<string, contracts.Instance | undefined> }

/** Views kept to judge laggards by; a laggard further behind than this holds everything up until its lease ends. */
const MAX_VIEWS = 64

/**
 * Creates the views of an instance that knows none yet.
 * @returns the views
 */
export function createViews (): Views {
  let views: View[] = [{ number: 0, instances: [], owners: new Map() }]
  /** The latest view that each member, by incarnation, is known to have seen; this only grows. */
  const seen = new Map<string, number>()
  const current = (): View => views[views.length - 1]

  const ownerIn = (view: View, endpoint: ownership.EndpointLocation): contracts.Instance | undefined => {
    if (view.owners.has(endpoint.id)) return view.owners.get(endpoint.id)
    const owner = ownership.findOwner(view.instances, endpoint)
    view.owners.set(endpoint.id, owner)
    return owner
  }

  const step = (change: contracts.ViewChange): void => {
    const { instances } = current()
    views.push({ number: change.number, instances: toNext(instances, change), owners: new Map() })
    if (views.length > MAX_VIEWS) views.shift()
  }

  // A member has acted on no view before the one that it joined with, which its incarnation is the number of.
  const seenBy = (member: contracts.Instance): number => seen.get(toMemberId(member)) ?? member.incarnation

  const noteSeen = (update: contracts.ViewUpdate): void => {
    const now = current()
    for (const member of now.instances) {
      const laggard = update.laggards.find(item => item.instance === member.id)
      seen.set(toMemberId(member), Math.max(seenBy(member), laggard?.seen ?? update.number))
    }
    const isMember = new Set(now.instances.map(toMemberId))
    for (const id of seen.keys()) {
      if (!isMember.has(id)) seen.delete(id)
    }
    const oldest = Math.min(now.number, ...now.instances.map(seenBy))
    while (views.length > 1 && views[0].number < oldest) views.shift()
  }

  return {
    number: () => current().number,
    instances: () => current().instances,
    find: id => current().instances.find(item => item.id === id),
    apply (update) {
      const before = current().number
      // An instance never takes an older view: a deposed leader's words may still be under way.
      if (update.number < before) return false
      if (update.base !== undefined && update.number > before) views = [{ number: update.base.number, instances: update.base.instances, owners: new Map() }]
      for (const change of update.changes) {
        if (change.number === current().number + 1) step(change)
      }
      if (current().number === update.number) noteSeen(update)
      return current().number !== before
    },
    ownerOf: endpoint => ownerIn(current(), endpoint),
    isOwnershipSettled (endpoint) {
      const now = current()
      const owner = ownerIn(now, endpoint)
      for (const other of now.instances) {
        if (other.id === owner?.id) continue
        const latest = seenBy(other)
        if (latest >= now.number) continue
        // Too far behind to judge what it may believe: wait for it, or for its lease to end.
        if (latest < views[0].number) return false
        for (const view of views) {
          if (view.number >= latest && view !== now && ownerIn(view, endpoint)?.id === other.id) return false
        }
      }
      return true
    }
  }
}

function toMemberId (member: contracts.Instance): string {
  return `${member.id}#${member.incarnation}`
}

function toNext (instances: readonly contracts.Instance[], change: contracts.ViewChange): contracts.Instance[] {
  const others = instances.filter(item => item.id !== change.instance.id)
  switch (change.kind) {
    case 'joined': return [...others, change.instance]
    case 'leaving': return [...others, change.instance]
    case 'left': return others
  }
}
