/** Orders instance addresses for callers: the chat's home owner first, then the same zone; draining instances are left out. */
import * as contracts from '@kingcupdeck/contracts'
import * as membership from '@kingcupdeck/membership'
import * as routing from '@kingcupdeck/routing'

/** Inputs of the address order. */
export interface AddressQuery {
  /** Rendezvous hashing key that distributes callers over instances of equal preference. */
  seed: string
  zone: string | undefined
  /** Instance that owns the chat's home endpoint; listed first, since requests sent to it need no forwarding. */
  home: string | undefined
}

/**
 * Orders the fleet's addresses for a caller.
 * @returns addresses by descending preference, and their maximum age in seconds
 */
export function toAddressList (views: membership.Views, query: AddressQuery): contracts.AddressList {
  const available = views.instances().filter(item => !item.leaving)
  const scored = available.map(item => ({ item, score: contracts.rendezvousScore(query.seed, item.id) }))
  const toPreference = (item: contracts.Instance): number => item.id === query.home ? 0 : item.zone === query.zone ? 1 : 2
  scored.sort((a, b) => toPreference(a.item) - toPreference(b.item) || b.score - a.score)
  return {
    addresses: scored.map(({ item }) => ({ instance: item.id, zone: item.zone, url: item.url })),
    maxAgeSeconds: contracts.ADDRESS_MAX_AGE_MS / 1000
  }
}

/**
 * Finds the instance that owns a chat's home endpoint.
 * @param chatKey affinity key of the chat
 * @returns the owner's id, or undefined if no ready endpoint serves the model
 */
export function findHomeOwner (views: membership.Views, table: membership.EndpointTable, doc: contracts.Document, model: string, chatKey: string): string | undefined {
  const service = doc.models[model]?.service
  if (service === undefined) return undefined
  const candidates = table.ready(service, model)
  const [home] = routing.rankByRendezvous({ key: chatKey, candidates })
  const entry = home === undefined ? undefined : table.get(home)
  return entry === undefined ? undefined : views.ownerOf(entry)?.id
}
