/**
 * Gossip between entry instances: requests in flight at each endpoint, attempt outcomes, crash reports and the version of the
 * configuration document.
 */
import * as timers from 'node:timers/promises'
import * as z from 'zod'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as crashQuarantines from './crashQuarantine.js'
import * as endpointPools from './endpointPool.js'
import * as numbers from './numbers.js'
import * as outlierDetectors from './outlierDetector.js'

/** Gossip update of an entry instance. */
export const gossipUpdate = z.object({
  t: z.literal('peer'),
  /** Endpoint id, requests in flight, and queue delay in milliseconds or null if unknown. */
  loads: z.array(z.tuple([z.string(), z.number(), z.number().nullable()])),
  outcomes: z.array(z.tuple([z.string(), z.number(), z.number()])),
  crashes: z.array(z.object({ fingerprint: z.string(), crashed: z.array(z.string()) })),
  /** Document version of the sender. */
  document: z.number().default(0)
})
/** Gossip update of an entry instance. */
export type GossipUpdate = z.infer<typeof gossipUpdate>

/** Options of {@link startGossip}. */
export interface GossipOptions {
  /** Returns the other entry instances. */
  peers: () => discovery.EntryRecord[]
  connect: (address: string) => Promise<links.Link>
  pool: endpointPools.EndpointPool
  quarantine: crashQuarantines.CrashQuarantine
  outliers: outlierDetectors.OutlierDetector
  /** Returns the document version of this instance. */
  documentVersion: () => number
  /** Called with the document version of another instance. */
  onDocumentVersion: (address: string, version: number) => void
}

export interface Gossip {
  onUpdate (update: GossipUpdate, from: string): void
  /** Sends crash reports to all other instances immediately. */
  sendCrashReports (crashes: crashQuarantines.CrashReport[]): void
  /** Number of entry instances, including this one. */
  instanceCount (): number
  stop (): void
}

/** Base interval between updates. */
const GOSSIP_INTERVAL_MS = 200
/** Added to the interval for each known instance, so that the number of messages per instance stays bounded. */
const GOSSIP_INTERVAL_PER_INSTANCE_MS = 15
/** The last update of an unresponsive instance is discarded after this time. */
const UPDATE_TTL_MS = 3000

export function startGossip (opts: GossipOptions): Gossip {
  const updates = new Map<string, { loads: GossipUpdate['loads'], at: number }>()
  const aborter = new AbortController()

  const applyUpdates = (): void => {
    const now = performance.now()
    const delays = new Map<string, number[]>()
    for (const endpoint of opts.pool.all()) endpoint.peerInFlight = 0
    for (const [peer, item] of updates) {
      if (now - item.at > UPDATE_TTL_MS) {
        updates.delete(peer)
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

  const send = (update: GossipUpdate): void => {
    const encoded = links.encodeEvent(update)
    for (const peer of opts.peers()) opts.connect(peer.inner).then(link => { link.sendEncoded(encoded) }, () => {})
  }

  const run = async (): Promise<void> => {
    let wasIdle = false
    let sentVersion = 0
    while (!aborter.signal.aborted) {
      await timers.setTimeout(GOSSIP_INTERVAL_MS + GOSSIP_INTERVAL_PER_INSTANCE_MS * updates.size, undefined, { ref: false })
      applyUpdates()
      const loads = toLoads()
      // An idle instance sends one empty update, and then only new document versions; an expired update counts as no load.
      const outcomes = opts.outliers.takeDeltas(performance.now())
      const version = opts.documentVersion()
      if (loads.length === 0 && outcomes.length === 0 && wasIdle && version === sentVersion) continue
      wasIdle = loads.length === 0
      sentVersion = version
      send({ t: 'peer', loads, outcomes, crashes: [], document: version })
    }
  }

  void run()
  return {
    onUpdate (update, from) {
      updates.set(from, { loads: update.loads, at: performance.now() })
      opts.quarantine.merge(update.crashes, performance.now())
      opts.outliers.merge(update.outcomes, performance.now())
      opts.onDocumentVersion(from, update.document)
      applyUpdates()
    },
    sendCrashReports (crashes) {
      send({ t: 'peer', loads: toLoads(), outcomes: [], crashes, document: opts.documentVersion() })
    },
    instanceCount: () => opts.peers().length + 1,
    stop () { aborter.abort() }
  }
}
