/**
 * Entry instance of the forwarding fleet: forwards client requests, subscribes to endpoint records and configuration documents of
 * control instances, and exchanges loads with the other entry instances.
 */
import type * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as brittleLimiters from '../placement/brittleLimiter.js'
import * as coldLimiters from '../placement/coldLimiter.js'
import * as attemptRecorders from '../attempts/attemptRecorder.js'
import * as crashQuarantines from '../quarantine/crashQuarantine.js'
import * as documentWaiters from '../admission/documentWaiters.js'
import * as draining from '../admission/draining.js'
import * as drainTimes from '../admission/drainTimes.js'
import * as endpointPools from '../endpoints/endpointPool.js'
import * as addresses from './addresses.js'
import * as changeAnnouncers from './changeAnnouncer.js'
import * as loopLags from './loopLag.js'
import * as readPacers from '../attempts/readPacer.js'
import * as drainWorks from './drainWork.js'
import * as entryContexts from './entryContext.js'
import * as entryMetrics from './entryMetrics.js'
import type * as entryOptions from './entryOptions.js'
import * as entryServers from './entryServer.js'
import * as gossipTypes from '../gossip/gossipTypes.js'
import * as loadGossips from '../gossip/loadGossip.js'
import * as quarantineRecords from '../quarantine/quarantineRecords.js'
import * as endpointDialers from '../paths/endpointDialer.js'
import * as lostPaths from '../paths/lostPaths.js'
import * as reachMessages from '../paths/reachMessages.js'
import * as trialPermits from '../quarantine/trialPermits.js'
import * as tunnelServers from '../paths/tunnelServer.js'
import * as outlierDetectors from '../placement/outlierDetector.js'
import * as retryBudgets from '../attempts/retryBudget.js'
import * as routeDurations from '../admission/routeDurations.js'
import * as routeTables from '../admission/routeTable.js'
import * as startTimes from './startTime.js'
import * as zoneOutages from '../endpoints/zoneOutage.js'
import * as zoneProbers from '../endpoints/zoneProber.js'

/** Missed announcements after which an endpoint is considered unresponsive. */
const MISSED_ANNOUNCEMENTS = 4
/** Added to that time: announcements are relayed by two control instances, and reported as late or not once a tick. */
const ANNOUNCEMENT_MARGIN_MS = 3000
/** An entry instance that a control instance reports as late at more than one tick is not returned to clients. */
const ENTRY_UNRESPONSIVE_MS = discovery.LATE_AFTER_MS + 1.5 * discovery.TICK_INTERVAL_MS
/** An entry instance with a connection failure within this time is returned to clients only if no other is reachable. */
const PEER_FAILURE_MS = 1500
/** Backoff after a failed connection to another entry instance. */
const PEER_BACKOFF_MS = 1000
/** Interval of the removal of expired records. */
const PRUNE_INTERVAL_MS = 10_000
/** Timeout of a dial to another entry instance. */
const PEER_DIAL_TIMEOUT_MS = 1000
/** Timeout of a tunnel; longer than the other instance needs to find an endpoint silent. */
const TUNNEL_TIMEOUT_MS = 800
/** Timeout of a dial to a control instance, which may be busy with the whole fleet at its start. */
const CONTROL_DIAL_TIMEOUT_MS = 2000

/** Starts an entry instance. */
export async function startEntryInstance (opts: entryOptions.EntryInstanceOptions): Promise<entryOptions.EntryInstance> {
  const { log } = opts
  const now = (): number => performance.now()
  const table = discovery.createRecordTable()
  const loopLag = loopLags.startLoopLag(now)
  const quarantine = crashQuarantines.createCrashQuarantine({ startedAt: now(), log, lagMs: loopLag.lagMs, send: reports => { gossip.sendCrashReports(reports) }, checkEndpoint: incarnation => { attemptRecorders.checkEndpoint(ctx, incarnation) } })
  const outliers = outlierDetectors.createOutlierDetector((endpoint, isEjected, share) => {
    log.event('endpointSetAside', { endpoint, isAside: isEjected, missedShare: Number(share.toFixed(2)) })
  })
  const limits = opts.limits ?? links.createClientLimits()
  const metrics = entryMetrics.createEntryMetrics(opts.droppedLines, { quorumAgeMs: () => now() - subscriber.lastQuorumAt(), heldBytes: limits.held.total, lostPaths: () => paths.count(), tunnels: () => tunnels.count() })
  const durations = routeDurations.createRouteDurations(now)
  const waiters = documentWaiters.createDocumentWaiters()
  let document: routeTables.CompiledTable | undefined
  let evacuations: discovery.AssumedEvacuations = { ...discovery.NO_EVACUATIONS, committed: [] }
  /** The evacuated zones in force. */
  let evacuatedZones: readonly string[] = []
  let loggedEvacuations = `${evacuations.revision} `
  let drain: { startedAt: number, times: drainTimes.DrainTimes } | undefined
  let seq = 0

  const startTime = startTimes.createStartTime({ startedAt: opts.startedAt, known: () => table.get(opts.id)?.record, log, now })

  const self = (): discovery.EntryRecord => ({
    kind: 'entry',
    id: opts.id,
    startedAt: startTime.get(),
    seq: ++seq,
    zone: opts.zone,
    region: opts.region,
    front: opts.front,
    inner: opts.inner,
    state: drain !== undefined ? 'leaving' : canServe() ? 'ready' : 'starting',
    ...changes.fields()
  })

  const handlers: links.LinkHandlers = {
    onEvent (body, link) {
      if ((body as { t?: unknown })?.t === 'peer') {
        const update = gossipTypes.gossipUpdate.safeParse(body)
        if (update.success) gossip.onUpdate(update.data, link.peer.id)
        return
      }
      const event = discovery.discoveryEvent.safeParse(body)
      if (event.success) subscriber.onEvent(event.data, link)
    },
    async onCall (body, link) {
      if ((body as { t?: unknown })?.t === 'trial') return permits.answer(trialPermits.trialCall.parse(body), link.peer.id)
      if ((body as { t?: unknown })?.t === 'reach') return await tunnels.answer(reachMessages.reachCall.parse(body))
      return subscriber.onCall(discovery.discoveryCall.parse(body))
    },
    onTunnel: async target => await tunnels.open(target)
  }
  const linkSettings: links.LinkSettings = { identity: { role: 'router', id: opts.inner }, secret: opts.secret, log, handlers }
  const peerLinks = links.createPeerLinks(linkSettings)
  const dialer = links.createPeerDialer(peerLinks, { dialTimeoutMs: PEER_DIAL_TIMEOUT_MS, backoffMs: PEER_BACKOFF_MS })

  const applyDocument = (received: contracts.VersionedText, waitedMs: number, from: string): void => {
    try {
      document = routeTables.compileTable(opts.readDocument(received.text))
      server.applyLimits(document.limits)
      metrics.documentVersion.set(document.version)
      if (subscriber.areEvacuationsKnown()) waiters.releaseAll()
      log.event('documentInForce', { version: document.version, from, waitedMs: Math.round(waitedMs), routes: [...document.routesByHost.values()].reduce((sum, list) => sum + list.length, 0) })
    } catch (err) {
      log.event('documentUnreadable', { version: received.version, detail: err instanceof Error ? err.message : String(err) })
    }
    announceIfReady()
  }

  const applyEvacuations = (assumed: discovery.AssumedEvacuations, from: string): void => {
    evacuations = assumed
    metrics.evacuationRevision.set(evacuations.revision)
    updateEvacuatedZones(from)
  }

  /** @param from the instance whose report changed them; undefined if the endpoints have changed */
  const updateEvacuatedZones = (from?: string): void => {
    const isZoneLeft = endpoints.all().some(item => !evacuations.zones.includes(item.record.zone))
    // Orders that may never have been acknowledged must not leave clients without any endpoint.
    const latest = isZoneLeft ? evacuations.zones : evacuations.committed
    const restored = evacuatedZones.filter(zone => !latest.includes(zone))
    evacuatedZones = latest
    for (const zone of restored) endpoints.suspectCold(zone, now())
    metrics.evacuatedZones.set(evacuatedZones.length)
    const state = `${evacuations.revision} ${evacuatedZones.join()}`
    if (state === loggedEvacuations) return
    loggedEvacuations = state
    log.event('evacuationsInForce', { revision: evacuations.revision, zones: evacuatedZones.join(' '), committed: evacuations.committed.join(' '), from })
  }

  /** Returns the document in force; none before it is known where requests may be sent. */
  const servedDocument = (): routeTables.CompiledTable | undefined => subscriber.areEvacuationsKnown() ? document : undefined

  /** Returns whether clients can connect and requests can be sent on. */
  const canServe = (): boolean => server.isListening() && servedDocument() !== undefined

  const announceIfReady = (): void => {
    if (seq > 0 && canServe() && table.get(opts.id)?.record.state !== 'ready') announce()
  }

  const announce = (): void => {
    table.merge(self(), now())
    subscriber.announce()
  }

  const outages = zoneOutages.createZoneOutages(() => new Set(endpoints.all().map(item => item.record.zone)))
  const probeZone = zoneProbers.createZoneProber({ outages, endpointsIn: zone => endpoints.all().filter(item => item.record.zone === zone), log })

  const endpoints = endpointPools.createEndpointPool({
    table,
    lastQuorumAt: () => subscriber.lastQuorumAt(),
    quorumSince: () => subscriber.quorumSince(),
    onSilence (endpoint, at) {
      if (outages.recordSilence(endpoint.record.zone, endpoint.id, at)) void probeZone(endpoint.record.zone)
    },
    onRestart (endpoint) { quarantine.confirmDown(endpointPools.toIncarnation(endpoint), now(), 'restarted') },
    onAnswer (endpoint) { outages.recordAnswer(endpoint.record.zone) },
    isZoneAvoided: outages.isAvoided,
    evacuatedZones: () => evacuatedZones,
    dial: async (endpoint, helper) => await paths.dial(endpoint, helper),
    mayReuse: socket => paths.mayReuse(socket),
    unresponsiveMs: () => MISSED_ANNOUNCEMENTS * opts.announceIntervalMs() + ANNOUNCEMENT_MARGIN_MS,
    log
  })

  const connectDirectly = opts.connectEndpoint ?? endpointDialers.connectDirectly
  const paths = lostPaths.createLostPaths({
    zone: opts.zone,
    region: opts.region,
    peers: () => otherEntries(),
    connect: dialer.get,
    pool: endpoints,
    connectDirectly,
    openTunnel: async (helper, target) => await links.openTunnel(helper, linkSettings, target, TUNNEL_TIMEOUT_MS),
    onLost (endpoint) { outliers.forgive(endpoint.id) },
    log,
    now
  })

  const tunnels = tunnelServers.createTunnelServer({
    pool: endpoints,
    dialDirectly: async address => await endpointDialers.dial(connectDirectly, address),
    // How long a tunnel is needed is not known.
    isAccepting: () => drain === undefined,
    isDraining: () => drain !== undefined,
    openRequests: () => server.openRequests(),
    log,
    now
  })

  const otherEntries = (): discovery.EntryRecord[] => table.entries()
    .filter(item => item.record.id !== opts.id && item.record.state !== 'gone' && isResponsive(item.lastSeenAt))
    .map(item => item.record)

  const senderIds = (): string[] => table.entries().filter(item => item.record.state !== 'gone').map(item => item.record.id)

  const gossip = loadGossips.createGossip({
    self: { inner: opts.inner, zone: opts.zone },
    peers: otherEntries,
    connect: dialer.get,
    lastFailureAt: dialer.lastFailureAt,
    pool: endpoints,
    quarantine,
    outliers,
    documentVersion: () => subscriber.version(),
    evacuations: () => ({ revision: evacuations.revision, zones: evacuations.committed }),
    onEvacuations: (received, from) => { subscriber.noteEvacuations(received, from) },
    onDocumentVersion: (address, version) => { subscriber.notePeerVersion(address, version) },
    log
  })

  const permits = trialPermits.createTrialPermits({
    self: opts.inner,
    others: () => otherEntries().filter(item => item.state === 'ready').map(item => item.inner),
    connect: dialer.get,
    quarantine,
    log,
    now
  })

  const ctx: entryContexts.EntryContext = {
    names: opts.names,
    zone: opts.zone,
    regionOf: opts.regionOf,
    pool: endpoints,
    paths,
    quarantine,
    trialPermits: permits,
    outliers,
    gossip,
    metrics,
    log,
    table: servedDocument,
    // A document that cannot be read here is the subscriber's latest, but not in force.
    confirmDocument: async () => await subscriber.confirmDocument() && document?.version === subscriber.version(),
    newestDocument: () => subscriber.newestVersion(),
    describeDocumentSources: () => subscriber.describeSubscriptions(),
    documentWaiters: waiters,
    retryBudget: retryBudgets.createRetryBudgets(opts.retryBudget),
    coldLimiter: coldLimiters.createColdLimiter({ self: opts.id, instanceIds: senderIds }),
    brittleLimiter: brittleLimiters.createBrittleLimiter({ self: opts.id, instanceIds: senderIds, endpointsOf: service => endpoints.all().filter(item => item.record.service === service).map(item => item.record) }),
    coldBound: opts.coldBound ?? (() => ({ excess: 1, slack: 0 })),
    isDraining: () => drain !== undefined,
    isAccepted: (route, waitMs) => drain === undefined || draining.isAccepted({
      elapsedMs: now() - drain.startedAt,
      times: drain.times,
      waitMs,
      // If it were cut nevertheless, a request that may run only once could not be sent again.
      isExpectedWithin: ms => route.kind !== 'once' && durations.isNearlySure(route.name, ms)
    }),
    durations,
    heldBytes: limits.held,
    readPacer: readPacers.createReadPacer(now),
    now
  }

  const changes = changeAnnouncers.createChangeAnnouncer({ id: opts.id, otherIds: () => otherEntries().map(item => item.id), quarantine, paths, record: () => table.get(opts.id)?.record, announce, log, now })
  const server = entryServers.createEntryServer(ctx, limits)
  const subscriber = discovery.createSubscriber({
    id: opts.id,
    seeds: opts.seeds,
    table,
    dial: async address => await links.dial(address, linkSettings, CONTROL_DIAL_TIMEOUT_MS),
    fetchHandout: opts.usesHandouts ? async (address, part) => await discovery.fetchHandout(discovery.toHandoutAddress(address), opts.secret, part) : undefined,
    self,
    onDocument: applyDocument,
    onEvacuations: applyEvacuations,
    onEvacuationsKnown () {
      waiters.releaseAll()
      announceIfReady()
    },
    onRecords (list) {
      if (drain === undefined && startTime.update()) announce()
      endpoints.update(list)
      if (evacuations.zones.length > 0) updateEvacuatedZones()
      paths.update(list)
      quarantineRecords.applyRecords(list, quarantine, now())
    },
    peerAddresses: () => discovery.toShuffled(otherEntries().map(item => item.inner)),
    getPeerLink: dialer.get,
    budget: discovery.createSendBudget(opts.linkBytesPerMs),
    log
  })
  // All parts exist before anything can arrive, and clients are served before other instances learn that this one is ready.
  const innerServer = await links.listen(opts.inner, linkSettings, link => { peerLinks.add(link) })
  await server.listen(opts.front, announceIfReady).catch(async err => { await innerServer.close(); throw err })
  subscriber.start()
  gossip.start()
  changes.start()
  const pruner = setInterval(() => {
    // While no control instance is reachable, no record expires, and the instance keeps serving.
    table.prune(subscriber.lastQuorumAt())
    endpoints.prune()
    metrics.subscriptions.set(subscriber.subscriptionCount())
  }, PRUNE_INTERVAL_MS)

  return {
    metrics,
    isReady: () => drain === undefined && canServe(),
    isListening: server.isListening,
    addresses (client) {
      const isSelfReady = drain === undefined && canServe()
      const ready = table.entries()
        .filter(item => item.record.id === opts.id ? isSelfReady : item.record.state === 'ready' && isResponsive(item.lastSeenAt))
        .map(item => item.record)
      return addresses.selectInstances(ready, client, isReachable).map(item => item.front)
    },
    async stop () {
      const times = drainTimes.toDrainTimes(opts.graceMs())
      drain = { startedAt: now(), times }
      log.event('stopping', { open: server.openRequests(), connections: server.connections() })
      announce()
      const ms = await drainWorks.drainWork({ times, openWork: () => server.openRequests() + tunnels.count(), connections: server.connections, stopListening: server.stopListening, answerOpen: server.answerOpen, now })
      log.event('stopped', { ms, open: server.openRequests() })
      clearInterval(pruner)
      loopLag.stop()
      changes.stop()
      paths.stop()
      gossip.stop()
      subscriber.stop()
      peerLinks.close()
      server.destroy()
      await innerServer.close()
    }
  }

  /** Returns whether no recent failure speaks against another entry instance or its availability zone. */
  function isReachable (item: discovery.EntryRecord): boolean {
    return item.id === opts.id || (now() - dialer.lastFailureAt(item.inner) > PEER_FAILURE_MS && !outages.isAvoided(item.zone))
  }

  /** Measures only time during which a control instance with a quorum was reachable. */
  function isResponsive (lastSeenAt: number): boolean {
    return subscriber.lastQuorumAt() - Math.max(lastSeenAt, subscriber.quorumSince()) < ENTRY_UNRESPONSIVE_MS
  }
}
