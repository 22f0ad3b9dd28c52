/**
 * The entry instance's part: it keeps subscriptions to a few control instances, takes what they tell, and changes to others
 * when one falls silent or has lost its quorum.
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

/** What a subscriber is built from. */
export interface SubscriberOptions {
  /** Inner addresses of control instances to begin with. */
  seeds: () => readonly string[]
  table: recordTables.RecordTable
  /** @returns a new link to a control instance, which calls {@link Subscriber.onEvent} */
  dial: (address: string) => Promise<links.Link>
  /** Asks a control instance that is still starting for what it hands out; absent where none does so. */
  fetchHandout?: (address: string) => Promise<Uint8Array>
  /** What this instance says of itself. */
  self: () => records.EntryRecord
  /** Takes a newer document, with the time since it was first heard of, milliseconds. */
  onDocument: (document: contracts.VersionedText, waitedMs: number) => void
  /** Inner addresses of the other entry instances, in random order; absent where there are none. */
  peerAddresses?: () => readonly string[]
  /** @returns a link to another entry instance */
  getPeerLink?: (address: string) => Promise<links.Link>
  /** How much of its link this instance may fill with documents for others; absent where that is not known. */
  budget?: sendBudgets.SendBudget
  /** Told when records changed. */
  onRecords: (list: readonly records.Record[]) => void
  log: telemetry.Log
  now?: () => number
}

/** Keeps subscriptions. */
export interface Subscriber {
  /** Takes an event of a control instance. */
  onEvent (event: messages.DiscoveryEvent, link: links.Link): void
  /** Answers a call of another entry instance. */
  onCall (call: messages.DiscoveryCall): messages.DiscoveryReply
  /** Notes the version of the document that another entry instance holds. */
  notePeerVersion (address: string, version: number): void
  /** @returns the version of the document that is held here, 0 without one */
  version (): number
  /** @returns the newest version that any instance said it holds */
  newestVersion (): number
  /** @returns whether the document that is held here is known to be the latest: what it lacks is not to be had anywhere */
  isDocumentLatest (): boolean
  /** Announces a change of this instance to all control instances it is subscribed to. */
  announce (): void
  /** @returns when a control instance that has a quorum was last heard */
  lastQuorumAt (): number
  /** @returns since when such a control instance has been heard without a gap, or was until {@link Subscriber.lastQuorumAt} */
  quorumSince (): number
  /** @returns how many control instances tell this instance news */
  subscriptionCount (): number
  /** Ends all subscriptions. */
  stop (): void
}

/**
 * Control instances that an entry instance listens to at once. With five, two may be cut off from the others without
 * falling silent to entry instances: three leave one that is not.
 */
const SUBSCRIPTIONS = 3
/** A control instance that sends no tick for this long is given up. */
const SILENT_MS = 2.3 * messages.TICK_INTERVAL_MS
/** A control instance without a quorum for this long is exchanged for another one, if there is one. */
const NOT_CURRENT_MS = 1.5 * messages.TICK_INTERVAL_MS
/** Without a tick for this long there was a gap in the news. */
const GAP_MS = SILENT_MS
/** How long an address that failed is left alone: short at first, since a process that was killed is back soon, ... */
const AVOID_MS = 200
/** ... and doubled with each failure in a row up to this, ... */
const AVOID_MOST_MS = 1600
/** ... but for an instance that has not heard of any yet: it serves nobody, or with what may be old, until one is back. */
const AVOID_ALONE_MS = 40
const LOOK_MS = 100
/** How often an instance that has not heard of any looks for a control instance. */
const LOOK_ALONE_MS = 40
const SUBSCRIBE_MS = 1500
/** How long the other subscriptions leave a new document to the main one: half a heartbeat between control instances. */
const SPARE_MS = 100

interface Subscription {
  address: string
  link: links.Link | undefined
  heardAt: number
  /** Whether the control instance had a quorum at its last tick, and when it last had one. */
  isCurrent: boolean
  currentAt: number
  version: number
}

/**
 * Starts keeping subscriptions.
 * @param opts where control instances are and what to do with news
 * @returns the subscriber
 */
export function startSubscriber (opts: SubscriberOptions): Subscriber {
  const now = opts.now ?? (() => performance.now())
  const open = new Set<Subscription>()
  const avoidUntil = new Map<string, number>()
  const failures = new Map<string, number>()
  let controls: string[] = []
  const stopped = new AbortController()
  let currentAt = -Infinity
  let currentSince = -Infinity

  const isAlone = (): boolean => currentAt === -Infinity

  const takeRecords = (list: readonly records.Record[]): void => {
    const at = now()
    const changed = list.filter(item => opts.table.merge(item, at) === 'changed')
    if (changed.length > 0) opts.onRecords(changed)
  }

  /**
   * Takes the news that a control instance holds a version. Load pattern: each document is announced by three control
   * instances, and the first one to know it, the leader, is subscribed to by a third of all instances. So only those whose
   * oldest subscription it is fetch at once; the others wait for theirs a little.
   */
  const noteVersion = (sub: Subscription, said: number): void => {
    sub.version = Math.max(sub.version, said)
    if (sub.version <= documents.version()) return
    const isMain = [...open][0] === sub
    documents.scheduleFetch(isMain || documents.version() === 0 ? 0 : SPARE_MS)
  }

  /**
   * Any control instance, for the first document. Load pattern: after a loss of power all instances know just the control instances
   * that the settings name, a third of them, whose links carry 65 whole documents while those of the others are idle.
   */
  const toFirstSource = (): documentFetchers.DocumentSource[] => {
    if (documents.version() > 0 || controls.length <= SUBSCRIPTIONS) return []
    const address = controls[Math.floor(Math.random() * controls.length)]
    return [{
      address,
      version: Math.max(0, ...[...open].map(sub => sub.version)),
      getLink: async () => await opts.dial(address),
      isLinkTemporary: true,
      onFailure (why) { opts.log.event('documentNotFetched', { address, why }) }
    }]
  }

  const toSource = (sub: Subscription): documentFetchers.DocumentSource[] => {
    const { address, version, link } = sub
    return link === undefined ? [] : [{ address, version, getLink: async () => link, onFailure: why => { drop(sub, why) } }]
  }

  const documents = documentFetchers.createDocumentFetcher({
    controls: () => [...toFirstSource(), ...[...open].flatMap(toSource)],
    peerAddresses: opts.peerAddresses ?? (() => []),
    getPeerLink: opts.getPeerLink ?? (async address => { throw new Error(`${address} is not reached from here`) }),
    onDocument: opts.onDocument,
    budget: opts.budget ?? sendBudgets.createSendBudget(Infinity),
    signal: stopped.signal,
    log: opts.log,
    now
  })

  const find = (link: links.Link): Subscription | undefined => [...open].find(item => item.link === link)

  const drop = (sub: Subscription, why: string): void => {
    if (!open.delete(sub)) return
    const failed = (failures.get(sub.address) ?? 0) + 1
    failures.set(sub.address, failed)
    const mostMs = isAlone() ? AVOID_ALONE_MS : AVOID_MOST_MS
    avoidUntil.set(sub.address, now() + Math.min(mostMs, AVOID_MS * 2 ** (failed - 1)))
    sub.link?.close()
    opts.log.event('controlLost', { address: sub.address, why, subscriptions: open.size })
  }

  const subscribe = async (address: string): Promise<void> => {
    const sub: Subscription = { address, link: undefined, heardAt: now(), isCurrent: true, currentAt: now(), version: 0 }
    open.add(sub)
    try {
      const link = await opts.dial(address)
      sub.link = link
      const call: messages.DiscoveryCall = { t: 'subscribe', self: opts.self(), version: documents.version() }
      const reply = messages.discoveryReply.parse(await link.call(call, SUBSCRIBE_MS))
      if (!open.has(sub) || stopped.signal.aborted) {
        link.close()
        return
      }
      sub.heardAt = now()
      opts.log.event('controlFound', { address, subscriptions: open.size })
      if (reply.records !== null) takeRecords(messages.unpackRecords(reply.records))
      controls = reply.controls
      documents.accept(reply.document)
      noteVersion(sub, reply.version)
      void link.closed.then(why => { drop(sub, why) })
    } catch (err) {
      drop(sub, err instanceof Error ? err.message : String(err))
    }
  }

  /** @returns addresses of control instances that are not subscribed to and may be tried, in random order */
  const candidates = (): string[] => {
    const used = new Set([...open].map(sub => sub.address))
    const all = new Set([...controls, ...opts.seeds()])
    return handoutPollers.toShuffled([...all].filter(address => !used.has(address) && (avoidUntil.get(address) ?? 0) <= now()))
  }

  const look = (): void => {
    for (const sub of open) {
      if (now() - sub.heardAt > SILENT_MS) drop(sub, 'silent')
    }
    const free = candidates()
    const stale = [...open].filter(sub => !sub.isCurrent && now() - sub.currentAt > NOT_CURRENT_MS)
    // One that lost its quorum is better than none: it goes only when another one can be tried.
    if (open.size >= SUBSCRIPTIONS && stale.length > 0 && free.length > 0) drop(stale[0], 'no quorum')
    for (const address of free.slice(0, Math.max(0, SUBSCRIPTIONS - open.size))) void subscribe(address)
  }

  const askHandouts = opts.fetchHandout === undefined
    ? () => {}
    : handoutPollers.createHandoutPoller({
      seeds: opts.seeds,
      fetch: opts.fetchHandout,
      onReply (reply, address) {
        if (documents.version() > 0) return
        opts.log.event('handoutTaken', { address, version: reply.version })
        if (reply.records !== null) takeRecords(messages.unpackRecords(reply.records))
        if (controls.length === 0) controls = reply.controls
        documents.accept(reply.document)
      },
      log: opts.log
    })

  const run = async (): Promise<void> => {
    let lastSignAt = now()
    while (!stopped.signal.aborted) {
      look()
      if (documents.version() === 0) askHandouts()
      if (now() - lastSignAt >= messages.TICK_INTERVAL_MS) {
        lastSignAt = now()
        const self = opts.self()
        const event: messages.DiscoveryEvent = { t: 'tick', isCurrent: true, version: documents.version(), signs: [[self.id, self.startedAt, self.seq]], controls: [] }
        for (const sub of open) sub.link?.send(event)
      }
      await timers.setTimeout(isAlone() ? LOOK_ALONE_MS : LOOK_MS, undefined, { ref: false })
    }
  }

  void run()
  return {
    onEvent (event, link) {
      const sub = find(link)
      if (sub === undefined) return
      sub.heardAt = now()
      switch (event.t) {
        case 'news': takeRecords(event.list); break
        case 'version': noteVersion(sub, event.version); break
        case 'tick':
          sub.isCurrent = event.isCurrent
          if (event.isCurrent) {
            if (now() - currentAt > GAP_MS) currentSince = now()
            currentAt = sub.currentAt = now()
            failures.delete(sub.address)
          }
          controls = event.controls
          for (const sign of event.signs) opts.table.applyHeartbeat(sign, now())
          // Guards against a document that was announced before this subscription, or whose announcement came while no link
          // was up to fetch it.
          noteVersion(sub, event.version)
          break
        case 'signs': break
      }
    },
    onCall (call) {
      if (call.t !== 'fetch') throw new Error(`an entry instance answers no call "${call.t}"`)
      return documents.toReply(call.version)
    },
    notePeerVersion (address, version) {
      documents.notePeerVersion(address, version)
      if (version > documents.version()) documents.scheduleFetch(SPARE_MS)
    },
    version: documents.version,
    newestVersion: documents.newestVersion,
    isDocumentLatest: () => documents.version() > 0 && documents.newestVersion() <= documents.version() && now() - currentAt <= GAP_MS,
    announce () {
      const event: messages.DiscoveryEvent = { t: 'news', list: [opts.self()] }
      for (const sub of open) sub.link?.send(event)
    },
    lastQuorumAt: () => currentAt,
    quorumSince: () => currentSince,
    subscriptionCount: () => open.size,
    stop () {
      stopped.abort()
      for (const sub of open) sub.link?.close()
    }
  }
}
