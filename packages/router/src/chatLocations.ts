/** Remembers which endpoint served a chat that spilled from its home. */
import type * as contracts from '@kingcupdeck/contracts'
import type * as membership from '@kingcupdeck/membership'
import * as routing from '@kingcupdeck/routing'

/** Locations of spilled chats. */
export interface ChatLocations {
  /** Records the endpoint that served a chat; the home itself clears the record. */
  record (chat: string, home: string, endpoint: string): void
  /** @returns the endpoint to redirect a request to, or undefined if none is recorded, ready and eligible */
  find (msg: contracts.Dispatch): string | undefined
}

/**
 * Creates an empty record of spilled chats.
 * @param table the announced endpoints
 */
export function createChatLocations (table: membership.EndpointTable): ChatLocations {
  const locations = routing.createAffinityTable()
  return {
    record (chat, home, endpoint) {
      if (home === endpoint) locations.delete(`${chat}\n${home}`)
      else locations.set(`${chat}\n${home}`, endpoint)
    },
    find (msg) {
      if (msg.work.kind !== 'chat' || msg.waitMs > 0) return undefined
      const location = locations.get(`${msg.work.chat}\n${msg.endpoint}`)
      const entry = location === undefined ? undefined : table.get(location)
      const isUsable = entry?.state === 'ready' && entry.models.includes(msg.work.model) && msg.work.avoid?.includes(entry.id) !== true
      return isUsable && location !== msg.endpoint ? location : undefined
    }
  }
}
