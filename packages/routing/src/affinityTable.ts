/** Where chats last ran, for those that do not run at home: kept at the home's owner, bounded and expiring. */

/** Places of chats. */
export interface AffinityTable {
  get (chat: string): string | undefined
  set (chat: string, endpoint: string): void
  delete (chat: string): void
}

const MAX_CHATS = 50_000
const KEEP_MS = 30 * 60 * 1000

/**
 * Creates an empty memory.
 * @param now monotonic milliseconds
 * @returns the memory
 */
export function createAffinityTable (now: () => number = () => performance.now()): AffinityTable {
  const places = new Map<string, { endpoint: string, at: number }>()
  return {
    get (chat) {
      const place = places.get(chat)
      if (place === undefined) return undefined
      if (now() - place.at < KEEP_MS) return place.endpoint
      places.delete(chat)
      return undefined
    },
    set (chat, endpoint) {
      places.delete(chat)
      places.set(chat, { endpoint, at: now() })
      if (places.size > MAX_CHATS) places.delete(places.keys().next().value as string)
    },
    delete (chat) { places.delete(chat) }
  }
}
