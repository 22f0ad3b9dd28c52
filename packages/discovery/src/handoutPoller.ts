/** The entry instance's part of the hand-out: it asks control instances that start until it has a document. */
import * as telemetry from '@kingcupdeck/telemetry'
import * as messages from './messages.js'

/** What an asker is built from. */
export interface HandoutPollerOptions {
  /** Inner addresses of control instances as the settings name them now. */
  seeds: () => readonly string[]
  /** Asks a control instance that is still starting for what it hands out. */
  fetch: (address: string) => Promise<Uint8Array>
  /** Takes what is handed out. */
  onReply: (reply: messages.DiscoveryReply, address: string) => void
  log: telemetry.Log
}

/** One of the control instances may be down and silent; each further answer would only fill its sender's link. */
const MAX_CONCURRENT_FETCHES = 2

/**
 * Creates an asker.
 * @param opts whom to ask, and who takes the answer
 * @returns has those asked that are not being asked; to be called until there is a document
 */
export function createHandoutPoller (opts: HandoutPollerOptions): () => void {
  const asked = new Set<string>()

  const ask = async (address: string): Promise<void> => {
    try {
      opts.onReply(messages.decodeReply(await opts.fetch(address)), address)
    } catch (err) {
      // Nothing listens there now, which is the usual case: links are tried beside this.
      const isUsual = (err as NodeJS.ErrnoException).code !== undefined
      if (!isUsual) opts.log.event('handoutRefused', { address, detail: err instanceof Error ? err.message : String(err) })
    } finally {
      asked.delete(address)
    }
  }

  return () => {
    for (const address of toShuffled(opts.seeds())) {
      if (asked.size >= MAX_CONCURRENT_FETCHES) return
      if (asked.has(address)) continue
      asked.add(address)
      void ask(address)
    }
  }
}

/**
 * Puts addresses into random order, so that instances that start together do not all turn to the same one.
 * @param addresses the addresses
 * @returns them in random order
 */
export function toShuffled (addresses: readonly string[]): string[] {
  return addresses.map(address => ({ address, order: Math.random() }))
    .sort((a, b) => a.order - b.order)
    .map(item => item.address)
}
