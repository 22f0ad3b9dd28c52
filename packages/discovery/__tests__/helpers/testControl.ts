/** Control and entry instances with discovery only, over loopback. */
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
  /** Returns the bytes sent. */
  sentBytes: () => number
  /** Returns the number of fetch calls received. */
  fetchCount: () => number
  /** Returns the number of subscribe calls received. */
  subscribeCount: () => number
  /** Returns the number of open links. */
  openLinkCount: () => number
  put: (document: contracts.VersionedText) => void
  tick: () => void
  close: () => Promise<void>
}

/** Behaviour of a control instance under test. */
export interface ControlOptions {
  /** Never answers fetch calls. */
  isUnresponsiveToFetch?: boolean
  /** Announces new documents; true by default. */
  isAnnouncing?: boolean
  /** Reports contact with a quorum; true by default. */
  isCurrent?: boolean
  /** Ticks periodically, at four times the normal rate. */
  isTicking?: boolean
  /** Returns the address under which entry instances reach it; its own by default. */
  advertisedAddress?: () => string
  /** Addresses of the control instances; its own one is left out. */
  peerAddresses?: string[]
  /** Version to report, regardless of the document. */
  reportedVersion?: number
  /** Evacuated zones that it reports; none by default. */
  evacuations?: discovery.EvacuationReport
  /** Capacity of its link, bytes per millisecond; unlimited by default. */
  bytesPerMs?: number
}

/** Starts a control instance that sends deltas from all versions that were put, and full documents otherwise. */
export async function startControl (opts: ControlOptions = {}): Promise<TestControl> {
  const versions: contracts.VersionedText[] = []
  const open: links.Link[] = []
  let sentBytes = 0
  let fetchCount = 0
  let subscribeCount = 0
  let startedServer: links.LinkServer | undefined
  const port = (): number => startedServer?.port ?? 0
  const packSince = (version: number): contracts.PackedText | null => {
    const latest = versions.at(-1)
    if (latest === undefined || (latest.version <= version && opts.reportedVersion === undefined)) return null
    const base = versions.find(item => item.version === version)
    return base === undefined ? contracts.packFull(latest) : contracts.packDelta(base, latest)
  }
  const publisher = discovery.createPublisher({
    get self () { return opts.advertisedAddress?.() ?? `127.0.0.1:${port()}` },
    table: discovery.createRecordTable(),
    peerAddresses: () => (opts.peerAddresses ?? []).filter(address => address !== `127.0.0.1:${port()}`),
    getPeerLink: async () => { throw new Error('there are no other control instances') },
    version: () => opts.reportedVersion ?? versions.at(-1)?.version ?? 0,
    packDocumentSince: packSince,
    evacuations: () => opts.evacuations ?? discovery.NO_EVACUATIONS,
    budget: discovery.createSendBudget(() => opts.bytesPerMs ?? Infinity),
    isCurrent: () => opts.isCurrent !== false,
    log
  })
  const timer = opts.isTicking === true ? setInterval(() => { publisher.tick() }, discovery.TICK_INTERVAL_MS / 4) : undefined
  const handlers: links.LinkHandlers = {
    onEvent (body) { publisher.onEvent(discovery.discoveryEvent.parse(body)) },
    async onCall (body, link) {
      const call = discovery.discoveryCall.parse(body)
      if (call.t === 'fetch') fetchCount++
      if (call.t === 'subscribe') subscribeCount++
      if (call.t === 'fetch' && opts.isUnresponsiveToFetch === true) return await new Promise(() => {})
      return await publisher.onCall(call, link)
    }
  }
  const cfg: links.LinkSettings = { identity: { role: 'control', id: 'control' }, secret: SECRET, log, handlers, countBytes: (direction, size) => { if (direction === 'out') sentBytes += size } }
  const server = startedServer = await links.listen('127.0.0.1:0', cfg, link => { open.push(link) })
  return {
    address: `127.0.0.1:${server.port}`,
    sentBytes: () => sentBytes,
    fetchCount: () => fetchCount,
    subscribeCount: () => subscribeCount,
    openLinkCount: () => open.filter(link => link.isOpen()).length,
    put (document) {
      versions.push(document)
      if (opts.isAnnouncing !== false) publisher.publishDocument()
    },
    tick: publisher.tick,
    async close () {
      clearInterval(timer)
      for (const link of open) link.close()
      await server.close()
    }
  }
}

/** An entry instance under test. */
export interface TestEntry { documents: contracts.VersionedText[], evacuatedZones: () => string[], areEvacuationsKnown: () => boolean, seeds: string[], subscriptionCount: () => number, quorumSince: () => number, confirmDocument: () => Promise<boolean>, stop: () => void }

/** Starts an entry instance that subscribes. With a constant clock, no control instance becomes unresponsive. */
export function startEntry (id: string, seeds: string[], now?: () => number, fetchHandout?: discovery.SubscriberOptions['fetchHandout'], dialTimeoutMs?: number, random?: () => number): TestEntry {
  const documents: contracts.VersionedText[] = []
  let evacuatedZones: string[] = []
  const handlers: links.LinkHandlers = {
    onEvent (body, link) { subscriber.onEvent(discovery.discoveryEvent.parse(body), link) },
    async onCall () { throw new Error('unexpected call to an entry instance') }
  }
  const subscriber = discovery.createSubscriber({
    id,
    seeds: () => seeds,
    table: discovery.createRecordTable(),
    dial: async address => await links.dial(address, { identity: { role: 'router', id }, secret: SECRET, log, handlers }, dialTimeoutMs),
    self: () => ({ kind: 'entry', id, startedAt: 1, seq: 1, zone: 'z', region: 'r', front: '127.0.0.1:1', inner: '127.0.0.1:2', state: 'ready' }),
    onDocument: document => { documents.push(document) },
    onEvacuations (assumed) { evacuatedZones = assumed.zones },
    onRecords: () => {},
    log,
    now,
    random,
    fetchHandout
  })
  subscriber.start()
  return { documents, evacuatedZones: () => evacuatedZones, areEvacuationsKnown: subscriber.areEvacuationsKnown, seeds, subscriptionCount: subscriber.subscriptionCount, quorumSince: subscriber.quorumSince, confirmDocument: subscriber.confirmDocument, stop: subscriber.stop }
}

/** Waits until a condition holds. */
export async function until (description: string, isTrue: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = performance.now() + WAIT_MS
  while (!await isTrue()) {
    if (performance.now() > deadline) throw new Error(`timed out after ${WAIT_MS} ms waiting until ${description}`)
    await timers.setTimeout(10)
  }
}

const STEP_MS = 10

/** Waits for a time in short steps, between which all instances go on: a stall of the machine passes for one step. */
export async function sleepInSteps (ms: number): Promise<void> {
  for (let left = ms; left > 0; left -= STEP_MS) await timers.setTimeout(STEP_MS)
}
