/** Entry instances in this process that learn from a control instance that does as a test says. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as entryInstances from '../../src/entryInstance.js'
import type * as routeTables from '../../src/routeTable.js'
import * as helper from './testEntry.js'

const log = telemetry.createLog({ instance: 'test', level: 'silent' })
const SECRET = 'test-secret-of-16'
const WAIT_MS = 10_000
const TICK_MS = 250

/** A control instance of a test. */
export interface TestControl {
  inner: string
  /** Holds and announces a document. */
  put: (document: contracts.VersionedText) => void
  /** From now on the document is asked for in vain, until {@link TestControl.release}. */
  withhold: () => void
  /** Answers those who asked meanwhile. */
  release: () => void
  /** Takes an endpoint's announcement. */
  announce: (endpoint: helper.TestEndpoint) => Promise<void>
  /** Ends all its links and takes no more. */
  close: () => Promise<void>
}

/** Control instances that tell each other of entry instances, and not of documents. */
export type ControlGroup = Set<discovery.Publisher>

/** Starts a control instance. */
export async function startControl (group: ControlGroup = new Set()): Promise<TestControl> {
  const inner = await freeAddress()
  let held: contracts.VersionedText | undefined
  let isWithholding = false
  const waiting: Array<() => void> = []
  const publisher = discovery.createPublisher({
    self: inner,
    table: discovery.createRecordTable(),
    peerAddresses: () => [],
    getPeerLink: async () => { throw new Error('there are no others') },
    version: () => held?.version ?? 0,
    packDocumentSince: version => held === undefined || held.version <= version ? null : contracts.packFull(held),
    isCurrent: () => true,
    log
  })
  group.add(publisher)
  const spread = (list: discovery.Record[]): void => {
    for (const other of group) if (other !== publisher) void other.onCall({ t: 'records', list }, undefined as unknown as links.Link)
  }
  const handlers: links.LinkHandlers = {
    onEvent (body) {
      const event = discovery.discoveryEvent.parse(body)
      publisher.onEvent(event)
      if (event.t === 'news') spread(event.list)
      if (event.t === 'tick') for (const other of group) other.onEvent({ t: 'signs', signs: event.signs })
    },
    async onCall (body, link) {
      const call = discovery.discoveryCall.parse(body)
      if (call.t === 'subscribe') spread([call.self])
      if (call.t === 'fetch' && isWithholding) await new Promise<void>(resolve => { waiting.push(resolve) })
      const reply = await publisher.onCall(call, link)
      return isWithholding ? { ...reply, document: null } : reply
    }
  }
  const server = await links.listen(inner, { identity: { role: 'control', id: inner }, secret: SECRET, log, handlers }, () => {})
  const timer = setInterval(() => { publisher.tick() }, TICK_MS)
  return {
    inner,
    put (document) {
      held = document
      publisher.publishDocument()
    },
    withhold () { isWithholding = true },
    release () {
      isWithholding = false
      for (const answer of waiting.splice(0)) answer()
    },
    announce: async ({ id, address }) => { await publisher.announce({ kind: 'endpoint', id, startedAt: 1, seq: 1, zone: 'z', state: 'ready', service: 'svc', address, slots: 8, coldMs: 0 }) },
    async close () {
      clearInterval(timer)
      await server.close()
    }
  }
}

/** A document whose routes have these path prefixes. */
export function toDocument (version: number, prefixes: string[]): contracts.VersionedText {
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 1000, idleTimeoutMs: 5000 }
  const table: routeTables.RouteTable = { version, routes: prefixes.map(pathPrefix => helper.toRoute({ name: pathPrefix, pathPrefix })), services: [{ name: 'svc', maxConnections: 100, canFetch: false }], accounts: null, limits }
  return contracts.toVersionedText(version, Buffer.from(JSON.stringify(table)))
}

/** An entry instance of a test. */
export interface TestInstance {
  /** Sends a request. @returns its status, and when to come back */
  ask: (path: string) => Promise<{ status: number, retryAfter: string | undefined }>
  stop: () => Promise<void>
}

/** Starts an entry instance and waits until it has a document. */
export async function startInstance (id: string, seeds: string[]): Promise<TestInstance> {
  const front = await freeAddress()
  const instance = await entryInstances.startEntryInstance({
    id,
    startedAt: 1,
    zone: 'z',
    region: 'r',
    front,
    inner: await freeAddress(),
    seeds: () => seeds,
    secret: SECRET,
    usesHandouts: false,
    names: helper.NAMES,
    readDocument: text => JSON.parse(text.toString()) as routeTables.RouteTable,
    retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 100 },
    announceIntervalMs: 1000,
    graceMs: 100,
    log,
    droppedLines: () => 0
  })
  await until(`${id} is ready`, instance.isReady)
  const [host, port] = front.split(':')
  return {
    stop: instance.stop,
    ask: async path => await new Promise((resolve, reject) => {
      http.get({ host, port, agent: false, path, headers: { host: 'test.example', 'x-attempt': 't1', 'x-deadline-ms': '2000' } }, res => {
        res.resume()
        res.on('end', () => { resolve({ status: res.statusCode ?? 0, retryAfter: res.headers['retry-after'] }) })
      }).on('error', reject)
    })
  }
}

/** Waits until something holds. */
export async function until (what: string, holds: () => boolean | Promise<boolean>): Promise<void> {
  const end = performance.now() + WAIT_MS
  while (!await holds()) {
    if (performance.now() > end) throw new Error(`waited in vain until ${what}`)
    await timers.setTimeout(20)
  }
}

async function freeAddress (): Promise<string> {
  const server = net.createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  await new Promise(resolve => { server.close(resolve) })
  return `127.0.0.1:${port}`
}
