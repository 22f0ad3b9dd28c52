/** Where chats ran that their first endpoint had no room for. */
import type * as contracts from '@kingcupdeck/contracts'
import type * as membership from '@kingcupdeck/membership'
import * as routing from '@kingcupdeck/routing'

/** Where chats ran. */
export interface ChatLocations {
  /** Remembers where a chat ran. */
  record (chat: string, home: string, endpoint: string): void
  /** @returns the other endpoint that a request should be pointed to, once, while that one is ready */
  find (msg: contracts.Dispatch): string | undefined
}

/**
 * Creates the memory of places.
 * @param table the endpoints as announced
 * @returns the memory, empty
 */
export function createChatLocations (table: membership.EndpointTable): ChatLocations {
  const places = routing.createAffinityTable()
  return {
    record (chat, home, endpoint) {
      if (home === endpoint) places.delete(`${chat}\n${home}`)
      else places.set(`${chat}\n${home}`, endpoint)
    },
    find (msg) {
      if (msg.work.kind !== 'chat' || msg.waitMs > 0) return undefined
      const place = places.get(`${msg.work.chat}\n${msg.endpoint}`)
      const entry = place === undefined ? undefined : table.get(place)
      const isUsable = entry?.state === 'ready' && entry.models.includes(msg.work.model) && msg.work.avoid?.includes(entry.id) !== true
      return isUsable && place !== msg.endpoint ? place : undefined
    }
  }
}
