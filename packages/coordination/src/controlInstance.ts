/**
 * A control instance: a replica of the document, the records of all endpoints and entry instances, and the links over which
 * both reach the others.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as documentStores from './documentStore.js'
import * as handoutFiles from './handoutFile.js'
import * as recordFiles from './recordFile.js'

/** What a control instance is built from. */
export interface ControlInstanceOptions {
  /** IP number and port for the other instances; also the name of this one. */
  inner: string
  /** Inner addresses of the instances that found the group. */
  founders: readonly string[]
  /** Whether the group may be founded: only at the very first start of the whole fleet. */
  mayFound: boolean
  /** Inner addresses of control instances as the settings name them now. */
  contacts: () => readonly string[]
  /** How many disks may be lost at once. */
  maxFailedDisks: number
  dataFolder: string
  /** What all instances of the fleet must know. */
  secret: string
  /** What this machine's link carries, bytes a millisecond; absent where that is not known. */
  linkBytesPerMs?: number
  log: telemetry.Log
  invariants: telemetry.Invariants
}

/** A running control instance. */
export interface ControlInstance {
  store: documentStores.DocumentStore
  table: discovery.RecordTable
  /** Takes an announcement; resolves when the change is on its way to all instances. */
  announce: (record: discovery.Record) => Promise<void>
  stop: () => Promise<void>
}

const DIAL_MS = 1000

/**
 * Starts a control instance.
 * @param opts its addresses, disk and fleet
 * @returns the instance, which may not be part of the group yet
 */
export async function startControlInstance (opts: ControlInstanceOptions): Promise<ControlInstance> {
  const { log } = opts
  const table = discovery.createRecordTable()
  let isStopping = false
  let onDocument = (): void => {}

  const handlers: links.LinkHandlers = {
    onEvent (body) {
      const event = discovery.discoveryEvent.safeParse(body)
      if (event.success) publisher.onEvent(event.data)
    },
    async onCall (body, link) {
      const call = (body as { t?: unknown })?.t
      if (call === 'replica' || call === 'put' || call === 'read') return await store.onCall(documentStores.documentCall.parse(body))
      return await publisher.onCall(discovery.discoveryCall.parse(body), link)
    }
  }
  const linkSettings: links.LinkSettings = { identity: { role: 'control', id: opts.inner }, secret: opts.secret, log, handlers }
  const book = links.createPeerLinks(linkSettings)
  const reach = links.createPeerDialer(book, { dialTimeoutMs: DIAL_MS, backoffMs: contracts.HEARTBEAT_INTERVAL_MS }).get

  const store = await documentStores.startDocumentStore({
    self: opts.inner,
    founders: opts.founders,
    mayFound: opts.mayFound,
    contacts: opts.contacts,
    maxFailedDisks: opts.maxFailedDisks,
    dataFolder: opts.dataFolder,
    getPeerLink: reach,
    onChange: () => { onDocument() },
    log,
    invariants: opts.invariants
  })

  const recordFile = recordFiles.createRecordFile(opts.dataFolder, () => table.all(), log)
  for (const record of await recordFile.load()) table.merge(record, performance.now())

  const publisher = discovery.createPublisher({
    self: opts.inner,
    table,
    peerAddresses: () => store.peerAddresses(),
    getPeerLink: reach,
    version: () => store.latest()?.version ?? 0,
    packDocumentSince: store.packSince,
    budget: discovery.createSendBudget(opts.linkBytesPerMs ?? Infinity),
    isCurrent: () => !isStopping && store.isCurrent(),
    onChange () {
      recordFile.save()
      handoutFile.save()
    },
    log
  })

  const handoutFile = handoutFiles.createHandoutFile(opts.dataFolder, () => store.latest() === null ? undefined : publisher.toFullReply(), log)

  onDocument = () => {
    log.event('documentAccepted', { version: store.latest()?.version })
    publisher.publishDocument()
    handoutFile.save()
  }

  const server = await links.listen(opts.inner, linkSettings, link => {
    if (link.peer.role === 'control') book.add(link)
  })
  const timer = setInterval(() => { publisher.tick() }, discovery.TICK_INTERVAL_MS)
  publisher.tick()

  return {
    store,
    table,
    announce: async record => { await publisher.announce(record) },
    async stop () {
      isStopping = true
      clearInterval(timer)
      await store.stop().catch(err => { log.event('uncaught', { step: 'stop', detail: String(err) }) })
      await recordFile.close()
      await handoutFile.close()
      book.close()
      await server.close()
    }
  }
}
