/** In-process entry instances with control instances that a test controls. */
import * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as entryInstances from '../../src/instance/entryInstance.js'
import type * as entryOptions from '../../src/instance/entryOptions.js'
import type * as routeTables from '../../src/admission/routeTable.js'
import * as loopbackHosts from './loopbackHost.js'
import * as helper from './testEntry.js'

const log = telemetry.createLog({ instance: 'test', level: 'silent' })
export const SECRET = 'test-secret-of-16'
const WAIT_MS = 10_000
const TICK_MS = 250
let nextPort = 20_000

export interface TestControl {
  inner: string
  /** Stores and announces a document. */
  put: (document: contracts.VersionedText) => void
  /** Blocks replies with the document until {@link TestControl.unblockDocuments}. */
  blockDocuments: () => void
  /** Sends the blocked replies. */
  unblockDocuments: () => void
  /** Publishes an endpoint record. */
  announce: (endpoint: helper.TestEndpoint) => Promise<void>
  /** Closes all links and stops listening. */
  close: () => Promise<void>
}

/** Control instances that exchange records of entry instances, but no documents. */
export type ControlGroup = Set<discovery.Publisher>

export async function startControl (group: ControlGroup = new Set()): Promise<TestControl> {
  const inner = freeAddress()
  let stored: contracts.VersionedText | undefined
  let isBlocking = false
  const blocked: Array<() => void> = []
  const publisher = discovery.createPublisher({
    self: inner,
    table: discovery.createRecordTable(),
    peerAddresses: () => [],
    getPeerLink: async () => { throw new Error('no other control instances') },
    version: () => stored?.version ?? 0,
    packDocumentSince: version => stored === undefined || stored.version <= version ? null : contracts.packFull(stored),
    isCurrent: () => true,
    log
  })
  group.add(publisher)
  const broadcast = (list: discovery.Record[]): void => {
    for (const other of group) if (other !== publisher) void other.onCall({ t: 'records', list }, undefined as unknown as links.Link)
  }
  const handlers: links.LinkHandlers = {
    onEvent (body) {
      const event = discovery.discoveryEvent.parse(body)
      publisher.onEvent(event)
      if (event.t === 'news') broadcast(event.list as discovery.Record[])
      if (event.t === 'tick') for (const other of group) other.onEvent({ t: 'signs', signs: event.signs })
    },
    async onCall (body, link) {
      const call = discovery.discoveryCall.parse(body)
      if (call.t === 'subscribe') broadcast([call.self as discovery.Record])
      if (call.t === 'fetch' && isBlocking) await new Promise<void>(resolve => { blocked.push(resolve) })
      const reply = await publisher.onCall(call, link)
      return isBlocking ? { ...reply, document: null } : reply
    }
  }
  const server = await links.listen(inner, { identity: { role: 'control', id: inner }, secret: SECRET, log, handlers }, () => {})
  const timer = setInterval(() => { publisher.tick() }, TICK_MS)
  return {
    inner,
    put (document) {
      stored = document
      publisher.publishDocument()
    },
    blockDocuments () { isBlocking = true },
    unblockDocuments () {
      isBlocking = false
      for (const resume of blocked.splice(0)) resume()
    },
    announce: async ({ id, address }) => { await publisher.announce({ kind: 'endpoint', id, startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 'svc', address, slots: 8, coldMs: 0 }) },
    async close () {
      clearInterval(timer)
      await server.close()
    }
  }
}

/** Returns a document with one route for each path prefix. */
export function toDocument (version: number, prefixes: string[], change: Partial<routeTables.Route> = {}): contracts.VersionedText {
  return toDocumentOf(version, prefixes.map(pathPrefix => helper.toRoute({ name: pathPrefix, pathPrefix, ...change })))
}

/** Returns a document with the given routes. */
export function toDocumentOf (version: number, routes: routeTables.Route[]): contracts.VersionedText {
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 1000, idleTimeoutMs: 5000 }
  const table: routeTables.RouteTable = { version, routes, services: [{ name: 'svc', maxConnections: 100, canFetch: false, coldPerSecond: 0, coldStartMs: 0 }], accounts: null, limits }
  return contracts.toVersionedText(version, Buffer.from(JSON.stringify(table)))
}

export interface TestInstance {
  /** Sends a request. @returns its status, Retry-After and body */
  send: (path: string, method?: string, /** Disconnects once this resolves. */ disconnect?: Promise<unknown>) => Promise<{ status: number, retryAfter: string | undefined, body: string }>
  /** Returns the addresses for a client of the zone of all instances. */
  addresses: () => string[]
  front: string
  stop: () => Promise<void>
}

/** Starts an entry instance and waits until it is ready. */
export async function startInstance (id: string, seeds: string[], opts: Partial<entryOptions.EntryInstanceOptions> = {}): Promise<TestInstance> {
  const front = freeAddress()
  const instance = await entryInstances.startEntryInstance({
    id,
    startedAt: 1,
    zone: 'z',
    region: 'r',
    regionOf: () => 'r',
    front,
    inner: freeAddress(),
    seeds: () => seeds,
    secret: SECRET,
    usesHandouts: false,
    names: helper.NAMES,
    readDocument: text => JSON.parse(text.toString()) as routeTables.RouteTable,
    retryBudget: () => ({ ratio: 0.2, windowMs: 10_000, slack: 100 }),
    announceIntervalMs: () => 1000,
    graceMs: () => 100,
    log,
    droppedLines: () => 0,
    ...opts
  })
  await until(`${id} is ready`, instance.isReady)
  const [host, port] = front.split(':')
  let attempts = 0
  return {
    front,
    stop: instance.stop,
    addresses: () => instance.addresses({ zone: 'z', region: 'r' }),
    send: async (path, method = 'GET', disconnect) => await new Promise((resolve, reject) => {
      const req = http.request({ host, port, agent: false, method, path, headers: { host: 'test.example', 'x-attempt': `${id}-${++attempts}`, 'x-deadline-ms': '2000' } }, res => {
        let body = ''
        res.on('data', chunk => { body += String(chunk) })
        res.on('end', () => { resolve({ status: res.statusCode ?? 0, retryAfter: res.headers['retry-after'], body }) })
        res.on('error', reject)
      })
      req.on('error', reject)
      req.end()
      disconnect?.then(() => { req.destroy(new Error('the client left')) }, reject)
    })
  }
}

/** Polls until a condition is true. */
export async function until (what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
  const end = performance.now() + WAIT_MS
  while (!await condition()) {
    if (performance.now() > end) throw new Error(`timed out after ${WAIT_MS} ms waiting until ${what}`)
    await timers.setTimeout(20)
  }
}

/** Returns an address that nothing else uses. */
export function freeAddress (): string {
  return `${loopbackHosts.SHARED_HOST}:${nextPort++}`
}
