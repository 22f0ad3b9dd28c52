/**
 * The control instance's side of discovery: accepts announcements and publishes them to the other control instances and to its
 * subscribers. Keeps no durable state: after a restart, records come from the other control instances and new announcements.
 */
import * as timers from 'node:timers/promises'
import type * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as intakes from './intake.js'
import * as livenesses from './liveness.js'
import * as evacuations from './evacuations.js'
import * as messages from './messages.js'
import * as peerReplications from './peerReplication.js'
import * as recordTables from './recordTable.js'
import type * as records from './records.js'
import * as refusals from './refusals.js'
import * as sendBudgets from './sendBudget.js'

/** Options of {@link createPublisher}. */
export interface PublisherOptions {
  /** Inner address of this control instance. */
  self: string
  table: recordTables.RecordTable
  /** Inner addresses of the other control instances. */
  peerAddresses: () => readonly string[]
  /** Returns a link to another control instance. */
  getPeerLink: (address: string) => Promise<links.Link>
  /** Returns the version of the local document, 0 without one. */
  version: () => number
  /** Packs the local document for a reader of a version of it; null if the reader has the latest. */
  packDocumentSince: (version: number) => contracts.PackedText | null
  /** Returns the evacuated zones as known locally; none by default. */
  evacuations?: () => evacuations.EvacuationReport
  /** Limits the documents that are sent; unlimited by default. */
  budget?: sendBudgets.SendBudget
  /** Returns whether this instance had applied everything that was committed a short time ago. */
  isCurrent: () => boolean
  /** Called when a record changed. */
  onChange?: () => void
  log: telemetry.Log
  /** Counts refused input; by default nobody reads the counts. */
  refusals?: refusals.Refusals
  now?: () => number
}

/** Accepts announcements and publishes them. */
export interface Publisher {
  /**
   * Accepts an announcement. Resolves once every reachable control instance has acknowledged a change, or after
   * {@link peerReplications.REPLICATION_TIMEOUT_MS}.
   * @returns whether there is room for it in the table
   */
  announce (record: records.Record): Promise<boolean>
  /** Answers a call of another instance. */
  onCall (call: messages.DiscoveryCall, link: links.Link): Promise<messages.DiscoveryReply>
  /** Handles an event of another instance. */
  onEvent (event: messages.DiscoveryEvent): void
  /** Notifies all subscribers of a new document; each of them fetches it from one control instance. */
  publishDocument (): void
  /** Sends the evacuated zones to all subscribers. */
  publishEvacuations (): void
  /** Returns the reply to a caller without records or document: all records and the full document. */
  toFullReply (): messages.DiscoveryReply
  /** Returns the number of subscribed entry instances. */
  subscriberCount (): number
  /** Returns the number of records without a recent heartbeat. */
  lateCount (): number
  /** Runs the periodic work; to be called every {@link messages.TICK_INTERVAL_MS}. */
  tick (): void
}

/** How long non-urgent changes are batched: a small part of the time for which callers cache addresses. */
const BATCH_DELAY_MS = 40
/** Added to the delay for each subscriber, so that the number of events per second that a control instance sends stays bounded. */
const BATCH_DELAY_PER_SUBSCRIBER_MS = 2
/** Number of changes from which on they are packed. */
const MIN_PACKED_RECORDS = 3
/**
 * Documents up to this size are included in the reply to a subscription: after a loss of power, entry instances serve nobody before
 * they have one. Larger ones are fetched separately, so that they are not sent once per subscription.
 */
const MAX_INLINE_BYTES = 12 * 1024
/** Ticks between anti-entropy exchanges of the full table with a random control instance. */
const COMPARE_INTERVAL_TICKS = 3
const PRUNE_INTERVAL_TICKS = 30

/** Creates a publisher. */
export function createPublisher (opts: PublisherOptions): Publisher {
  const { table } = opts
  const budget = opts.budget ?? sendBudgets.createSendBudget()
  const now = opts.now ?? (() => performance.now())
  const refused = opts.refusals ?? refusals.createRefusals(opts.log, now)
  const intake = intakes.createIntake(refused)
  const toEvacuations = opts.evacuations ?? (() => evacuations.NO_EVACUATIONS)
  /** Subscribers that expect every heartbeat. */
  const subscribers = new Set<links.Link>()
  /** Subscribers that accept packed changes and changes of liveness. */
  const compactSubscribers = new Set<links.Link>()
  const liveness = livenesses.createLivenessTracker(table)
  /** All records as packed since the last flush; changes since then are in the next batch for the subscribers. */
  let packedRecords: Uint8Array | undefined
  let ownHeartbeats = new Map<string, records.Heartbeat>()
  let forwardedHeartbeats = new Map<string, records.Heartbeat>()
  const replication = peerReplications.createPeerReplication(opts)
  /** Batched changes, by id. */
  const subscriberBatch = new Map<string, records.Record>()
  const peerBatch = new Map<string, records.Record>()
  let pendingFlush: Promise<void> | undefined
  let ticks = 0
  const waitForRoom = sendBudgets.createSendQueue(budget, now)

  const sendTo = (event: messages.DiscoveryEvent, ...groups: Array<ReadonlySet<links.Link>>): void => {
    if (groups.every(group => group.size === 0)) return
    const encoded = links.encodeEvent(event)
    for (const group of groups) for (const link of group) link.sendEncoded(encoded)
  }

  const sendToAll = (event: messages.DiscoveryEvent): void => { sendTo(event, subscribers, compactSubscribers) }

  const sendChanges = (list: records.Record[]): void => {
    packedRecords = undefined
    if (list.length < MIN_PACKED_RECORDS) {
      sendToAll({ t: 'news', list })
      return
    }
    sendTo({ t: 'news', list }, subscribers)
    sendTo({ t: 'packedNews', records: messages.packRecords(list) }, compactSubscribers)
  }

  const flush = async (): Promise<void> => {
    pendingFlush = undefined
    const forSubscribers = [...subscriberBatch.values()]
    const forPeers = [...peerBatch.values()]
    subscriberBatch.clear()
    peerBatch.clear()
    if (forSubscribers.length > 0) sendChanges(forSubscribers)
    if (forPeers.length > 0) await replication.replicate(forPeers)
  }

  /**
   * Queues changes for publication: flushes at once if a process leaves, otherwise batches them, so that a restart of many
   * instances does not cause one event per instance and subscriber. Resolves once every reachable control instance has
   * acknowledged them, or after {@link peerReplications.REPLICATION_TIMEOUT_MS}.
   */
  const queueChanges = async (list: readonly records.Record[], isForPeers: boolean): Promise<void> => {
    if (list.length === 0) return
    for (const item of list) {
      subscriberBatch.set(item.id, item)
      if (isForPeers) peerBatch.set(item.id, item)
    }
    if (list.some(item => item.state === 'leaving' || item.state === 'gone')) {
      await flush()
      return
    }
    pendingFlush ??= timers.setTimeout(BATCH_DELAY_MS + BATCH_DELAY_PER_SUBSCRIBER_MS * compactSubscribers.size).then(flush)
    await pendingFlush
  }

  /**
   * Merges records.
   * @param isHeard whether they were announced just now
   * @returns the changed records as they are known now
   */
  const mergeAll = (list: readonly records.Record[], isHeard: boolean): records.Record[] => list.flatMap(item => {
    const result = merge(item, isHeard)
    if (result === 'refreshed') forwardedHeartbeats.set(item.id, [item.id, item.startedAt, item.seq])
    return recordTables.isContentChanged(result) ? recordTables.toKnownRecord(table, item) : []
  })

  const merge = (item: records.Record, isHeard: boolean): recordTables.MergeResult => {
    const result = table.merge(item, now())
    if (result === 'full') refused.note('recordsFull', 'record.full', { id: item.id })
    if (isHeard && (result === 'changed' || result === 'refreshed')) liveness.noteHeard(item.id, now())
    if (recordTables.isContentChanged(result)) reportChange(item)
    return result
  }

  const reportChange = (item: records.Record): void => {
    opts.onChange?.()
    opts.log.event('recordChanged', { kind: item.kind, id: item.id, state: item.state, startedAt: item.startedAt, seq: item.seq, zone: item.zone })
  }

  const compare = async (address: string): Promise<void> => {
    const link = await opts.getPeerLink(address)
    const reply = messages.discoveryReply.parse(await link.call({ t: 'compare', records: messages.packRecords(table.all()) } satisfies messages.DiscoveryCall, 2 * messages.TICK_INTERVAL_MS))
    await queueChanges(mergeAll(intake.packedRecords(reply.records, address, table), false), false)
  }

  const packTable = (): Uint8Array => {
    packedRecords ??= messages.packRecords(table.all())
    return packedRecords
  }

  const applyHeartbeat = (heartbeat: records.Heartbeat): boolean => {
    const isNewer = table.applyHeartbeat(heartbeat, now())
    if (isNewer) liveness.noteHeard(heartbeat[0], now())
    return isNewer
  }

  const toReply = (hasRecords: boolean, document: contracts.PackedText | null): messages.DiscoveryReply => {
    return { records: hasRecords ? packTable() : null, controls: [opts.self, ...opts.peerAddresses()], version: opts.version(), document, evacuations: evacuations.toEvacuationField(toEvacuations()) }
  }

  return {
    async announce (record) {
      const result = merge(record, true)
      switch (result) {
        case 'full': return false
        case 'stale': {
          const heartbeat: records.Heartbeat = [record.id, record.startedAt, record.seq]
          if (record.state === table.get(record.id)?.record.state && applyHeartbeat(heartbeat)) ownHeartbeats.set(record.id, heartbeat)
          return true
        }
        case 'refreshed':
          ownHeartbeats.set(record.id, [record.id, record.startedAt, record.seq])
          return true
        case 'changed':
        case 'supplemented':
          await queueChanges([recordTables.toKnownRecord(table, record)], true)
          return true
      }
    },
    async onCall (call, link) {
      switch (call.t) {
        case 'subscribe': {
          let isClosed = false
          void link.closed.then(() => { isClosed = true })
          // Many instances may subscribe at the same time; messages such as those of the replicated log must not wait behind them.
          await waitForRoom(() => packTable().length, () => !isClosed)
          const group = call.isCompact === true ? compactSubscribers : subscribers
          group.add(link)
          void link.closed.then(() => { group.delete(link) })
          const self = intake.records([call.self], 'subscriber')
          for (const { id } of self) liveness.noteHeard(id, now())
          void queueChanges(mergeAll(self, false), true)
          const document = opts.packDocumentSince(call.version)
          return { ...toReply(true, document !== null && document.body.length <= MAX_INLINE_BYTES ? document : null), isCurrent: opts.isCurrent(), late: liveness.late() }
        }
        case 'records':
          void queueChanges(mergeAll(intake.records(call.list, 'control instance'), true), false)
          return toReply(false, null)
        case 'compare':
          void queueChanges(mergeAll(intake.packedRecords(call.records, 'control instance', table), false), false)
          return toReply(true, null)
        case 'fetch':
          return { ...toReply(false, null), isCurrent: opts.isCurrent(), ...messages.toDocumentReply(opts.packDocumentSince(call.version), budget, now()) }
      }
    },
    onEvent (event) {
      switch (event.t) {
        case 'packedNews':
          void queueChanges(mergeAll(intake.packedRecords(event.records, 'subscriber', table), true), true)
          break
        case 'news':
          void queueChanges(mergeAll(intake.records(event.list, 'subscriber'), true), true)
          break
        case 'signs':
          for (const heartbeat of intake.heartbeats(event.signs, 'control instance')) {
            if (applyHeartbeat(heartbeat)) forwardedHeartbeats.set(heartbeat[0], heartbeat)
          }
          break
        case 'tick':
          // The heartbeat of a subscribed entry instance.
          for (const heartbeat of intake.heartbeats(event.signs, 'subscriber')) {
            if (applyHeartbeat(heartbeat)) ownHeartbeats.set(heartbeat[0], heartbeat)
          }
          break
        case 'version':
        case 'evacuations':
          break
      }
    },
    publishDocument () { sendToAll({ t: 'version', version: opts.version() }) },
    publishEvacuations () { sendToAll({ t: 'evacuations', evacuations: toEvacuations() }) },
    toFullReply: () => ({ ...toReply(false, opts.packDocumentSince(0)), records: messages.packRecords(table.all()) }),
    subscriberCount: () => subscribers.size + compactSubscribers.size,
    lateCount: () => liveness.late().length,
    tick () {
      ticks++
      const own = [...ownHeartbeats.values()]
      const signs = [...own, ...forwardedHeartbeats.values()]
      ownHeartbeats = new Map()
      forwardedHeartbeats = new Map()
      const tick = { t: 'tick' as const, isCurrent: opts.isCurrent(), version: opts.version(), controls: [opts.self, ...opts.peerAddresses()], evacuations: evacuations.toEvacuationField(toEvacuations()) }
      const { late, revived } = liveness.takeChanges(now())
      sendTo({ ...tick, signs }, subscribers)
      sendTo({ ...tick, signs: revived, late }, compactSubscribers)
      if (own.length > 0) {
        const encoded = links.encodeEvent({ t: 'signs', signs: own } satisfies messages.DiscoveryEvent)
        for (const address of opts.peerAddresses()) opts.getPeerLink(address).then(link => { link.sendEncoded(encoded) }, () => {})
      }
      replication.retry()
      const peers = opts.peerAddresses()
      if (peers.length > 0 && ticks % COMPARE_INTERVAL_TICKS === 2) compare(peers[Math.floor(Math.random() * peers.length)]).catch(() => {})
      if (ticks % PRUNE_INTERVAL_TICKS === 0) table.prune(now())
    }
  }
}
