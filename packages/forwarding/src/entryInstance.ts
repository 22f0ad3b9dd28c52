/**
 * An entry instance of the forwarding fleet: takes callers' requests, learns endpoints and documents from control instances,
 * and tells the other entry instances what it has running.
 */
import * as timers from 'node:timers/promises'
import type * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as crashQuarantines from './crashQuarantine.js'
import * as outlierDetectors from './outlierDetector.js'
import * as endpointPools from './endpointPool.js'
import * as entryContexts from './entryContext.js'
import * as entryMetrics from './entryMetrics.js'
import * as entryServers from './entryServer.js'
import * as headerNames from './headerNames.js'
import * as documentWaiters from './documentWaiters.js'
import * as loadGossips from './loadGossip.js'
import * as retryBudgets from './retryBudget.js'
import * as routeTables from './routeTable.js'
import * as draining from './draining.js'

/** What an entry instance is built from. */
export interface EntryInstanceOptions {
  id: string
  /** Start of this process, Unix milliseconds. */
  startedAt: number
  zone: string
  region: string
  /** IP number and port for callers. */
  front: string
  /** IP number and port for the other instances. */
  inner: string
  /** Inner addresses of control instances as the settings name them now. */
  seeds: () => readonly string[]
  /** What all instances of the fleet must know. */
  secret: string
  /** Whether control instances hand out what they hold before they have started. */
  usesHandouts: boolean
  names: headerNames.HeaderNames
  /** Reads a document as the operators sent it. @throws Error when it cannot be read */
  readDocument: (text: Buffer) => routeTables.RouteTable
  retryBudget: retryBudgets.RetryBudgetOptions
  /** How often endpoints announce themselves, milliseconds. */
  announceIntervalMs: number
  /** How long a stop may take, milliseconds. */
  graceMs: number
  log: telemetry.Log
  /** Log lines that were left out so far. */
  droppedLines: () => number
  /** What this machine's link carries, bytes a millisecond; absent where that is not known. */
  linkBytesPerMs?: number
}

/** A running entry instance. */
export interface EntryInstance {
  metrics: entryMetrics.EntryMetrics
  /** @returns whether callers may be sent here */
  isReady: () => boolean
  /** @returns addresses that callers of an availability zone may use, none if none is known */
  addresses: (zone: string | undefined) => string[]
  /** Serves what is open and what still comes, then ends. */
  stop: () => Promise<void>
}

/** An endpoint is taken for dead after so many announcements that did not come, ... */
const SILENT_ANNOUNCEMENTS = 4
/** ... and this much more, for signs of life that travel over two control instances. */
const SILENT_MARGIN_MS = 2000
/** An entry instance that was not heard of for this long is not named to callers. */
const ENTRY_SILENT_MS = 3500
/** Callers of a zone are sent to its own instances if there are so many: one alone may fail. */
const ZONE_ENOUGH = 2
/** So long before the grace ends no further connection is taken: callers have asked for addresses again. */
const ACCEPT_MARGIN_MS = 1200
/** So long before the grace ends the process ends by itself. */
const EXIT_MARGIN_MS = 400
/** An entry instance that could not be reached within this time is not named to callers while others are. */
const PEER_FAILED_MS = 1500
/** Loads are told five times a second; a peer that cannot be reached is tried again after this. */
const PEER_PAUSE_MS = 1000
/** A stopping instance without callers ends after this time: they have all been told of others. */
const QUIET_MS = 2500
const LOOK_MS = 50
/** A machine that has no power or is cut off does not answer; longer than several round trips between zones. */
const DIAL_MS = 400

/**
 * Starts an entry instance.
 * @param opts its addresses, fleet and names
 * @returns the instance, which is ready once it has a document
 */
export async function startEntryInstance (opts: EntryInstanceOptions): Promise<EntryInstance> {
  const { log } = opts
  const now = (): number => performance.now()
  const table = discovery.createRecordTable()
  const suspects = crashQuarantines.createCrashQuarantine()
  const outcomes = outlierDetectors.createOutlierDetector((endpoint, isAside, share) => {
    log.event('endpointSetAside', { endpoint, isAside, missedShare: Number(share.toFixed(2)) })
  })
  const metrics = entryMetrics.createEntryMetrics(opts.droppedLines)
  const nextDocument = documentWaiters.createDocumentWaiters()
  let document: routeTables.CompiledTable | undefined
  let stopBeganAt: number | undefined
  let seq = 0
  const retryOf = new Map<string, retryBudgets.RetryBudget>()

  const self = (): discovery.EntryRecord => ({
    kind: 'entry',
    id: opts.id,
    startedAt: opts.startedAt,
    seq: ++seq,
    zone: opts.zone,
    region: opts.region,
    front: opts.front,
    inner: opts.inner,
    state: stopBeganAt !== undefined ? 'leaving' : document === undefined ? 'starting' : 'ready'
  })

  const handlers: links.LinkHandlers = {
    onEvent (body, link) {
      if ((body as { t?: unknown })?.t === 'peer') {
        const news = loadGossips.gossipUpdate.safeParse(body)
        if (news.success) exchange.onUpdate(news.data, link.peer.id)
        return
      }
      const event = discovery.discoveryEvent.safeParse(body)
      if (event.success) subscriber.onEvent(event.data, link)
    },
    async onCall (body) { return subscriber.onCall(discovery.discoveryCall.parse(body)) }
  }
  const linkSettings: links.LinkSettings = { identity: { role: 'router', id: opts.inner }, secret: opts.secret, log, handlers }
  const book = links.createPeerLinks(linkSettings)
  const peers = links.createPeerDialer(book, { dialTimeoutMs: DIAL_MS, backoffMs: PEER_PAUSE_MS })

  const takeDocument = (taken: contracts.VersionedText, waitedMs: number): void => {
    try {
      document = routeTables.compileTable(opts.readDocument(taken.text))
      server.applyLimits(document.limits)
      metrics.documentVersion.set(document.version)
      nextDocument.releaseAll()
      log.event('documentInForce', { version: document.version, waitedMs: Math.round(waitedMs), routes: [...document.routesOf.values()].reduce((sum, list) => sum + list.length, 0) })
    } catch (err) {
      log.event('documentUnreadable', { version: taken.version, detail: err instanceof Error ? err.message : String(err) })
    }
    if (seq > 0 && document !== undefined && table.get(opts.id)?.record.state !== 'ready') announce()
  }

  const announce = (): void => {
    table.merge(self(), now())
    subscriber.announce()
  }

  const endpoints = endpointPools.createEndpointPool({
    table,
    currentAt: () => subscriber.lastQuorumAt(),
    currentSince: () => subscriber.quorumSince(),
    unresponsiveMs: SILENT_ANNOUNCEMENTS * opts.announceIntervalMs + SILENT_MARGIN_MS,
    log
  })

  const otherEntries = (): discovery.EntryRecord[] => table.entries()
    .filter(item => item.record.id !== opts.id && item.record.state !== 'gone' && isHeard(item.lastSeenAt))
    .map(item => item.record)

  const exchange = loadGossips.startGossip({ peers: otherEntries, connect: peers.get, pool: endpoints, quarantine: suspects, outliers: outcomes, documentVersion: () => subscriber.version(), onDocumentVersion: (address, version) => { subscriber.notePeerVersion(address, version) } })

  const ctx: entryContexts.EntryContext = {
    names: opts.names,
    zone: opts.zone,
    pool: endpoints,
    quarantine: suspects,
    outliers: outcomes,
    gossip: exchange,
    metrics,
    log,
    table: () => document,
    isLatestDocument: () => subscriber.isDocumentLatest(),
    newestDocument: () => subscriber.newestVersion(),
    documentWaiters: nextDocument,
    retryBudget (service) {
      const known = retryOf.get(service)
      if (known !== undefined) return known
      const created = retryBudgets.createRetryBudget(opts.retryBudget)
      retryOf.set(service, created)
      return created
    },
    isDraining: () => stopBeganAt !== undefined,
    isAccepted: waitMs => stopBeganAt === undefined || draining.isAccepted({ elapsedMs: now() - stopBeganAt, graceMs: opts.graceMs, waitMs }),
    now
  }

  const innerServer = await links.listen(opts.inner, linkSettings, link => { book.add(link) })
  const server = await entryServers.startEntryServer({ front: opts.front, ctx })
  const subscriber = discovery.startSubscriber({
    seeds: opts.seeds,
    table,
    dial: async address => await links.withTimeout(links.dial(address, linkSettings), DIAL_MS, `no connection to ${address}`),
    fetchHandout: opts.usesHandouts ? async address => await discovery.fetchHandout(discovery.toHandoutAddress(address), opts.secret) : undefined,
    self,
    onDocument: takeDocument,
    onRecords: list => { endpoints.update(list) },
    peerAddresses: () => discovery.toShuffled(otherEntries().map(item => item.inner)),
    getPeerLink: peers.get,
    budget: discovery.createSendBudget(opts.linkBytesPerMs ?? Infinity),
    log
  })
  const pruner = setInterval(() => {
    // Without news nobody is forgotten: an instance that is cut off from all control instances serves on.
    table.prune(subscriber.lastQuorumAt())
    endpoints.prune()
    metrics.subscriptions.set(subscriber.subscriptionCount())
  }, 10_000)

  return {
    metrics,
    isReady: () => stopBeganAt === undefined && document !== undefined,
    addresses (zone) {
      const isSelfReady = stopBeganAt === undefined && document !== undefined
      const ready = table.entries()
        .filter(item => item.record.id === opts.id ? isSelfReady : item.record.state === 'ready' && isHeard(item.lastSeenAt))
        .map(item => item.record)
      const reachable = ready.filter(item => now() - peers.lastFailureAt(item.inner) > PEER_FAILED_MS)
      const pool = reachable.length > 0 ? reachable : ready
      const near = pool.filter(item => item.zone === zone)
      return (near.length >= ZONE_ENOUGH ? near : pool).map(item => item.front)
    },
    async stop () {
      const beganAt = now()
      stopBeganAt = beganAt
      log.event('stopping', { open: server.openRequests(), connections: server.connections() })
      announce()
      const elapsed = (): number => now() - beganAt
      let quietSince = beganAt
      while (elapsed() < opts.graceMs - ACCEPT_MARGIN_MS) {
        if (server.openRequests() > 0) quietSince = now()
        if (now() - quietSince > QUIET_MS) break
        await timers.setTimeout(LOOK_MS)
      }
      server.stopListening()
      while (server.openRequests() > 0 && elapsed() < opts.graceMs - EXIT_MARGIN_MS) await timers.setTimeout(LOOK_MS)
      log.event('stopped', { ms: Math.round(elapsed()), open: server.openRequests() })
      clearInterval(pruner)
      exchange.stop()
      subscriber.stop()
      book.close()
      server.destroy()
      await innerServer.close()
    }
  }

  /** Silence counts only up to when a control instance with a quorum was last heard: without news nobody is known to be gone. */
  function isHeard (heardAt: number): boolean {
    return subscriber.lastQuorumAt() - Math.max(heardAt, subscriber.quorumSince()) < ENTRY_SILENT_MS
  }
}
