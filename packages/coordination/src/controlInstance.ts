/**
 * A control instance: a replica of the configuration document, the records of all endpoints and entry instances, and the links
 * to the other instances.
 */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as documentCalls from './documentCall.js'
import * as documentKeepings from './documentKeeping.js'
import * as documentStores from './documentStore.js'
import * as handoutFiles from './handoutFile.js'
import * as recordFiles from './recordFile.js'

/** Options of {@link startControlInstance}. */
export interface ControlInstanceOptions {
  /** IP address and port for the other instances; also the name of this instance. */
  inner: string
  /** Inner addresses of the first voters of the group. */
  founders: readonly string[]
  /** Whether the whole fleet starts for the first time, with empty disks. */
  mayFound: boolean
  /** Inner addresses of control instances, from the current settings. */
  contacts: () => readonly string[]
  /** Number of disks that may fail at the same time without loss of the document. */
  maxFailedDisks: number
  dataFolder: string
  /** Whether no other instance has run in this process, so that what this one acknowledged earlier precedes the process. Default: false. */
  ownsProcess?: boolean
  /** See {@link documentStores.DocumentStoreOptions.keepTimeoutMs}. */
  keepTimeoutMs?: number
  /** Secret shared by all instances of the fleet. */
  secret: string
  /** Capacity of this machine's link, bytes per millisecond; unlimited by default. */
  linkBytesPerMs?: () => number
  log: telemetry.Log
  invariants: telemetry.Invariants
}

/** A running control instance. */
export interface ControlInstance {
  store: documentStores.DocumentStore
  table: discovery.RecordTable
  /** Accepts an announcement. See {@link discovery.Publisher.announce}. */
  announce: (record: discovery.Record) => Promise<boolean>
  /** Returns the number of subscribed entry instances. */
  subscriberCount: () => number
  /** Returns the number of records without a recent heartbeat. */
  lateCount: () => number
  /** Counts refused input. */
  refusals: discovery.Refusals
  stop: () => Promise<void>
}

const DIAL_TIMEOUT_MS = 1000

/** What calls and events of other instances are handed to. */
interface Parts { store: documentStores.DocumentStore, publisher: discovery.Publisher }

/** Starts a control instance, which may still have to join the group when this resolves. */
export async function startControlInstance (opts: ControlInstanceOptions): Promise<ControlInstance> {
  const { log } = opts
  const table = discovery.createRecordTable()
  const refusals = discovery.createRefusals(log)
  let isStopping = false
  let onDocumentChange = (): void => {}
  let onEvacuations = (): void => {}
  let keepDocument: documentKeepings.KeepDocument = async () => { throw new Error('this instance is starting') }

  // Calls wait while the instance starts. Events are dropped: what they say follows with the comparison of records.
  const starting = createPendingParts()
  // A disk with a handout belonged to a member of a group, whatever became of its replica.
  const hasHandout = fs.existsSync(path.join(opts.dataFolder, discovery.HANDOUT_FILE))
  let isDocumentKnown = hasHandout
  const noteVersion = (msg: discovery.DiscoveryEvent | discovery.DiscoveryCall): void => {
    if ((msg.t === 'tick' || msg.t === 'version' || msg.t === 'subscribe') && msg.version > 0) isDocumentKnown = true
  }
  const handlers: links.LinkHandlers = {
    onEvent (body, link) {
      const event = discovery.discoveryEvent.safeParse(body)
      if (event.success) {
        noteVersion(event.data)
        starting.peek()?.publisher.onEvent(event.data)
      } else refusals.note('recordsRefused', 'event', { from: link.peer.id, why: event.error.message })
    },
    async onCall (body, link) {
      const { store, publisher } = await starting.get()
      if (documentCalls.isDocumentCall(body)) return await store.onCall(documentCalls.documentCall.parse(body))
      const call = discovery.discoveryCall.parse(body)
      noteVersion(call)
      return await publisher.onCall(call, link)
    }
  }
  const linkCfg: links.LinkSettings = { identity: { role: 'control', id: opts.inner }, secret: opts.secret, log, handlers }
  const peerLinks = links.createPeerLinks(linkCfg)
  const getPeerLink = links.createPeerDialer(peerLinks, { dialTimeoutMs: DIAL_TIMEOUT_MS, backoffMs: contracts.HEARTBEAT_INTERVAL_MS }).get

  // First: the address is free only once the process before has ended, which may still write to the same data folder.
  const server = await links.listen(opts.inner, linkCfg, link => {
    if (link.peer.role === 'control') peerLinks.add(link)
  })
  const recordFile = recordFiles.createRecordFile(opts.dataFolder, () => table.all(), log, discovery.createIntake(refusals))
  for (const record of await recordFile.load()) table.merge(record, performance.now())

  const store = await documentStores.startDocumentStore({
    self: opts.inner,
    founders: opts.founders,
    mayFound: opts.mayFound && !hasHandout,
    isDocumentKnown: () => isDocumentKnown,
    contacts: opts.contacts,
    maxFailedDisks: opts.maxFailedDisks,
    dataFolder: opts.dataFolder,
    ownsProcess: opts.ownsProcess,
    getPeerLink,
    known: handoutFiles.readHandoutDocument(opts.dataFolder, log),
    keepDocument: async version => await keepDocument(version),
    keepTimeoutMs: opts.keepTimeoutMs,
    onChange: () => { onDocumentChange() },
    onEvacuations: () => { onEvacuations() },
    log,
    invariants: opts.invariants
  }).catch(async err => {
    await server.close()
    throw new Error(`replica of the document cannot be started: ${err instanceof Error ? err.message : String(err)}`, { cause: err })
  })

  const version = (): number => store.latest()?.version ?? 0
  let lastReport = ''

  /** Logs what the ticks of this instance report when it changed since the last one. */
  const logReport = (isCurrent: boolean): void => {
    const report = `${isCurrent} ${version()}`
    if (report === lastReport) return
    lastReport = report
    const status = store.status()
    log.event('documentCurrency', { isCurrent, version: version(), role: status?.role, term: status?.term, leader: status?.leader, commit: status?.commit, leaderCommit: status?.leaderCommit, lastIndex: status?.lastIndex })
  }

  const isCurrent = (): boolean => {
    const result = !isStopping && store.isCurrent()
    logReport(result)
    return result
  }

  const publisher = discovery.createPublisher({
    self: opts.inner,
    table,
    peerAddresses: () => store.peerAddresses(),
    getPeerLink,
    version,
    packDocumentSince: store.packSince,
    evacuations: store.evacuationReport,
    budget: discovery.createSendBudget(opts.linkBytesPerMs),
    isCurrent,
    onChange () {
      recordFile.save()
      handoutFile.save()
    },
    log,
    refusals
  })

  const handoutFile = handoutFiles.createHandoutFile(opts.dataFolder, () => store.latest() === null ? undefined : publisher.toFullReply(), log)
  keepDocument = documentKeepings.createKeepDocument({ version, file: handoutFile, timeoutMs: opts.keepTimeoutMs ?? documentKeepings.KEEP_TIMEOUT_MS })

  onDocumentChange = () => {
    log.event('documentAccepted', { version: version() })
    publisher.publishDocument()
    handoutFile.save()
  }

  onEvacuations = () => {
    const { revision, zones } = store.evacuations()
    log.event('evacuationsAccepted', { revision, zones: zones.join(' ') })
    publisher.publishEvacuations()
    handoutFile.save()
  }

  starting.complete({ store, publisher })
  const timer = setInterval(() => { publisher.tick() }, discovery.TICK_INTERVAL_MS)
  publisher.tick()

  return {
    store,
    table,
    announce: publisher.announce,
    subscriberCount: publisher.subscriberCount,
    lateCount: publisher.lateCount,
    refusals,
    async stop () {
      isStopping = true
      clearInterval(timer)
      await store.stop().catch(err => { log.event('uncaught', { step: 'stop', detail: String(err) }) })
      await recordFile.close()
      await handoutFile.close()
      peerLinks.close()
      await server.close()
    }
  }
}

/** Holds the parts of an instance while it starts. */
function createPendingParts (): { complete: (parts: Parts) => void, get: () => Promise<Parts>, peek: () => Parts | undefined } {
  let complete: (parts: Parts) => void = () => {}
  let known: Parts | undefined
  const completed = new Promise<Parts>(resolve => { complete = resolve })
  return {
    complete (parts) {
      known = parts
      complete(parts)
    },
    get: async () => known ?? await completed,
    peek: () => known
  }
}
