/**
 * What entry instances tell each other: how many requests each has at every endpoint, which requests crash endpoints, and which
 * document it holds.
 */
import * as timers from 'node:timers/promises'
import * as z from 'zod'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as crashQuarantines from './crashQuarantine.js'
import * as outlierDetectors from './outlierDetector.js'
import * as endpointPools from './endpointPool.js'
import * as numbers from './numbers.js'

/** What an entry instance tells the others. */
export const gossipUpdate = z.object({
  t: z.literal('peer'),
  /** Endpoint, requests there, and how long they wait there until their answers begin, milliseconds, or null if that is not known. */
  loads: z.array(z.tuple([z.string(), z.number(), z.number().nullable()])),
  outcomes: z.array(z.tuple([z.string(), z.number(), z.number()])),
  crashes: z.array(z.object({ fingerprint: z.string(), crashed: z.array(z.string()) })),
  /** Version of the document that the sender holds. */
  document: z.number().default(0)
})
/** What an entry instance tells the others. */
export type GossipUpdate = z.infer<typeof gossipUpdate>

/** What the exchange is built from. */
export interface GossipOptions {
  /** The other entry instances. */
  peers: () => discovery.EntryRecord[]
  connect: (address: string) => Promise<links.Link>
  pool: endpointPools.EndpointPool
  quarantine: crashQuarantines.CrashQuarantine
  outliers: outlierDetectors.OutlierDetector
  /** @returns the version of the document that is held here */
  documentVersion: () => number
  /** Told which version another instance holds. */
  onDocumentVersion: (address: string, version: number) => void
}

/** Exchanges loads. */
export interface Gossip {
  onUpdate (news: GossipUpdate, from: string): void
  /** Tells all others at once of requests that crash endpoints. */
  sendCrashReports (crashes: crashQuarantines.CrashReport[]): void
  /** @returns how many entry instances there are, this one with them */
  instanceCount (): number
  stop (): void
}

/** How often loads are told in a small fleet ... */
const TELL_MS = 200
/** ... and how much later for each further instance, so that the cost of an instance stays the same. */
const TELL_PER_INSTANCE_MS = 15
/** Loads of an instance that fell silent are forgotten after this time. */
const FORGET_MS = 3000

/**
 * Starts the exchange.
 * @param opts this instance and the ways to the others
 * @returns the exchange
 */
export function startGossip (opts: GossipOptions): Gossip {
  const heard = new Map<string, { loads: GossipUpdate['loads'], at: number }>()
  const stopped = new AbortController()

  const addUp = (): void => {
    const now = performance.now()
    const delays = new Map<string, number[]>()
    for (const endpoint of opts.pool.all()) endpoint.peerInFlight = 0
    for (const [peer, item] of heard) {
      if (now - item.at > FORGET_MS) {
        heard.delete(peer)
        continue
      }
      for (const [id, load, delayMs] of item.loads) {
        const endpoint = opts.pool.get(id)
        if (endpoint === undefined) continue
        endpoint.peerInFlight += load
        if (delayMs === null) continue
        const known = delays.get(id)
        if (known === undefined) delays.set(id, [delayMs])
        else known.push(delayMs)
      }
    }
    for (const endpoint of opts.pool.all()) endpoint.peerQueueDelayMs = numbers.median(delays.get(endpoint.id) ?? [])
  }

  const toLoads = (): GossipUpdate['loads'] => {
    const now = performance.now()
    return opts.pool.all().filter(item => item.inFlight > 0).map(item => {
      const delayMs = item.queueDelay.estimateMs(now)
      return [item.id, item.inFlight, delayMs === undefined ? null : Math.round(delayMs)]
    })
  }

  const tell = (news: GossipUpdate): void => {
    const encoded = links.encodeEvent(news)
    for (const other of opts.peers()) opts.connect(other.inner).then(link => { link.sendEncoded(encoded) }, () => {})
  }

  const run = async (): Promise<void> => {
    let wasEmpty = false
    let toldVersion = 0
    while (!stopped.signal.aborted) {
      await timers.setTimeout(TELL_MS + TELL_PER_INSTANCE_MS * heard.size, undefined, { ref: false })
      addUp()
      const loads = toLoads()
      // An idle instance says so once and is then silent but for a new document: silence reads as no load.
      const outcomes = opts.outliers.takeDeltas(performance.now())
      const version = opts.documentVersion()
      if (loads.length === 0 && outcomes.length === 0 && wasEmpty && version === toldVersion) continue
      wasEmpty = loads.length === 0
      toldVersion = version
      tell({ t: 'peer', loads, outcomes, crashes: [], document: version })
    }
  }

  void run()
  return {
    onUpdate (news, from) {
      heard.set(from, { loads: news.loads, at: performance.now() })
      opts.quarantine.merge(news.crashes, performance.now())
      opts.outliers.merge(news.outcomes, performance.now())
      opts.onDocumentVersion(from, news.document)
      addUp()
    },
    sendCrashReports (crashes) {
      tell({ t: 'peer', loads: toLoads(), outcomes: [], crashes, document: opts.documentVersion() })
    },
    instanceCount: () => opts.peers().length + 1,
    stop () { stopped.abort() }
  }
}
