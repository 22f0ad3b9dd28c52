/** Fetches handouts from control instances that are still starting, until an entry instance has a document. */
import * as telemetry from '@kingcupdeck/telemetry'
import type * as evacuations from './evacuations.js'
import type * as handouts from './handout.js'
import * as messages from './messages.js'

/** Options of {@link createHandoutPoller}. */
export interface HandoutPollerOptions {
  /** Inner addresses of control instances, from the current settings. */
  seeds: () => readonly string[]
  /** Fetches from the handout of a control instance. */
  fetch: (address: string, part: handouts.HandoutPart) => Promise<handouts.FetchedHandout>
  /** @param report the evacuations in the log of the control instance */
  onReply: (reply: messages.DiscoveryReply, report: evacuations.EvacuationReport, address: string) => void
  log: telemetry.Log
}

/** Two, so that one unresponsive control instance does not block the other; each further reply would only fill the link of its sender. */
const MAX_CONCURRENT_FETCHES = 2

/**
 * Creates a poller.
 * @returns a function that starts fetches from seeds up to the concurrency limit; call it until there is a document
 */
export function createHandoutPoller (opts: HandoutPollerOptions): () => void {
  const pendingAddresses = new Set<string>()

  const fetchFrom = async (address: string): Promise<void> => {
    try {
      const handout = await opts.fetch(address, 'all')
      const reply = messages.decodeReply(handout.body)
      const report = messages.decodeEvacuations(handout.evacuations)
      // The reply's are newer if an earlier version wrote it.
      opts.onReply(reply, (reply.evacuations?.revision ?? 0) > report.revision && reply.evacuations !== undefined ? reply.evacuations : report, address)
    } catch (err) {
      // A system error (ECONNREFUSED, as a rule) is expected: the handout is only served during a start.
      const isSystemError = (err as NodeJS.ErrnoException).code !== undefined
      if (!isSystemError) opts.log.event('handoutRefused', { address, detail: err instanceof Error ? err.message : String(err) })
    } finally {
      pendingAddresses.delete(address)
    }
  }

  return () => {
    for (const address of toShuffled(opts.seeds())) {
      if (pendingAddresses.size >= MAX_CONCURRENT_FETCHES) return
      if (pendingAddresses.has(address)) continue
      pendingAddresses.add(address)
      void fetchFrom(address)
    }
  }
}

/** Returns the addresses in random order, so that instances that start together do not all contact the same one. */
export function toShuffled<T> (list: readonly T[]): T[] {
  return list.map(item => ({ item, order: Math.random() }))
    .sort((a, b) => a.order - b.order)
    .map(({ item }) => item)
}
