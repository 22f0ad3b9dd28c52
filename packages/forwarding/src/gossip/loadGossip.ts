/**
 * Gossip between entry instances: requests in flight at each endpoint, attempt outcomes, crash reports and the version of the
 * configuration document. Small fleets send updates to all instances, large ones through relays; see relayChoice.ts.
 */
import * as timers from 'node:timers/promises'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as crashGossips from './crashGossip.js'
import type * as gossipTypes from './gossipTypes.js'
import * as loadSums from './loadSums.js'
import type * as outlierDetectors from '../placement/outlierDetector.js'
import * as relayChoices from './relayChoice.js'

/** Base interval between updates. */
const GOSSIP_INTERVAL_MS = 200
/** Added to the interval for each known instance, so that the number of messages per instance stays bounded. */
const GOSSIP_INTERVAL_PER_INSTANCE_MS = 15
/** Interval between updates through relays. */
const RELAY_INTERVAL_MS = 300
/** Interval between updates through relays of an instance without load. */
const IDLE_RELAY_INTERVAL_MS = 900
/** Random share of the intervals through relays, so that the members of a zone do not send at the same time. */
const RELAY_JITTER = 0.2
/** A relay without an update for this time is replaced. */
const RELAY_TIMEOUT_MS = 2500
/** Time for which a relay that was replaced, or an instance that could not be dialled, is not used. */
const SUSPECT_MS = 5000
/** Interval at which received loads are added up. */
const SUM_INTERVAL_MS = 50
/** Number of instances with the current document that a relay names. */
const MAX_HOLDERS = 4
/** Interval at which the relays are chosen again. */
const CHOICE_INTERVAL_MS = 1000

type Content = Pick<gossipTypes.GossipUpdate, 'loads' | 'outcomes'>

/** Creates the gossip. Updates are received at once, and sent once it is started. */
export function createGossip (opts: gossipTypes.GossipOptions): gossipTypes.Gossip {
  const { self } = opts
  const now = (): number => performance.now()
  const aborter = new AbortController()
  /** Loads of instances that send to this one: all others in a small fleet, otherwise those that it relays for. */
  let memberReports = loadSums.createLoadReports()
  /** Loads of the other zones. */
  const zoneReports = loadSums.createLoadReports()
  /** Loads of the whole fleet, from the relay. */
  const fleetReports = loadSums.createLoadReports()
  const echoes = loadSums.createEchoFilter()
  const holders = new Map<string, number>()
  const suspects = new Map<string, number>()
  let relays: relayChoices.RelayChoice = { own: undefined, others: [] }
  let isDirect = true
  let peerCount = 0
  let chosenAt = -Infinity
  let relaySince = -Infinity
  let relayHeardAt = -Infinity
  /** Outcomes received since the last update, by where they are still to be sent. */
  let outcomesForMembers: outlierDetectors.OutcomeDelta[] = []
  let outcomesForRelays: outlierDetectors.OutcomeDelta[] = []
  /** Own loads as sent to the relay last, which its sums include. */
  let lastSentLoads: loadSums.EndpointLoad[] = []
  let summedAt = -Infinity
  let sumTimer: NodeJS.Timeout | undefined

  const toOwnLoads = (): loadSums.EndpointLoad[] => opts.pool.all().filter(item => item.inFlight > 0).map(item => {
    const delayMs = item.queueDelay?.estimateMs(now())
    return [item.id, item.inFlight, delayMs === undefined ? null : Math.round(delayMs)]
  })

  /** Returns the loads of all other instances. */
  const toPeerLoads = (): loadSums.EndpointLoad[] => {
    const at = now()
    if (isDirect || relays.own === undefined) return loadSums.sumLoads([memberReports.sum(at), zoneReports.sum(at)])
    return loadSums.subtractLoads(fleetReports.sum(at), lastSentLoads)
  }

  const applyLoads = (): void => {
    summedAt = now()
    const loads = new Map(toPeerLoads().map(item => [item[0], item]))
    for (const endpoint of opts.pool.all()) {
      const [, inFlight, delayMs] = loads.get(endpoint.id) ?? [endpoint.id, 0, null]
      endpoint.peerInFlight = inFlight
      endpoint.peerQueueDelayMs = delayMs ?? undefined
    }
  }

  /** Adds up loads after a moment, so that updates in quick succession are added up once. */
  const scheduleApply = (): void => {
    if (now() - summedAt >= SUM_INTERVAL_MS) {
      applyLoads()
      return
    }
    sumTimer ??= setTimeout(() => {
      sumTimer = undefined
      applyLoads()
    }, SUM_INTERVAL_MS).unref()
  }

  const sendTo = (addresses: readonly string[], update: Omit<gossipTypes.GossipUpdate, 't' | 'document' | 'evacuations' | keyof crashGossips.CrashContent> & Partial<crashGossips.CrashContent>): void => {
    if (addresses.length === 0) return
    const encoded = links.encodeEvent({ t: 'peer', document: opts.documentVersion(), evacuations: discovery.toEvacuationField(opts.evacuations()), crashes: [], asksForCrashes: false, ...update } satisfies gossipTypes.GossipUpdate)
    for (const address of addresses) opts.connect(address).then(link => { link.sendEncoded(encoded) }, () => {})
  }

  const isSuspect = (address: string): boolean => {
    return now() - (suspects.get(address) ?? -Infinity) < SUSPECT_MS || now() - opts.lastFailureAt(address) < SUSPECT_MS
  }

  const updateRelays = (peers: readonly discovery.EntryRecord[]): void => {
    const previous = relays.own
    const isSilent = previous !== undefined && now() - Math.max(relaySince, relayHeardAt) > RELAY_TIMEOUT_MS
    const isReachable = previous === undefined || opts.lastFailureAt(previous) < chosenAt
    if (!isSilent && isReachable && now() - chosenAt < CHOICE_INTERVAL_MS) return
    if (isSilent) suspects.set(previous, now())
    chosenAt = now()
    relays = relayChoices.chooseRelays(self, peers, isSuspect)
    if (relays.own === previous) return
    relaySince = now()
    relayHeardAt = -Infinity
    echoes.clear()
    for (const [address, at] of suspects) if (now() - at > SUSPECT_MS) suspects.delete(address)
  }

  const toHolders = (): string[] => {
    const version = opts.documentVersion()
    return discovery.toShuffled([...holders].filter(([, held]) => held >= version).map(([address]) => address)).slice(0, MAX_HOLDERS)
  }

  /** Sends one round of updates through relays. @returns whether there was nothing to report */
  const relay = (own: Content): boolean => {
    const members = memberReports.senders(now())
    for (const address of holders.keys()) if (!members.includes(address)) holders.delete(address)
    const ownLoads = loadSums.sumLoads([own.loads, memberReports.sum(now())])
    const zoneOutcomes = loadSums.sumOutcomes([own.outcomes, outcomesForRelays])
    const memberOutcomes = loadSums.sumOutcomes([own.outcomes, outcomesForMembers])
    const update = { loads: ownLoads, outcomes: zoneOutcomes, holders: toHolders() }
    if (relays.own !== undefined) {
      echoes.noteSent(zoneOutcomes)
      sendTo([relays.own], { ...update, scope: 'members' })
    } else {
      sendTo(relays.others, { ...update, scope: 'zone' })
    }
    const fleetLoads = relays.own === undefined ? loadSums.sumLoads([ownLoads, zoneReports.sum(now())]) : fleetReports.sum(now())
    sendTo(members, { loads: fleetLoads, outcomes: memberOutcomes, holders: update.holders, scope: 'fleet' })
    lastSentLoads = own.loads
    outcomesForMembers = []
    outcomesForRelays = []
    return ownLoads.length === 0 && fleetLoads.length === 0 && memberOutcomes.length === 0
  }

  let wasIdle = false
  let sentVersion = 0
  let sentRevision = 0
  let intervalMs = GOSSIP_INTERVAL_MS

  const sendRound = (): void => {
    const peers = opts.peers()
    peerCount = peers.length
    const wasDirect = isDirect
    isDirect = peers.length < relayChoices.MAX_DIRECT_INSTANCES
    // Reports of the other mode cover other sets of instances.
    if (isDirect !== wasDirect) memberReports = loadSums.createLoadReports()
    applyLoads()
    const loads = toOwnLoads()
    const outcomes = opts.outliers.takeDeltas(now())
    const version = opts.documentVersion()
    const { revision } = opts.evacuations()
    const hasNews = version !== sentVersion || revision !== sentRevision
    const isIdle = loads.length === 0 && outcomes.length === 0
    if (!isDirect) {
      updateRelays(peers)
      const isQuiet = relay({ loads, outcomes }) && !hasNews
      intervalMs = (isQuiet ? IDLE_RELAY_INTERVAL_MS : RELAY_INTERVAL_MS) * (1 - RELAY_JITTER * Math.random())
    } else if (!isIdle || !wasIdle || hasNews) {
      // An idle instance sends one empty update, and then only new document versions and evacuations; an expired update counts as no load.
      sendTo(peers.map(item => item.inner), { loads, outcomes, scope: 'instance', holders: [] })
    }
    crashGossip.tick()
    if (isDirect) intervalMs = GOSSIP_INTERVAL_MS + GOSSIP_INTERVAL_PER_INSTANCE_MS * memberReports.senders(now()).length
    wasIdle = isIdle
    sentVersion = version
    sentRevision = revision
  }

  const run = async (): Promise<void> => {
    const guard = telemetry.createStepGuard(opts.log, 'gossip')
    while (!aborter.signal.aborted) {
      await timers.setTimeout(intervalMs, undefined, { ref: false })
      guard(sendRound)
    }
  }

  /** Sends received content on: towards the relay or the other zones if it comes from below, and always to the members. */
  const receive = (update: gossipTypes.GossipUpdate, from: string): void => {
    switch (update.scope) {
      case 'instance':
        // In a large fleet, only an instance that still considers it small sends to all: its load is counted through its relay.
        if (isDirect) memberReports.set(from, update.loads, now())
        opts.outliers.merge(update.outcomes, now())
        break
      case 'members':
        memberReports.set(from, update.loads, now())
        opts.outliers.merge(update.outcomes, now())
        if (isDirect) break
        holders.set(from, update.document)
        outcomesForRelays = loadSums.sumOutcomes([outcomesForRelays, update.outcomes])
        outcomesForMembers = loadSums.sumOutcomes([outcomesForMembers, update.outcomes])
        break
      case 'zone':
        zoneReports.set(from, update.loads, now())
        // An instance that has a relay receives the outcomes through it.
        if (relays.own !== undefined) break
        opts.outliers.merge(update.outcomes, now())
        outcomesForMembers = loadSums.sumOutcomes([outcomesForMembers, update.outcomes])
        break
      case 'fleet': {
        if (from !== relays.own) break
        relayHeardAt = now()
        fleetReports.set(from, update.loads, now())
        const outcomes = echoes.filter(update.outcomes)
        opts.outliers.merge(outcomes, now())
        outcomesForMembers = loadSums.sumOutcomes([outcomesForMembers, outcomes])
      }
    }
  }

  const crashGossip = crashGossips.createCrashGossip({
    quarantine: opts.quarantine,
    neighbours: () => isDirect ? opts.peers().map(item => item.inner) : [...memberReports.senders(now()), ...(relays.own === undefined ? relays.others : [relays.own])],
    isDirect: () => isDirect,
    // In a small fleet each update replaces the loads of the one before.
    send (addresses, content) { sendTo(addresses, { loads: isDirect ? toOwnLoads() : [], outcomes: [], ...content, scope: 'instance', holders: [] }) },
    now
  })

  /** Returns whether an update is the first recent one of an instance whose loads are counted here. */
  const isNewMember = (update: gossipTypes.GossipUpdate, from: string): boolean => {
    return update.crashes.length === 0 && (isDirect || update.scope === 'members') && !memberReports.has(from, now())
  }

  return {
    start () { void run() },
    onUpdate (update, from) {
      crashGossip.onUpdate(update, from, isNewMember(update, from))
      if (update.evacuations !== undefined) opts.onEvacuations(update.evacuations, from)
      opts.onDocumentVersion(from, update.document)
      for (const address of update.holders) opts.onDocumentVersion(address, update.document)
      // In a large fleet, updates about suspected requests carry no loads.
      if ((update.crashes.length > 0 || update.asksForCrashes) && !isDirect) return
      receive(update, from)
      scheduleApply()
    },
    sendCrashReports: crashGossip.sendReports,
    instanceCount: () => (peerCount > 0 ? peerCount : opts.peers().length) + 1,
    stop () {
      aborter.abort()
      clearTimeout(sumTimer)
    }
  }
}
