/** Chat affinity: the endpoint that last served a chat which was spilled from its home endpoint. Bounded, with expiry. */

/** Endpoints of spilled chats. */
export interface AffinityTable {
  get (chat: string): string | undefined
  set (chat: string, endpoint: string): void
  delete (chat: string): void
}

const MAX_CHATS = 50_000
const ENTRY_TTL_MS = 30 * 60 * 1000

/** @param now monotonic milliseconds */
export function createAffinityTable (now: () => number = () => performance.now()): AffinityTable {
  const entries = new Map<string, { endpoint: string, setAt: number }>()
  return {
    get (chat) {
      const entry = entries.get(chat)
      if (entry === undefined) return undefined
      if (now() - entry.setAt < ENTRY_TTL_MS) return entry.endpoint
      entries.delete(chat)
      return undefined
    },
    set (chat, endpoint) {
      entries.delete(chat)
      entries.set(chat, { endpoint, setAt: now() })
      if (entries.size > MAX_CHATS) entries.delete(entries.keys().next().value as string)
    },
    delete (chat) { entries.delete(chat) }
  }
}
