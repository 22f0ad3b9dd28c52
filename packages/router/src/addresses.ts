/** Which addresses a caller should use: near ones first, spread over instances, none that is leaving. */
import * as contracts from '@kingcupdeck/contracts'
import * as membership from '@kingcupdeck/membership'
import * as routing from '@kingcupdeck/routing'

/** What an answer depends on. */
export interface AddressQuery {
  /** Spreads callers that ask for nothing else. */
  seed: string
  zone: string | undefined
  /** Where the chat's home is owned, that instance comes first: the request then needs no hop. */
  home: string | undefined
}

/**
 * Orders the fleet's addresses for a caller.
 * @param views the fleet
 * @param query who asks
 * @returns addresses, the best first, and how long to keep them
 */
export function toAddressList (views: membership.Views, query: AddressQuery): contracts.AddressList {
  const staying = views.instances().filter(item => !item.leaving)
  const scored = staying.map(item => ({ item, score: contracts.rendezvousScore(query.seed, item.id) }))
  const preference = (item: contracts.Instance): number => item.id === query.home ? 0 : item.zone === query.zone ? 1 : 2
  scored.sort((a, b) => preference(a.item) - preference(b.item) || b.score - a.score)
  return {
    addresses: scored.map(({ item }) => ({ instance: item.id, zone: item.zone, url: item.url })),
    maxAgeSeconds: contracts.ADDRESS_MAX_AGE_MS / 1000
  }
}

/**
 * Finds the owner of a chat's home engine.
 * @param views the fleet
 * @param table the endpoints
 * @param doc the document
 * @param model the model that the chat uses
 * @param chatKey what keeps the chat together
 * @returns the owner's id, or undefined where no engine carries the model
 */
export function findHomeOwner (views: membership.Views, table: membership.EndpointTable, doc: contracts.Document, model: string, chatKey: string): string | undefined {
  const service = doc.models[model]?.service
  if (service === undefined) return undefined
  const candidates = table.ready(service, model)
  const [home] = routing.rankByRendezvous({ key: chatKey, candidates })
  const entry = home === undefined ? undefined : table.get(home)
  return entry === undefined ? undefined : views.ownerOf(entry)?.id
}
