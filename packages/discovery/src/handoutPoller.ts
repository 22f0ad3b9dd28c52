/** Fetches handouts from control instances that are still starting. */
import * as telemetry from '@kingcupdeck/telemetry'
import type * as evacuations from './evacuations.js'
import type * as handouts from './handout.js'
import * as messages from './messages.js'

/** Options of {@link createHandoutPoller}. */
export interface HandoutPollerOptions {
  /** Fetches from the handout of a control instance. */
  fetch: (address: string, part: handouts.HandoutPart) => Promise<handouts.Handout>
  onReply: (reply: messages.DiscoveryReply, address: string) => void
  /** Called with the evacuations of each handout, before its reply. */
  onEvacuations: (report: evacuations.EvacuationReport, address: string) => void
  log: telemetry.Log
  now: () => number
}

/** Fetches handouts. */
export interface HandoutPoller {
  /** Starts fetches of whole handouts, up to the concurrency limit; to be called until there is a document. */
  poll (addresses: readonly string[]): void
  /**
   * Starts fetches of the evacuations alone from instances whose evacuations were not fetched yet; to be called until a control instance
   * with a quorum is heard.
   */
  pollEvacuations (addresses: readonly string[]): void
}

/** Two, so that one unresponsive control instance does not block the other; each further reply would only fill the link of its sender. */
const MAX_CONCURRENT_FETCHES = 2
/** Pause before an instance is asked again for its evacuations. A handout is served for a few times as long. */
const EVACUATIONS_RETRY_MS = 100

/** Creates a poller. */
export function createHandoutPoller (opts: HandoutPollerOptions): HandoutPoller {
  const pendingAddresses = new Set<string>()
  const knownAddresses = new Set<string>()
  const retryAt = new Map<string, number>()

  const fetchFrom = async (address: string, part: handouts.HandoutPart): Promise<void> => {
    try {
      const handout = await opts.fetch(address, part)
      const reply = part === 'all' ? messages.decodeReply(handout.body) : undefined
      const report = messages.decodeEvacuations(handout.evacuations)
      // The reply's may be newer if an earlier version wrote it.
      opts.onEvacuations(reply?.evacuations !== undefined && reply.evacuations.revision > report.revision ? reply.evacuations : report, address)
      knownAddresses.add(address)
      if (reply !== undefined) opts.onReply(reply, address)
    } catch (err) {
      // A system error (ECONNREFUSED, as a rule) is expected: the handout is only served during a start.
      const isSystemError = (err as NodeJS.ErrnoException).code !== undefined
      if (!isSystemError) opts.log.event('handoutRefused', { address, part, detail: err instanceof Error ? err.message : String(err) })
      retryAt.set(address, opts.now() + EVACUATIONS_RETRY_MS)
    } finally {
      pendingAddresses.delete(address)
    }
  }

  const fetchFromSome = (addresses: readonly string[], part: handouts.HandoutPart): void => {
    for (const address of toShuffled(addresses)) {
      if (pendingAddresses.size >= MAX_CONCURRENT_FETCHES) return
      if (pendingAddresses.has(address)) continue
      pendingAddresses.add(address)
      void fetchFrom(address, part)
    }
  }

  return {
    poll (addresses) { fetchFromSome(addresses, 'all') },
    pollEvacuations (addresses) {
      fetchFromSome(addresses.filter(item => !knownAddresses.has(item) && opts.now() >= (retryAt.get(item) ?? -Infinity)), 'evacuations')
    }
  }
}

/** Returns the addresses in random order, so that instances that start together do not all contact the same one. */
export function toShuffled<T> (list: readonly T[]): T[] {
  return list.map(item => ({ item, order: Math.random() }))
    .sort((a, b) => a.order - b.order)
    .map(({ item }) => item)
}
