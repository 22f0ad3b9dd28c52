/** Control and entry instances of discovery alone, over loopback. */
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as discovery from '../../src/index.js'

const log = telemetry.createLog({ instance: 'test', level: 'silent' })
const SECRET = 'test-secret-of-16'
const WAIT_MS = 10_000

/** A control instance under test. */
export interface TestControl {
  address: string
  /** Bytes that it sent. */
  sentBytes: () => number
  /** Times that the document was asked for. */
  fetchCount: () => number
  /** Times that somebody subscribed. */
  subscribeCount: () => number
  /** Links of entry instances that are open. */
  openLinkCount: () => number
  put: (document: contracts.VersionedText) => void
  tick: () => void
  close: () => Promise<void>
}

/** How a control instance under test behaves. */
export interface ControlOptions {
  /** Never answers when its document is asked for. */
  isUnresponsiveToFetch?: boolean
  /** Announces new documents; by default it does. */
  isAnnouncing?: boolean
  /** Says that it heard from a quorum; by default it does. */
  isCurrent?: boolean
  /** Ticks by itself, four times as often as it should. */
  isTicking?: boolean
  /** Addresses of the other control instances. */
  peerAddresses?: string[]
  /** The version it says it holds, whatever it holds. */
  reportedVersion?: number
  /** What its link carries, bytes a millisecond; by default all that is asked for. */
  bytesPerMs?: number
}

/** Starts a control instance that hands out differences from the version before, and the whole to everyone else. */
export async function startControl (opts: ControlOptions = {}): Promise<TestControl> {
  const texts: contracts.VersionedText[] = []
  const open: links.Link[] = []
  let bytes = 0
  let fetches = 0
  let subscriptions = 0
  let listening: links.LinkServer | undefined
  const port = (): number => listening?.port ?? 0
  const since = (version: number): contracts.PackedText | null => {
    const latest = texts.at(-1)
    if (latest === undefined || (latest.version <= version && opts.reportedVersion === undefined)) return null
    const from = texts.find(item => item.version === version)
    return from === undefined ? contracts.packFull(latest) : contracts.packDelta(from, latest)
  }
  const publisher = discovery.createPublisher({
    get self () { return `127.0.0.1:${port()}` },
    table: discovery.createRecordTable(),
    peerAddresses: () => opts.peerAddresses ?? [],
    getPeerLink: async () => { throw new Error('there are no others') },
    version: () => opts.reportedVersion ?? texts.at(-1)?.version ?? 0,
    packDocumentSince: since,
    budget: discovery.createSendBudget(opts.bytesPerMs ?? Infinity),
    isCurrent: () => opts.isCurrent !== false,
    log
  })
  const ticking = opts.isTicking === true ? setInterval(() => { publisher.tick() }, discovery.TICK_INTERVAL_MS / 4) : undefined
  const handlers: links.LinkHandlers = {
    onEvent (body) { publisher.onEvent(discovery.discoveryEvent.parse(body)) },
    async onCall (body, link) {
      const call = discovery.discoveryCall.parse(body)
      if (call.t === 'fetch') fetches++
      if (call.t === 'subscribe') subscriptions++
      if (call.t === 'fetch' && opts.isUnresponsiveToFetch === true) return await new Promise(() => {})
      return await publisher.onCall(call, link)
    }
  }
  const cfg: links.LinkSettings = { identity: { role: 'control', id: 'control' }, secret: SECRET, log, handlers, countBytes: (direction, size) => { if (direction === 'out') bytes += size } }
  const server = listening = await links.listen('127.0.0.1:0', cfg, link => { open.push(link) })
  return {
    address: `127.0.0.1:${server.port}`,
    sentBytes: () => bytes,
    fetchCount: () => fetches,
    subscribeCount: () => subscriptions,
    openLinkCount: () => open.filter(link => link.isOpen()).length,
    put (document) {
      texts.push(document)
      if (opts.isAnnouncing !== false) publisher.publishDocument()
    },
    tick: publisher.tick,
    async close () {
      clearInterval(ticking)
      for (const link of open) link.close()
      await server.close()
    }
  }
}

/** An entry instance under test. */
export interface TestEntry { documents: contracts.VersionedText[], seeds: string[], subscriptionCount: () => number, quorumSince: () => number, stop: () => void }

/** Starts an entry instance that subscribes; with a clock that stands still no control instance falls silent. */
export function startEntry (id: string, seeds: string[], now?: () => number, handout?: (address: string) => Promise<Uint8Array>): TestEntry {
  const documents: contracts.VersionedText[] = []
  const handlers: links.LinkHandlers = {
    onEvent (body, link) { subscriber.onEvent(discovery.discoveryEvent.parse(body), link) },
    async onCall () { throw new Error('no calls') }
  }
  const subscriber = discovery.startSubscriber({
    seeds: () => seeds,
    table: discovery.createRecordTable(),
    dial: async address => await links.dial(address, { identity: { role: 'router', id }, secret: SECRET, log, handlers }),
    self: () => ({ kind: 'entry', id, startedAt: 1, seq: 1, zone: 'z', region: 'r', front: '127.0.0.1:1', inner: '127.0.0.1:2', state: 'ready' }),
    onDocument: document => { documents.push(document) },
    onRecords: () => {},
    log,
    now,
    fetchHandout: handout
  })
  return { documents, seeds, subscriptionCount: subscriber.subscriptionCount, quorumSince: subscriber.quorumSince, stop: subscriber.stop }
}

/** Waits until something holds. */
export async function until (what: string, holds: () => boolean): Promise<void> {
  const end = performance.now() + WAIT_MS
  while (!holds()) {
    if (performance.now() > end) throw new Error(`waited in vain until ${what}`)
    await timers.setTimeout(10)
  }
}
