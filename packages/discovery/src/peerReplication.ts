/** Sends changed records to the other control instances until each of them has acknowledged them. */
import type * as links from '@kingcupdeck/links'
import type * as messages from './messages.js'
import type * as records from './records.js'

/** Options of {@link createPeerReplication}. */
export interface PeerReplicationOptions {
  /** Inner addresses of the other control instances. */
  peerAddresses: () => readonly string[]
  /** Returns a link to another control instance. */
  getPeerLink: (address: string) => Promise<links.Link>
}

/** Sends changes to the other control instances. */
export interface PeerReplication {
  /** Resolves once every reachable control instance has acknowledged the changes, or after {@link REPLICATION_TIMEOUT_MS}. */
  replicate (list: readonly records.Record[]): Promise<void>
  /** Sends again what was not acknowledged, and forgets control instances that are no longer members. */
  retry (): void
}

/**
 * How long an announcement waits for the other control instances to acknowledge a change. An endpoint may stop soon after its
 * "leaving" was acknowledged, so the change must have been sent to all instances by then.
 */
export const REPLICATION_TIMEOUT_MS = 400

/** Creates the replication; nothing is pending yet. */
export function createPeerReplication (opts: PeerReplicationOptions): PeerReplication {
  /** Changes that another control instance has not acknowledged yet, by its address and the id of the record. */
  const unacknowledged = new Map<string, Map<string, records.Record>>()

  /** Sends unacknowledged changes to another control instance. */
  const sendPending = async (address: string): Promise<void> => {
    const pending = unacknowledged.get(address)
    if (pending === undefined || pending.size === 0) return
    const list = [...pending.values()]
    const link = await opts.getPeerLink(address)
    await link.call({ t: 'records', list } satisfies messages.DiscoveryCall, REPLICATION_TIMEOUT_MS)
    for (const item of list) {
      if (pending.get(item.id) === item) pending.delete(item.id)
    }
  }

  return {
    async replicate (list) {
      const calls = opts.peerAddresses().map(async address => {
        const pending = unacknowledged.get(address) ?? new Map<string, records.Record>()
        unacknowledged.set(address, pending)
        for (const item of list) pending.set(item.id, item)
        await sendPending(address)
      })
      // Changes for unreachable control instances are sent again at the next ticks.
      await Promise.race([Promise.allSettled(calls), new Promise(resolve => { setTimeout(resolve, REPLICATION_TIMEOUT_MS) })])
    },
    retry () {
      const peers = opts.peerAddresses()
      for (const address of unacknowledged.keys()) {
        if (!peers.includes(address)) unacknowledged.delete(address)
      }
      for (const address of peers) sendPending(address).catch(() => {})
    }
  }
}
