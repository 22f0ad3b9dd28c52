/**
 * Gossip of endpoint records between instances under a byte budget: updates go to random peers, and periodic digest
 * comparison with a random peer repairs missed updates.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as endpointTable from './endpointTable.js'

export interface GossipOptions {
  table: endpointTable.EndpointTable
  /** @returns the other instances of the current view */
  peers (): readonly contracts.Instance[]
  call (peer: contracts.Instance, msg: contracts.PeerCall): Promise<contracts.PeerReply>
  random: () => number
  /** Send limit of gossip; updates over the limit are deferred. Default: 2500. */
  bytesPerSecond?: number
}

/** Disseminates endpoint records. */
export interface Gossip {
  /** Merges an record into the table and gossips it if it is newer. @returns whether it was newer */
  merge (record: contracts.EndpointRecord): boolean
  /** Handles a gossip call of a peer. */
  onCall (msg: Extract<contracts.PeerCall, { t: 'gossip' }>): contracts.PeerReply
  stop (): void
}

const ROUND_MS = 200
const ROUNDS_PER_DIGEST = 5
/** Number of peers that each instance forwards an update to, which reaches all instances with high probability. */
const UPDATE_FANOUT = 2
const SWEEP_INTERVAL_MS = 30_000
const DEFAULT_BYTES_PER_SECOND = 2500
/** Assumed size of an encoded record, for the byte budget. */
const RECORD_BYTES = 170
/** Assumed size of the encoded bucket digests. */
const DIGESTS_BYTES = 180

/** Creates the gossip and starts its timers; `stop` ends them. */
export function createGossip (opts: GossipOptions): Gossip {
  const bytesPerSecond = opts.bytesPerSecond ?? DEFAULT_BYTES_PER_SECOND
  /** Remaining transmissions of each pending update, by endpoint id, oldest first. */
  const pending = new Map<string, number>()
  let availableBytes = bytesPerSecond
  let rounds = 0

  const merge = (record: contracts.EndpointRecord): boolean => {
    if (!opts.table.merge(record)) return false
    pending.delete(record.id)
    pending.set(record.id, UPDATE_FANOUT)
    return true
  }

  /** Returns the newest pending updates, as many as the byte budget permits. */
  const dequeueUpdates = (): contracts.EndpointRecord[] => {
    const list: contracts.EndpointRecord[] = []
    for (const id of [...pending.keys()].reverse()) {
      if (availableBytes < RECORD_BYTES) break
      const record = opts.table.get(id)
      const remaining = (pending.get(id) ?? 1) - 1
      if (remaining <= 0) pending.delete(id)
      else pending.set(id, remaining)
      if (record === undefined) continue
      list.push(record)
      availableBytes -= RECORD_BYTES
    }
    return list
  }

  const runRound = async (): Promise<void> => {
    rounds++
    availableBytes = Math.min(bytesPerSecond, availableBytes + bytesPerSecond * ROUND_MS / 1000)
    const isDigestRound = rounds % ROUNDS_PER_DIGEST === 0
    if (!isDigestRound && pending.size === 0) return
    const peers = opts.peers()
    if (peers.length === 0 || availableBytes < DIGESTS_BYTES) return
    const peer = peers[Math.floor(opts.random() * peers.length)]
    const reply = await opts.call(peer, { t: 'gossip', digests: isDigestRound ? [opts.table.digest()] : [], entries: dequeueUpdates() })
    if (reply.t === 'gossip' && isDigestRound && !reply.isEqual) await compareBuckets(peer)
  }

  /** Fetches the records of the buckets that differ from the peer's. */
  const compareBuckets = async (peer: contracts.Instance): Promise<void> => {
    availableBytes -= DIGESTS_BYTES
    const reply = await opts.call(peer, { t: 'gossip', digests: opts.table.bucketDigests(), entries: [] })
    if (reply.t === 'gossip') reply.entries.forEach(merge)
  }

  const stopRounds = links.startPeriodic(ROUND_MS, runRound, () => {})
  const stopSweep = links.startPeriodic(SWEEP_INTERVAL_MS, () => { opts.table.sweep(performance.now()) }, () => {})

  return {
    merge,
    onCall (msg) {
      msg.entries.forEach(merge)
      if (msg.digests.length === 0) return { t: 'gossip', entries: [], isEqual: true }
      if (msg.digests.length === 1) return { t: 'gossip', entries: [], isEqual: msg.digests[0] === opts.table.digest() }
      const differing = opts.table.findDifferences(msg.digests)
      const limit = Math.max(0, Math.floor(availableBytes / RECORD_BYTES))
      const start = differing.length > limit ? Math.floor(opts.random() * differing.length) : 0
      const entries = [...differing.slice(start), ...differing.slice(0, start)].slice(0, limit)
      availableBytes -= entries.length * RECORD_BYTES
      return { t: 'gossip', entries, isEqual: false }
    },
    stop () {
      stopRounds()
      stopSweep()
    }
  }
}
