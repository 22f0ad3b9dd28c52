/**
 * The control instance's part: it takes announcements, tells the other control instances and its subscribers, and keeps no
 * durable state: after a restart it learns everything again from the others and from the next announcements.
 */
import * as timers from 'node:timers/promises'
import type * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as messages from './messages.js'
import * as recordTables from './recordTable.js'
import * as records from './records.js'
import * as sendBudgets from './sendBudget.js'

/** What a publisher is built from. */
export interface PublisherOptions {
  /** Inner address of this control instance. */
  self: string
  table: recordTables.RecordTable
  /** Inner addresses of the other control instances. */
  peerAddresses: () => readonly string[]
  /** @returns a link to another control instance */
  getPeerLink: (address: string) => Promise<links.Link>
  /** Version of the document held here, 0 without one. */
  version: () => number
  /** @returns the document held here, packed for a reader who holds a version of it, or null if that is the latest */
  packDocumentSince: (version: number) => contracts.PackedText | null
  /** How much of its link this instance may fill with documents; absent where that is not known. */
  budget?: sendBudgets.SendBudget
  /** Whether this instance heard from a quorum lately. */
  isCurrent: () => boolean
  /** Told when a record changed. */
  onChange?: () => void
  log: telemetry.Log
  now?: () => number
}

/** Takes announcements and spreads them. */
export interface Publisher {
  /**
   * Takes an announcement.
   * @param record what a process says of itself
   * @returns once every reachable control instance has taken a change, or after {@link REPLICATION_TIMEOUT_MS}
   */
  announce (record: records.Record): Promise<void>
  /** Answers a call of another instance. */
  onCall (call: messages.DiscoveryCall, link: links.Link): Promise<messages.DiscoveryReply>
  /** Takes an event of another instance. */
  onEvent (event: messages.DiscoveryEvent): void
  /** Tells all subscribers that there is a new document; each fetches it from one control instance. */
  publishDocument (): void
  /** @returns what an instance that knows nothing is answered */
  toFullReply (): messages.DiscoveryReply
  /** One step of the periodic work. */
  tick (): void
}

/**
 * How long an acknowledgement waits until the other control instances confirm a change. An endpoint that was told "yes, you
 * may leave" counts on getting no new work soon, so the news must be under way everywhere before it is told so.
 */
export const REPLICATION_TIMEOUT_MS = 400
/** Changes that can wait are gathered for so long, milliseconds: a small part of the time for which callers keep addresses. */
const BATCH_DELAY_MS = 40
/**
 * A document up to this size comes with the answer to a subscription: a fleet that lost power serves nobody before it. A larger
 * one is fetched from one control instance, since three times its size would fill their links.
 */
const MAX_INLINE_BYTES = 12 * 1024
/** Every so many ticks the whole table is compared with one other control instance: mends what lost links left out. */
const COMPARE_INTERVAL_TICKS = 3

/**
 * Creates a publisher.
 * @param opts the table and the ways to the others
 * @returns the publisher
 */
export function createPublisher (opts: PublisherOptions): Publisher {
  const { table } = opts
  const budget = opts.budget ?? sendBudgets.createSendBudget(Infinity)
  const now = opts.now ?? (() => performance.now())
  const subscribers = new Set<links.Link>()
  let ownSigns = new Map<string, records.Heartbeat>()
  let passedSigns = new Map<string, records.Heartbeat>()
  /** Changes that another control instance has not confirmed yet, by its address. */
  const unconfirmed = new Map<string, Map<string, records.Record>>()
  /** Changes to be told together. */
  const forSubscribers = new Map<string, records.Record>()
  const forOthers = new Map<string, records.Record>()
  let flushing: Promise<void> | undefined
  let ticks = 0

  const sendAll = (event: messages.DiscoveryEvent): void => {
    const encoded = links.encodeEvent(event)
    for (const link of subscribers) link.sendEncoded(encoded)
  }

  /** Tells one control instance what it has not confirmed yet. */
  const tellOther = async (address: string): Promise<void> => {
    const pending = unconfirmed.get(address)
    if (pending === undefined || pending.size === 0) return
    const list = [...pending.values()]
    const link = await opts.getPeerLink(address)
    await link.call({ t: 'records', list } satisfies messages.DiscoveryCall, REPLICATION_TIMEOUT_MS)
    for (const item of list) {
      if (pending.get(item.id) === item) pending.delete(item.id)
    }
  }

  const tellOthers = async (list: records.Record[]): Promise<void> => {
    const calls = opts.peerAddresses().map(async address => {
      const pending = unconfirmed.get(address) ?? new Map<string, records.Record>()
      unconfirmed.set(address, pending)
      for (const item of list) pending.set(item.id, item)
      await tellOther(address)
    })
    // One that cannot be reached now is told with the next ticks.
    await Promise.race([Promise.allSettled(calls), new Promise(resolve => { setTimeout(resolve, REPLICATION_TIMEOUT_MS) })])
  }

  const flushNews = async (): Promise<void> => {
    flushing = undefined
    const news = [...forSubscribers.values()]
    const others = [...forOthers.values()]
    forSubscribers.clear()
    forOthers.clear()
    if (news.length > 0) sendAll({ t: 'news', list: news })
    if (others.length > 0) await tellOthers(others)
  }

  /**
   * Has changes told, those that end work at once and others together. Load pattern: after a loss of power 65 entry instances
   * announce themselves within a second. Told one by one to all subscribers these are more events than a control instance with
   * a small share of a processor can write; gathered, they are one event for each of them.
   * @returns once every reachable control instance has taken them, or after {@link REPLICATION_TIMEOUT_MS}
   */
  const queueNews = async (list: readonly records.Record[], isForOthers: boolean): Promise<void> => {
    if (list.length === 0) return
    for (const item of list) {
      forSubscribers.set(item.id, item)
      if (isForOthers) forOthers.set(item.id, item)
    }
    if (list.some(item => item.state === 'leaving' || item.state === 'gone')) {
      await flushNews()
      return
    }
    flushing ??= timers.setTimeout(BATCH_DELAY_MS).then(flushNews)
    await flushing
  }

  /** Takes records. @returns those among them that were news */
  const take = (list: readonly records.Record[]): records.Record[] => {
    const at = now()
    const changed = list.filter(item => {
      const merged = table.merge(item, at)
      if (merged === 'refreshed') passedSigns.set(item.id, [item.id, item.startedAt, item.seq])
      if (merged === 'changed') noteChange(item)
      return merged === 'changed'
    })
    return changed
  }

  const noteChange = (item: records.Record): void => {
    opts.onChange?.()
    opts.log.event('recordChanged', { kind: item.kind, id: item.id, state: item.state, startedAt: item.startedAt, seq: item.seq, zone: item.zone })
  }

  const compare = async (address: string): Promise<void> => {
    const link = await opts.getPeerLink(address)
    const reply = messages.discoveryReply.parse(await link.call({ t: 'compare', records: messages.packRecords(table.all()) } satisfies messages.DiscoveryCall, 2 * messages.TICK_INTERVAL_MS))
    if (reply.records !== null) await queueNews(take(messages.unpackRecords(reply.records)), false)
  }

  const reply = (hasRecords: boolean, document: contracts.PackedText | null): messages.DiscoveryReply => {
    return { records: hasRecords ? messages.packRecords(table.all()) : null, controls: [opts.self, ...opts.peerAddresses()], version: opts.version(), document }
  }

  return {
    async announce (record) {
      const merged = table.merge(record, now())
      switch (merged) {
        case 'stale': return
        case 'refreshed':
          ownSigns.set(record.id, [record.id, record.startedAt, record.seq])
          return
        case 'changed':
          noteChange(record)
          await queueNews([record], true)
      }
    },
    async onCall (call, link) {
      switch (call.t) {
        case 'subscribe': {
          subscribers.add(link)
          void link.closed.then(() => { subscribers.delete(link) })
          if (table.merge(call.self, now()) === 'changed') {
            noteChange(call.self)
            void queueNews([call.self], true)
          }
          const document = opts.packDocumentSince(call.version)
          return reply(true, document !== null && document.body.length <= MAX_INLINE_BYTES ? document : null)
        }
        case 'records':
          void queueNews(take(call.list), false)
          return reply(false, null)
        case 'compare':
          void queueNews(take(messages.unpackRecords(call.records)), false)
          return reply(true, null)
        case 'fetch':
          return { ...reply(false, null), ...messages.toDocumentReply(opts.packDocumentSince(call.version), budget, now()) }
      }
    },
    onEvent (event) {
      switch (event.t) {
        case 'news':
          void queueNews(take(event.list), true)
          break
        case 'signs':
          for (const sign of event.signs) {
            if (table.applyHeartbeat(sign, now())) passedSigns.set(sign[0], sign)
          }
          break
        case 'tick':
          // An entry instance announces itself.
          for (const sign of event.signs) {
            if (table.applyHeartbeat(sign, now())) ownSigns.set(sign[0], sign)
          }
          break
        case 'version': break
      }
    },
    publishDocument () {
      sendAll({ t: 'version', version: opts.version() })
    },
    toFullReply: () => reply(true, opts.packDocumentSince(0)),
    tick () {
      ticks++
      const own = [...ownSigns.values()]
      const signs = [...own, ...passedSigns.values()]
      ownSigns = new Map()
      passedSigns = new Map()
      const controls = [opts.self, ...opts.peerAddresses()]
      sendAll({ t: 'tick', isCurrent: opts.isCurrent(), version: opts.version(), signs, controls })
      if (own.length > 0) {
        const encoded = links.encodeEvent({ t: 'signs', signs: own } satisfies messages.DiscoveryEvent)
        for (const address of opts.peerAddresses()) opts.getPeerLink(address).then(link => { link.sendEncoded(encoded) }, () => {})
      }
      const others = opts.peerAddresses()
      for (const address of unconfirmed.keys()) {
        if (!others.includes(address)) unconfirmed.delete(address)
      }
      for (const address of others) tellOther(address).catch(() => {})
      if (others.length > 0 && ticks % COMPARE_INTERVAL_TICKS === 2) compare(others[Math.floor(Math.random() * others.length)]).catch(() => {})
      if (ticks % 30 === 0) table.prune(now())
    }
  }
}
