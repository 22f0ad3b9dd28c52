/** Locates the endpoint that likely has a chat's KV cache when the chat is dispatched to another endpoint. */
import type * as contracts from '@kingcupdeck/contracts'
import type * as membership from '@kingcupdeck/membership'
import * as routing from '@kingcupdeck/routing'

/** Inputs of a cache lookup. */
export interface CacheQuery {
  service: string
  /** Affinity key of the chat. */
  key: string
  /** The model that an endpoint must serve, if any. */
  model: string | undefined
  /** Endpoints by rendezvous rank, the chat's home first. */
  ranked: readonly string[]
  /** Endpoints eligible for the chat. */
  candidates: readonly contracts.EndpointRecord[]
}

/** Locates KV caches of chats. */
export interface CacheFinder {
  /** @returns the endpoint that likely has the chat's cache, or undefined if that is `target` itself */
  find (query: CacheQuery, target: string): string | undefined
}

/** After an engine is first seen, its chats are assumed to have their cache on the next endpoint by rank for this long. */
const COLD_CACHE_MS = 5 * 60 * 1000

/**
 * Creates a cache finder.
 * @param table the announced endpoints
 */
export function createCacheFinder (table: membership.EndpointTable): CacheFinder {
  const firstSeen = new Map<string, number>()

  const isCold = (id: string): boolean => {
    const boot = `${id}@${table.get(id)?.boot ?? 0}`
    const now = performance.now()
    const since = firstSeen.get(boot) ?? now
    firstSeen.set(boot, since)
    return now - since < COLD_CACHE_MS
  }

  return {
    find ({ service, key, model, ranked, candidates }, target) {
      if (target !== ranked[0]) return ranked[0]
      // The previous home is leaving, or the current home joined after the chat started.
      const leaving = table.leaving(service).filter(entry => model === undefined || entry.models.includes(model))
      if (leaving.length > 0) {
        const [previousHome] = routing.rankByRendezvous({ key, candidates: [...leaving, ...candidates] })
        if (previousHome !== ranked[0]) return previousHome
      }
      return isCold(ranked[0]) ? ranked[1] : undefined
    }
  }
}
