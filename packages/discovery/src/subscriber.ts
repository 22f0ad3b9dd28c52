/**
 * The entry instance's side of discovery: maintains subscriptions to a few control instances, applies their updates, and replaces
 * those that are unresponsive or have lost their quorum.
 */
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as documentFetchers from './documentFetcher.js'
import * as handoutPollers from './handoutPoller.js'
import * as messages from './messages.js'
import * as recordTables from './recordTable.js'
import * as records from './records.js'
import * as sendBudgets from './sendBudget.js'

/** Options of {@link startSubscriber}. */
export interface SubscriberOptions {
  /** Inner addresses of control instances, from the current settings. */
  seeds: () => readonly string[]
  table: recordTables.RecordTable
  /** Opens a link to a control instance, whose events go to {@link Subscriber.onEvent}. */
  dial: (address: string) => Promise<links.Link>
  /** Fetches the handout of a control instance that is still starting; absent if handouts are not used. */
  fetchHandout?: (address: string) => Promise<Uint8Array>
  /** Returns the record that this instance announces. */
  self: () => records.EntryRecord
  /**
   * Called with each newer document.
   * @param waitedMs time since a newer version first became known
   */
  onDocument: (document: contracts.VersionedText, waitedMs: number) => void
  /** Inner addresses of the other entry instances, in random order; none by default. */
  peerAddresses?: () => readonly string[]
  /** Returns a link to another entry instance. */
  getPeerLink?: (address: string) => Promise<links.Link>
  /** Limits the documents that are sent to other instances; unlimited by default. */
  budget?: sendBudgets.SendBudget
  /** Called with records that changed. */
  onRecords: (list: readonly records.Record[]) => void
  log: telemetry.Log
  now?: () => number
}

/** Maintains subscriptions. */
export interface Subscriber {
  /** Handles an event of a control instance. */
  onEvent (event: messages.DiscoveryEvent, link: links.Link): void
  /** Answers a call of another entry instance. */
  onCall (call: messages.DiscoveryCall): messages.DiscoveryReply
  /** Records the version of the document that another entry instance reported. */
  notePeerVersion (address: string, version: number): void
  /** Returns the version of the local document, 0 without one. */
  version (): number
  /** Returns the newest version that any instance reported. */
  newestVersion (): number
  /** Returns whether the local document is known to be the latest: a quorum is in contact, and no instance reported a newer one. */
  isDocumentLatest (): boolean
  /** Announces a change of this instance to all subscribed control instances. */
  announce (): void
  /** Returns the time of the last tick of a control instance with a quorum, -Infinity before the first. */
  lastQuorumAt (): number
  /** Returns the start of the uninterrupted period of such ticks that includes {@link Subscriber.lastQuorumAt}. */
  quorumSince (): number
  /** Returns the number of subscriptions. */
  subscriptionCount (): number
  /** Closes all subscriptions. */
  stop (): void
}

/**
 * Maximum number of subscriptions. Of five control instances, two may be partitioned from the others and still reachable for
 * entry instances: three subscriptions then include one with a quorum.
 */
const MAX_SUBSCRIPTIONS = 3
/** A control instance without a tick for this long is unresponsive, and its subscription is closed. */
const TICK_TIMEOUT_MS = 2.3 * messages.TICK_INTERVAL_MS
/** A control instance without a quorum for this long is replaced by another one, if available. */
const QUORUM_TIMEOUT_MS = 1.5 * messages.TICK_INTERVAL_MS
/** Ticks further apart than this were interrupted: changes may have been missed. */
const MAX_TICK_GAP_MS = TICK_TIMEOUT_MS
/** Back-off after the first failure of an address; doubles with each consecutive failure. */
const MIN_BACKOFF_MS = 200
const MAX_BACKOFF_MS = 1600
/** Longest back-off before the first contact with a quorum: until then the instance cannot serve, or only from a stale state. */
const MAX_BACKOFF_BEFORE_CONTACT_MS = 40
const POLL_INTERVAL_MS = 100
const POLL_INTERVAL_BEFORE_CONTACT_MS = 40
const SUBSCRIBE_TIMEOUT_MS = 1500
/** How long a new version that is not reported by the primary subscription waits for it: half a heartbeat of control instances. */
const SECONDARY_FETCH_DELAY_MS = 100

interface Subscription {
  address: string
  link: links.Link | undefined
  /** Time of the last event. */
  lastSeenAt: number
  /** Whether the control instance had a quorum at its last tick. */
  isCurrent: boolean
  /** Time of the last tick with a quorum. */
  lastQuorumAt: number
  version: number
}

/** Starts subscribing to control instances. */
export function startSubscriber (opts: SubscriberOptions): Subscriber {
  const now = opts.now ?? (() => performance.now())
  const open = new Set<Subscription>()
  const backoffUntil = new Map<string, number>()
  const failures = new Map<string, number>()
  let controls: string[] = []
  const stopped = new AbortController()
  let lastQuorumAt = -Infinity
  let quorumSince = -Infinity

  const isBeforeContact = (): boolean => lastQuorumAt === -Infinity

  const mergeRecords = (list: readonly records.Record[]): void => {
    const mergedAt = now()
    const changed = list.filter(item => opts.table.merge(item, mergedAt) === 'changed')
    if (changed.length > 0) opts.onRecords(changed)
  }

  /**
   * Records the version that a control instance reported. Fetches at once only if the instance is the primary (oldest)
   * subscription, so that the leader, which reports a new version first, does not receive fetches of all its subscribers at once.
   */
  const noteVersion = (sub: Subscription, reportedVersion: number): void => {
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
    if (documents.version() > 0 || controls.length <= MAX_SUBSCRIPTIONS) return []
    const address = controls[Math.floor(Math.random() * controls.length)]
    return [{
      address,
      version: Math.max(0, ...[...open].map(sub => sub.version)),
      getLink: async () => await opts.dial(address),
      isLinkTemporary: true,
      onFailure (reason) { opts.log.event('documentNotFetched', { address, why: reason }) }
    }]
  }

  const toSources = (sub: Subscription): documentFetchers.DocumentSource[] => {
    const { address, version, link } = sub
    return link === undefined ? [] : [{ address, version, getLink: async () => link, onFailure: reason => { drop(sub, reason) } }]
  }

  const documents = documentFetchers.createDocumentFetcher({
    controls: () => [...toInitialSources(), ...[...open].flatMap(toSources)],
    peerAddresses: opts.peerAddresses ?? (() => []),
    getPeerLink: opts.getPeerLink ?? (async address => { throw new Error(`no link to entry instance ${address}: links between entry instances are not configured`) }),
    onDocument: opts.onDocument,
    budget: opts.budget ?? sendBudgets.createSendBudget(Infinity),
    signal: stopped.signal,
    log: opts.log,
    now
  })

  const find = (link: links.Link): Subscription | undefined => [...open].find(item => item.link === link)

  const drop = (sub: Subscription, reason: string): void => {
    if (!open.delete(sub)) return
    const failureCount = (failures.get(sub.address) ?? 0) + 1
    failures.set(sub.address, failureCount)
    const maxBackoffMs = isBeforeContact() ? MAX_BACKOFF_BEFORE_CONTACT_MS : MAX_BACKOFF_MS
    backoffUntil.set(sub.address, now() + Math.min(maxBackoffMs, MIN_BACKOFF_MS * 2 ** (failureCount - 1)))
    sub.link?.close()
    opts.log.event('controlLost', { address: sub.address, why: reason, subscriptions: open.size })
  }

  const subscribe = async (address: string): Promise<void> => {
    const sub: Subscription = { address, link: undefined, lastSeenAt: now(), isCurrent: true, lastQuorumAt: now(), version: 0 }
    open.add(sub)
    try {
      const link = await opts.dial(address)
      sub.link = link
      const call: messages.DiscoveryCall = { t: 'subscribe', self: opts.self(), version: documents.version() }
      const reply = messages.discoveryReply.parse(await link.call(call, SUBSCRIBE_TIMEOUT_MS))
      if (!open.has(sub) || stopped.signal.aborted) {
        link.close()
        return
      }
      sub.lastSeenAt = now()
      opts.log.event('controlFound', { address, subscriptions: open.size })
      if (reply.records !== null) mergeRecords(messages.unpackRecords(reply.records))
      controls = reply.controls
      documents.accept(reply.document)
      noteVersion(sub, reply.version)
      void link.closed.then(reason => { drop(sub, reason) })
    } catch (err) {
      drop(sub, err instanceof Error ? err.message : String(err))
    }
  }

  /** Returns the control instances that can be subscribed to, in random order: neither subscribed nor in back-off. */
  const candidateAddresses = (): string[] => {
    const subscribed = new Set([...open].map(sub => sub.address))
    const all = new Set([...controls, ...opts.seeds()])
    return handoutPollers.toShuffled([...all].filter(address => !subscribed.has(address) && (backoffUntil.get(address) ?? 0) <= now()))
  }

  const updateSubscriptions = (): void => {
    for (const sub of open) {
      if (now() - sub.lastSeenAt > TICK_TIMEOUT_MS) drop(sub, 'silent')
    }
    const candidates = candidateAddresses()
    const withoutQuorum = [...open].filter(sub => !sub.isCurrent && now() - sub.lastQuorumAt > QUORUM_TIMEOUT_MS)
    // A subscription without a quorum is dropped only if it can be replaced.
    if (open.size >= MAX_SUBSCRIPTIONS && withoutQuorum.length > 0 && candidates.length > 0) drop(withoutQuorum[0], 'no quorum')
    for (const address of candidates.slice(0, Math.max(0, MAX_SUBSCRIPTIONS - open.size))) void subscribe(address)
  }

  const fetchHandouts = opts.fetchHandout === undefined
    ? () => {}
    : handoutPollers.createHandoutPoller({
      seeds: opts.seeds,
      fetch: opts.fetchHandout,
      onReply (reply, address) {
        if (documents.version() > 0) return
        opts.log.event('handoutTaken', { address, version: reply.version })
        if (reply.records !== null) mergeRecords(messages.unpackRecords(reply.records))
        if (controls.length === 0) controls = reply.controls
        documents.accept(reply.document)
      },
      log: opts.log
    })

  const run = async (): Promise<void> => {
    let lastTickAt = now()
    while (!stopped.signal.aborted) {
      updateSubscriptions()
      if (documents.version() === 0) fetchHandouts()
      if (now() - lastTickAt >= messages.TICK_INTERVAL_MS) {
        lastTickAt = now()
        const self = opts.self()
        const event: messages.DiscoveryEvent = { t: 'tick', isCurrent: true, version: documents.version(), signs: [[self.id, self.startedAt, self.seq]], controls: [] }
        for (const sub of open) sub.link?.send(event)
      }
      await timers.setTimeout(isBeforeContact() ? POLL_INTERVAL_BEFORE_CONTACT_MS : POLL_INTERVAL_MS, undefined, { ref: false })
    }
  }

  void run()
  return {
    onEvent (event, link) {
      const sub = find(link)
      if (sub === undefined) return
      sub.lastSeenAt = now()
      switch (event.t) {
        case 'news': mergeRecords(event.list); break
        case 'version': noteVersion(sub, event.version); break
        case 'tick':
          sub.isCurrent = event.isCurrent
          if (event.isCurrent) {
            if (now() - lastQuorumAt > MAX_TICK_GAP_MS) quorumSince = now()
            lastQuorumAt = sub.lastQuorumAt = now()
            failures.delete(sub.address)
          }
          controls = event.controls
          for (const heartbeat of event.signs) opts.table.applyHeartbeat(heartbeat, now())
          // Covers versions that were announced before this subscription, or while no link was open to fetch them.
          noteVersion(sub, event.version)
          break
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
    newestVersion: documents.newestVersion,
    isDocumentLatest: () => documents.version() > 0 && documents.newestVersion() <= documents.version() && now() - lastQuorumAt <= MAX_TICK_GAP_MS,
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
