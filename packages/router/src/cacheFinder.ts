/** Where the cache of a chat lies when it cannot run there. */
import type * as contracts from '@kingcupdeck/contracts'
import type * as membership from '@kingcupdeck/membership'
import * as routing from '@kingcupdeck/routing'

/** A chat that looks for its cache. */
export interface CacheQuery {
  service: string
  /** What keeps the chat together. */
  key: string
  /** The model that an endpoint must carry, if it needs one. */
  model: string | undefined
  /** Endpoints by rendezvous rank: the chat's home first. */
  ranked: readonly string[]
  /** Endpoints that may run it. */
  candidates: readonly contracts.EndpointRecord[]
}

/** Finds caches. */
export interface CacheFinder {
  /** @returns the endpoint that likely holds the chat's cache, if that is not the one that is asked */
  find (question: CacheQuery, asked: string): string | undefined
}

/** An engine counts as a newcomer, whose chats still have their cache elsewhere, for this long, milliseconds. */
const NEWCOMER_MS = 5 * 60 * 1000

/**
 * Creates a finder of caches.
 * @param table the endpoints as announced
 * @returns the finder
 */
export function createCacheFinder (table: membership.EndpointTable): CacheFinder {
  const firstSeen = new Map<string, number>()

  const isNewcomer = (id: string): boolean => {
    const boot = `${id}@${table.get(id)?.boot ?? 0}`
    const now = performance.now()
    const since = firstSeen.get(boot) ?? now
    firstSeen.set(boot, since)
    return now - since < NEWCOMER_MS
  }

  return {
    find ({ service, key, model, ranked, candidates }, asked) {
      if (asked !== ranked[0]) return ranked[0]
      // The home itself came later than the chat, or the engine before it in rank is leaving: the cache lies there.
      const leaving = table.leaving(service).filter(entry => model === undefined || entry.models.includes(model))
      if (leaving.length > 0) {
        const [before] = routing.rankByRendezvous({ key, candidates: [...leaving, ...candidates] })
        if (before !== ranked[0]) return before
      }
      return isNewcomer(ranked[0]) ? ranked[1] : undefined
    }
  }
}
