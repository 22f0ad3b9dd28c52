/**
 * The entry instance's side of discovery: maintains subscriptions to a few control instances, applies their updates, and replaces
 * those that are unresponsive or have lost their quorum.
 */
import * as timers from 'node:timers/promises'
import * as telemetry from '@kingcupdeck/telemetry'
import * as links from '@kingcupdeck/links'
import * as dialBackoffs from './dialBackoff.js'
import * as documentChecks from './documentCheck.js'
import * as documentFetchers from './documentFetcher.js'
import * as handoutPollers from './handoutPoller.js'
import * as intakes from './intake.js'
import * as evacuationStates from './evacuationState.js'
import * as livenesses from './liveness.js'
import * as messages from './messages.js'
import * as recordTables from './recordTable.js'
import type * as records from './records.js'
import * as refusals from './refusals.js'
import * as sendBudgets from './sendBudget.js'
import type * as subscriberOptions from './subscriberOptions.js'
import * as subscriptions from './subscription.js'
import * as subscriptionChoices from './subscriptionChoice.js'

/** A control instance without a tick for this long is unresponsive, and its subscription is closed. */
const TICK_TIMEOUT_MS = 2.3 * messages.TICK_INTERVAL_MS
/** A control instance without a quorum for this long is replaced by another one, if available. */
const QUORUM_TIMEOUT_MS = 1.5 * messages.TICK_INTERVAL_MS
/** Ticks further apart than this were interrupted: changes may have been missed. */
const MAX_TICK_GAP_MS = TICK_TIMEOUT_MS
/** Mean time between moves of a subscription to a preferred control instance. */
const MOVE_INTERVAL_MS = 2000
const POLL_INTERVAL_MS = 100
/** Shorter, since an instance without contact serves nobody, or by a document that may be outdated. */
const POLL_INTERVAL_BEFORE_CONTACT_MS = 40
const SUBSCRIBE_TIMEOUT_MS = 1500
/** How long a new version that is not reported by the primary subscription waits for it: half a heartbeat of control instances. */
const SECONDARY_FETCH_DELAY_MS = 100
const CHECK_TIMEOUT_MS = 500

/** Creates a subscriber without subscriptions, which answers calls until it is started. */
export function createSubscriber (opts: subscriberOptions.SubscriberOptions): subscriberOptions.Subscriber {
  const now = opts.now ?? (() => performance.now())
  const random = opts.random ?? Math.random
  const intake = intakes.createIntake(refusals.createRefusals(opts.log, now))
  const open = new Set<subscriptions.Subscription>()
  const backoff = dialBackoffs.createDialBackoff(now)
  let controls: string[] = []
  const stopped = new AbortController()
  let lastQuorumAt = -Infinity
  let quorumSince = -Infinity
  let nextMoveAt = 0

  const isBeforeContact = (): boolean => lastQuorumAt === -Infinity

  const mergeRecords = (list: readonly records.Record[]): void => {
    const mergedAt = now()
    const changed = list.flatMap(item => {
      return recordTables.isContentChanged(opts.table.merge(item, mergedAt)) ? recordTables.toKnownRecord(opts.table, item) : []
    })
    if (changed.length > 0) opts.onRecords(changed)
  }

  /** Returns whether a control instance with a quorum is heard. */
  const hasQuorum = (): boolean => [...open].some(sub => sub.hasReported && sub.isCurrent)

  const evacuationState = evacuationStates.createEvacuationState({
    fetchHandout: opts.fetchHandout,
    dial: opts.dial,
    version: () => documents.version(),
    onNewer: (reply, address) => { documents.accept(reply.document, address) },
    hasQuorum,
    controls: () => controls.length > 0 ? controls : opts.seeds(),
    subscribed: () => new Set([...open].filter(sub => sub.isEstablished).map(sub => sub.address)),
    onChange: (assumed, from) => { opts.onEvacuations?.(assumed, from) },
    onComplete: () => { opts.onEvacuationsKnown?.() },
    log: opts.log,
    now
  })

  /**
   * Records the version that a control instance reported. Fetches at once only if the instance is the primary (oldest)
   * subscription, so that the leader, which reports a new version first, does not receive fetches of all its subscribers at once.
   */
  const noteVersion = (sub: subscriptions.Subscription, reportedVersion: number): void => {
    documents.noteReport(sub.address, reportedVersion)
    sub.version = Math.max(sub.version, reportedVersion)
    if (sub.version <= documents.version()) return
    const isPrimary = [...open][0] === sub
    documents.scheduleFetch(isPrimary || documents.version() === 0 ? 0 : SECONDARY_FETCH_DELAY_MS)
  }

  /**
   * Returns a random control instance for the first document: the seeds are only some of the control instances, and after a
   * restart of the fleet their links would limit the transfer.
   */
  const toInitialSources = (): documentFetchers.DocumentSource[] => {
    if (documents.version() > 0 || controls.length <= subscriptionChoices.SUBSCRIPTIONS) return []
    const address = controls[Math.floor(random() * controls.length)]
    return [{
      address,
      version: Math.max(0, ...[...open].map(sub => sub.version)),
      getLink: async () => await opts.dial(address),
      isLinkTemporary: true,
      onFailure (reason) { opts.log.event('documentNotFetched', { address, why: reason }) }
    }]
  }

  const toSources = (sub: subscriptions.Subscription): documentFetchers.DocumentSource[] => {
    const { address, version, link } = sub
    return link === undefined ? [] : [{ address, version, getLink: async () => link, onFailure: reason => { drop(sub, reason) } }]
  }

  const documents = documentFetchers.createDocumentFetcher({
    controls: () => [...toInitialSources(), ...[...open].flatMap(toSources)],
    peerAddresses: opts.peerAddresses ?? (() => []),
    getPeerLink: opts.getPeerLink ?? (async address => { throw new Error(`no link to entry instance ${address}: links between entry instances are not configured`) }),
    onDocument (document, waitedMs, from) {
      opts.onDocument(document, waitedMs, from)
      evacuationState.update()
    },
    budget: opts.budget ?? sendBudgets.createSendBudget(),
    signal: stopped.signal,
    log: opts.log,
    now
  })

  const toCheckSource = (sub: subscriptions.Subscription): documentChecks.CheckSource[] => {
    const { address, link } = sub
    if (link === undefined || !sub.isEstablished || !sub.isCurrent) return []
    const ask = async (): Promise<boolean> => {
      const call: messages.DiscoveryCall = { t: 'fetch', version: messages.VERSION_ONLY }
      const reply = messages.discoveryReply.parse(await link.call(call, CHECK_TIMEOUT_MS))
      noteVersion(sub, reply.version)
      return reply.isCurrent ?? sub.isCurrent
    }
    return [{ address, ask }]
  }

  const checkDocument = documentChecks.createDocumentCheck({
    sources: () => [...open].flatMap(toCheckSource),
    onFailure (address, reason) { opts.log.event('documentNotFetched', { address, why: reason }) },
    now
  })

  const isNewestHeld = (): boolean => documents.version() > 0 && documents.newestVersion() <= documents.version()

  const find = (link: links.Link): subscriptions.Subscription | undefined => [...open].find(item => item.link === link)

  const close = (sub: subscriptions.Subscription, reason: string): boolean => {
    if (!open.delete(sub)) return false
    sub.link?.close()
    opts.log.event('controlLost', { address: sub.address, why: reason, subscriptions: open.size })
    return true
  }

  /** Closes a subscription that failed, and backs off from its control instance. */
  const drop = (sub: subscriptions.Subscription, reason: string): void => {
    if (!close(sub, reason)) return
    backoff.noteFailure(sub.address)
  }

  const subscribe = async (address: string): Promise<void> => {
    const sub: subscriptions.Subscription = { address, startedAt: now(), link: undefined, isEstablished: false, hasReported: false, live: undefined, lastSeenAt: now(), lastTickAt: undefined, isCurrent: true, lastQuorumAt: now(), version: 0 }
    open.add(sub)
    try {
      const link = await opts.dial(address)
      if (!open.has(sub) || stopped.signal.aborted) {
        link.close()
        return
      }
      sub.link = link
      const call: messages.DiscoveryCall = { t: 'subscribe', self: opts.self(), version: documents.version(), isCompact: true }
      const reply = messages.discoveryReply.parse(await link.call(call, SUBSCRIBE_TIMEOUT_MS))
      if (!open.has(sub) || stopped.signal.aborted) {
        link.close()
        return
      }
      sub.lastSeenAt = now()
      sub.isEstablished = true
      opts.log.event('controlFound', { address, subscriptions: open.size })
      if (reply.records !== null) {
        const list = intake.packedRecords(reply.records, address, opts.table)
        mergeRecords(list)
        if (reply.late !== undefined) sub.live = livenesses.createLiveRecords(list, intake.ids(reply.late, address))
      }
      if (controls.length === 0) controls = intake.addresses(reply.controls, address)
      if (reply.isCurrent !== undefined) {
        sub.hasReported = true
        sub.isCurrent = reply.isCurrent
      }
      evacuationState.noteControl(reply.evacuations, address)
      documents.accept(reply.document, address)
      noteVersion(sub, reply.version)
      void link.closed.then(reason => { drop(sub, reason) })
    } catch (err) {
      drop(sub, err instanceof Error ? err.message : String(err))
    }
  }

  /** Returns the control instances that can be subscribed to now, most preferred first. The members change over time, as do the seeds. */
  const candidateAddresses = (): string[] => {
    const subscribed = new Set([...open].map(sub => sub.address))
    const all = new Set([...controls, ...opts.seeds()])
    const available = [...all].filter(address => !subscribed.has(address) && backoff.isOver(address))
    // Before the first contact only the seeds are known, which all instances would prefer in the same few orders.
    return isBeforeContact() ? handoutPollers.toShuffled(available) : subscriptionChoices.toPreferred(opts.id, available)
  }

  const updateSubscriptions = (): void => {
    for (const sub of open) {
      if (now() - sub.lastSeenAt > TICK_TIMEOUT_MS) drop(sub, 'silent')
    }
    const surplus = subscriptionChoices.findSurplus(opts.id, [...open])
    if (surplus !== undefined) close(surplus, 'replaced')
    const candidates = candidateAddresses()
    const withoutQuorum = [...open].filter(sub => !sub.isCurrent && now() - sub.lastQuorumAt > QUORUM_TIMEOUT_MS)
    // A subscription without a quorum is dropped only if it can be replaced; while the fleet starts, no control instance has one.
    const replacements = isBeforeContact() ? candidates.filter(address => !backoff.hasFailed(address)) : candidates
    if (open.size >= subscriptionChoices.SUBSCRIPTIONS && withoutQuorum.length > 0 && replacements.length > 0) drop(withoutQuorum[0], 'no quorum')
    const missing = subscriptionChoices.countMissing([...open], isBeforeContact(), now())
    for (const address of candidates.slice(0, missing)) void subscribe(address)
    // The surplus that follows is the least preferred subscription.
    if (missing > 0 || candidates.length === 0 || now() < nextMoveAt || !subscriptionChoices.isImprovement(opts.id, [...open], candidates[0])) return
    nextMoveAt = now() + MOVE_INTERVAL_MS * (0.5 + random())
    void subscribe(candidates[0])
  }

  const fetchHandouts = opts.fetchHandout === undefined
    ? () => {}
    : handoutPollers.createHandoutPoller({
      seeds: opts.seeds,
      fetch: opts.fetchHandout,
      onReply (reply, report, address) {
        if (documents.version() > 0) {
          // The first one may be that of an instance which was down when its document was replaced.
          documents.accept(reply.document, address)
          evacuationState.noteControl(report, address)
          return
        }
        opts.log.event('handoutTaken', { address, version: reply.version, evacuations: report.revision, pending: report.pending?.join(' ') })
        mergeRecords(intake.packedRecords(reply.records, address, opts.table))
        if (controls.length === 0) controls = intake.addresses(reply.controls, address)
        evacuationState.noteControl(report, address)
        documents.accept(reply.document, address)
      },
      log: opts.log
    })

  const update = (): void => {
    updateSubscriptions()
    if (documents.version() === 0) fetchHandouts()
    evacuationState.update()
  }

  const sendHeartbeat = (): void => {
    const self = opts.self()
    const event: messages.DiscoveryEvent = { t: 'tick', isCurrent: true, version: documents.version(), signs: [[self.id, self.startedAt, self.seq]], controls: [] }
    for (const sub of open) sub.link?.send(event)
  }

  const run = async (): Promise<void> => {
    const guardUpdate = telemetry.createStepGuard(opts.log, 'subscriptions')
    const guardHeartbeat = telemetry.createStepGuard(opts.log, 'heartbeat')
    let lastTickAt = now()
    while (!stopped.signal.aborted) {
      guardUpdate(update)
      if (now() - lastTickAt >= messages.TICK_INTERVAL_MS) {
        lastTickAt = now()
        guardHeartbeat(sendHeartbeat)
      }
      await timers.setTimeout(isBeforeContact() ? POLL_INTERVAL_BEFORE_CONTACT_MS : POLL_INTERVAL_MS, undefined, { ref: false })
    }
  }

  return {
    start () { void run() },
    onEvent (event, link) {
      const sub = find(link)
      if (sub === undefined) return
      sub.lastSeenAt = now()
      switch (event.t) {
        case 'news':
        case 'packedNews': {
          const list = event.t === 'news' ? intake.records(event.list, sub.address) : intake.packedRecords(event.records, sub.address, opts.table)
          mergeRecords(list)
          sub.live?.addRecords(list)
          break
        }
        case 'version': noteVersion(sub, event.version); break
        case 'evacuations': evacuationState.noteControl(event.evacuations, sub.address); break
        case 'tick': {
          const signs = intake.heartbeats(event.signs, sub.address)
          sub.lastTickAt = now()
          sub.hasReported = true
          sub.isCurrent = event.isCurrent
          if (event.isCurrent) {
            if (now() - lastQuorumAt > MAX_TICK_GAP_MS) quorumSince = now()
            lastQuorumAt = sub.lastQuorumAt = now()
            backoff.noteSuccess(sub.address)
          }
          // A control instance without a quorum may know former members only.
          if (event.isCurrent || controls.length === 0) controls = intake.addresses(event.controls, sub.address)
          evacuationState.noteControl(event.evacuations, sub.address)
          for (const heartbeat of signs) opts.table.applyHeartbeat(heartbeat, now())
          sub.live?.applyChanges({ late: intake.ids(event.late ?? [], sub.address), revived: signs })
          sub.live?.refresh(opts.table, now())
          // Covers versions that were announced before this subscription, or while no link was open to fetch them.
          noteVersion(sub, event.version)
          break
        }
        case 'signs': break
      }
    },
    onCall (call) {
      if (call.t !== 'fetch') throw new Error(`call "${call.t}" rejected: entry instances answer "fetch" only`)
      return documents.toReply(call.version)
    },
    notePeerVersion (address, version) {
      documents.notePeerVersion(address, version)
      if (version > documents.version()) documents.scheduleFetch(SECONDARY_FETCH_DELAY_MS)
    },
    version: documents.version,
    noteEvacuations: evacuationState.note,
    areEvacuationsKnown: evacuationState.isComplete,
    newestVersion: documents.newestVersion,
    confirmDocument: async () => isNewestHeld() && await checkDocument() && isNewestHeld(),
    describeSubscriptions: () => [...open].filter(sub => sub.isEstablished).map(sub => subscriptions.describeSubscription(sub, now())).join('; '),
    announce () {
      const event: messages.DiscoveryEvent = { t: 'news', list: [opts.self()] }
      for (const sub of open) sub.link?.send(event)
    },
    lastQuorumAt: () => lastQuorumAt,
    quorumSince: () => quorumSince,
    subscriptionCount: () => open.size,
    stop () {
      stopped.abort()
      for (const sub of open) sub.link?.close()
    }
  }
}
