/**
 * Spreads endpoint entries between instances under a byte budget: news goes to a few random peers at once, and a digest
 * compared with one random peer a second finds whatever was missed.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as endpointTable from './endpointTable.js'

/** What gossip is built from. */
export interface GossipOptions {
  table: endpointTable.EndpointTable
  /** @returns the other instances of the view */
  peers (): readonly contracts.Instance[]
  /** Asks a peer. */
  call (peer: contracts.Instance, msg: contracts.PeerCall): Promise<contracts.PeerReply>
  random: () => number
  /** Bytes a second that gossip may send; what does not fit waits. */
  bytesPerSecond?: number
}

/** The spreading of endpoint entries. */
export interface Gossip {
  /** Takes an entry and spreads it if it was news. @returns whether it was */
  merge (entry: contracts.EndpointRecord): boolean
  /** Answers a peer. */
  onCall (msg: Extract<contracts.PeerCall, { t: 'gossip' }>): contracts.PeerReply
  stop (): void
}

const TICK_MS = 200
const DIGEST_EVERY_TICKS = 5
/** To how many peers an instance passes a piece of news on: enough for all to hear with high probability. */
const NEWS_FANOUT = 2
const DEFAULT_BYTES_PER_SECOND = 2500
/** Size of an entry on the wire, for the budget. */
const ENTRY_BYTES = 170
const DIGESTS_BYTES = 180

/**
 * Starts to spread.
 * @param opts the table and the way to peers
 * @returns the gossip
 */
export function createGossip (opts: GossipOptions): Gossip {
  const budget = opts.bytesPerSecond ?? DEFAULT_BYTES_PER_SECOND
  const news = new Map<string, number>()
  let allowance = budget
  let ticks = 0

  const learn = (entry: contracts.EndpointRecord): boolean => {
    if (!opts.table.merge(entry)) return false
    news.delete(entry.id)
    news.set(entry.id, NEWS_FANOUT)
    return true
  }

  /** Newest news first, as many as the budget allows. */
  const takeNews = (): contracts.EndpointRecord[] => {
    const list: contracts.EndpointRecord[] = []
    for (const id of [...news.keys()].reverse()) {
      if (allowance < ENTRY_BYTES) break
      const entry = opts.table.get(id)
      const left = (news.get(id) ?? 1) - 1
      if (left <= 0) news.delete(id)
      else news.set(id, left)
      if (entry === undefined) continue
      list.push(entry)
      allowance -= ENTRY_BYTES
    }
    return list
  }

  const turn = async (): Promise<void> => {
    ticks++
    allowance = Math.min(budget, allowance + budget * TICK_MS / 1000)
    const isDigestTurn = ticks % DIGEST_EVERY_TICKS === 0
    if (!isDigestTurn && news.size === 0) return
    const peers = opts.peers()
    if (peers.length === 0 || allowance < DIGESTS_BYTES) return
    const peer = peers[Math.floor(opts.random() * peers.length)]
    const reply = await opts.call(peer, { t: 'gossip', digests: isDigestTurn ? [opts.table.digest()] : [], entries: takeNews() })
    if (reply.t === 'gossip' && isDigestTurn && !reply.isEqual) await compareBuckets(peer)
  }

  /** The tables differ: asks the peer for what lies in the buckets that differ. */
  const compareBuckets = async (peer: contracts.Instance): Promise<void> => {
    allowance -= DIGESTS_BYTES
    const reply = await opts.call(peer, { t: 'gossip', digests: opts.table.bucketDigests(), entries: [] })
    if (reply.t === 'gossip') reply.entries.forEach(learn)
  }

  const stop = links.startPeriodic(TICK_MS, turn, () => {})
  const stopSweep = links.startPeriodic(30_000, () => { opts.table.sweep(performance.now()) }, () => {})

  return {
    merge: learn,
    onCall (msg) {
      msg.entries.forEach(learn)
      if (msg.digests.length === 0) return { t: 'gossip', entries: [], isEqual: true }
      if (msg.digests.length === 1) return { t: 'gossip', entries: [], isEqual: msg.digests[0] === opts.table.digest() }
      const missing = opts.table.findDifferences(msg.digests)
      const most = Math.max(0, Math.floor(allowance / ENTRY_BYTES))
      const start = missing.length > most ? Math.floor(opts.random() * missing.length) : 0
      const entries = [...missing.slice(start), ...missing.slice(0, start)].slice(0, most)
      allowance -= entries.length * ENTRY_BYTES
      return { t: 'gossip', entries, isEqual: false }
    },
    stop () {
      stop()
      stopSweep()
    }
  }
}
