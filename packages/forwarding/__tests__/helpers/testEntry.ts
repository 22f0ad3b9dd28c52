/** In-process entry server with endpoints whose behaviour a test defines. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as brittleLimiters from '../../src/placement/brittleLimiter.js'
import * as coldLimiters from '../../src/placement/coldLimiter.js'
import * as crashQuarantines from '../../src/quarantine/crashQuarantine.js'
import * as documentWaiters from '../../src/admission/documentWaiters.js'
import * as endpointDialers from '../../src/paths/endpointDialer.js'
import * as endpointPools from '../../src/endpoints/endpointPool.js'
import * as entryContexts from '../../src/instance/entryContext.js'
import * as entryMetrics from '../../src/instance/entryMetrics.js'
import * as entryServers from '../../src/instance/entryServer.js'
import * as readPacers from '../../src/attempts/readPacer.js'
import type * as headerNames from '../../src/attempts/headerNames.js'
import * as outlierDetectors from '../../src/placement/outlierDetector.js'
import * as retryBudgets from '../../src/attempts/retryBudget.js'
import * as routeDurations from '../../src/admission/routeDurations.js'
import * as loopLags from '../../src/instance/loopLag.js'
import * as loopbackHosts from './loopbackHost.js'
import * as routeTables from '../../src/admission/routeTable.js'
import * as trialPermits from '../../src/quarantine/trialPermits.js'

/** Header names of the tests. */
export const NAMES: headerNames.HeaderNames = {
  attemptId: 'x-attempt',
  deadlineMs: 'x-deadline-ms',
  expectEndpoint: 'x-expect',
  account: 'x-account',
  key: 'x-key',
  seal: 'x-seal',
  notRun: 'x-not-run',
  brittle: 'x-brittle',
  promptParts: 'x-parts',
  model: 'x-model',
  fetchFrom: 'x-fetch-from',
  lastEventId: 'last-event-id',
  reserved: ['x-reserved']
}

/** An endpoint of a test. */
export interface TestEndpoint {
  id: string
  address: string
  /** Received requests, oldest first. */
  requests: Array<{ method: string, url: string, headers: http.IncomingHttpHeaders, body: string, isClosed: () => boolean }>
  connections: () => number
  /** Stops accepting connections; open ones are kept. */
  stopListening: () => void
  /** Resets all connections and keeps accepting new ones. */
  disconnect: () => void
  close: () => void
}

/** Request handler of a test endpoint, called after the body was read. */
export type Behaviour = (req: http.IncomingMessage, res: http.ServerResponse, count: number) => void

/** Sends a valid response. */
export const healthy: Behaviour = (req, res) => {
  res.writeHead(200, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': 's', 'content-length': 2 })
  res.end('ok')
}

/** Sends valid response headers of an event stream. */
export function beginStream (req: http.IncomingMessage, res: http.ServerResponse): void {
  res.writeHead(200, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': 's', 'content-type': 'text/event-stream' })
}

export async function startEndpoint (id: string, behave: Behaviour): Promise<TestEndpoint> {
  const requests: TestEndpoint['requests'] = []
  const sockets = new Set<net.Socket>()
  const server = http.createServer((req, res) => {
    let body = ''
    req.on('data', chunk => { body += String(chunk) })
    req.on('end', () => {
      // A request of another test, to an endpoint that had this port before.
      if (req.headers['x-attempt'] === undefined) {
        res.writeHead(421).end()
        return
      }
      let isClosed = false
      res.on('close', () => { isClosed = !res.writableFinished })
      requests.push({ method: req.method ?? '', url: req.url ?? '', headers: req.headers, body, isClosed: () => isClosed })
      behave(req, res, requests.length)
    })
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  const host = loopbackHosts.nextHost()
  await new Promise<void>(resolve => { server.listen(0, host, resolve) })
  const address = `${host}:${(server.address() as net.AddressInfo).port}`
  return {
    id,
    address,
    requests,
    connections: () => sockets.size,
    stopListening () { server.close() },
    disconnect () { for (const socket of sockets) socket.resetAndDestroy() },
    close () {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

/** Returns a route with default settings and the given changes. */
export function toRoute (change: Partial<routeTables.Route> = {}): routeTables.Route {
  return {
    name: 'r',
    host: 'test.example',
    pathPrefix: '/a/',
    kind: 'idempotent',
    isResumable: false,
    timeoutMs: 3000,
    targetMs: 200,
    rank: 0,
    split: [{ service: 'svc', weight: 1 }],
    maxAttempts: 2,
    isKeyless: false,
    hasPrompt: false,
    regions: null,
    ...change
  }
}

export interface TestEntry {
  address: string
  pool: endpointPools.EndpointPool
  quarantine: crashQuarantines.CrashQuarantine
  outliers: outlierDetectors.OutlierDetector
  server: entryServers.EntryServer
  metrics: entryMetrics.EntryMetrics
  ctx: entryContexts.EntryContext
  /** Log events. */
  lines: Array<{ event: string } & { [field: string]: unknown }>
  announce: (endpoint: TestEndpoint, change?: Partial<discovery.EndpointRecord>) => void
  /** Sends a request over a new connection. */
  send: (opts?: { method?: string, path?: string, headers?: http.OutgoingHttpHeaders, body?: string, /** Disconnects after this time. */ disconnectAfterMs?: number, /** Disconnects once this resolves. */ disconnect?: Promise<unknown> }) => Promise<TestResponse>
  /** Publishes the document, if the entry started without one. */
  publishDocument: () => void
  /** Starts draining, with or without accepting further requests. */
  drain: (isAccepting: boolean) => void
  close: () => void
}

/** A response as received by the client. */
export interface TestResponse { status: number, headers: http.IncomingHttpHeaders, body: string, /** Whether the body is complete. */ isComplete: boolean }

export async function startEntry (routes: routeTables.Route[], endpoints: TestEndpoint[], opts: { accounts?: routeTables.ClientAccountInput[], retrySlack?: number, limits?: Partial<routeTables.ClientLimits>, /** Ids of all entry instances, this one is 'self'. */ instanceIds?: string[], service?: Partial<routeTables.ServiceInput>, regionByZone?: { [zone: string]: string }, /** Opens connections to endpoints; direct ones by default. */ connect?: endpointDialers.Connect, /** Bytes that may be held for requests and responses. */ heldLimit?: number, /** Whether the entry has no document until {@link TestEntry.publishDocument}. */ startsWithoutDocument?: boolean } = {}): Promise<TestEntry> {
  const lines: TestEntry['lines'] = []
  const log = telemetry.createLog({ instance: 'test', json: true, write: line => { lines.push(JSON.parse(line)) } })
  const table = discovery.createRecordTable()
  const now = (): number => performance.now()
  const loopLag = loopLags.startLoopLag(now)
  const quarantine = crashQuarantines.createCrashQuarantine({ log, lagMs: loopLag.lagMs })
  const pool = endpointPools.createEndpointPool({ table, lastQuorumAt: now, quorumSince: () => -Infinity, unresponsiveMs: () => 60_000, dial: async endpoint => await endpointDialers.dial(opts.connect ?? endpointDialers.connectDirectly, endpoint.record.address), onRestart: endpoint => { quarantine.confirmDown(endpointPools.toIncarnation(endpoint), now(), 'restarted') }, log })
  const outliers = outlierDetectors.createOutlierDetector()
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 1000, idleTimeoutMs: 5000, ...opts.limits }
  const document = routeTables.compileTable({ version: 1, routes, services: [routeTables.service.parse({ name: 'svc', maxConnections: 100, canFetch: true, ...opts.service })], accounts: opts.accounts?.map(item => routeTables.clientAccount.parse(item)) ?? null, limits })
  let isDraining = false
  let isAccepting = true
  let hasDocument = opts.startsWithoutDocument !== true
  const waiters = documentWaiters.createDocumentWaiters()
  const budget = retryBudgets.createRetryBudget(() => ({ ratio: 0.2, windowMs: 10_000, slack: opts.retrySlack ?? 100 }))
  const ctx: entryContexts.EntryContext = {
    names: NAMES,
    zone: 'z1',
    regionOf: zone => opts.regionByZone?.[zone],
    pool,
    paths: { check: async () => 'unknown' },
    quarantine,
    trialPermits: trialPermits.createTrialPermits({ self: 'self', others: () => [], connect: async () => { throw new Error('no other instances') }, quarantine, log, now }),
    outliers,
    gossip: { start: () => {}, onUpdate: () => {}, sendCrashReports: () => {}, instanceCount: () => 1, stop: () => {} },
    metrics: entryMetrics.createEntryMetrics(),
    log,
    table: () => hasDocument ? document : undefined,
    documentWaiters: waiters,
    confirmDocument: async () => true,
    newestDocument: () => 1,
    describeDocumentSources: () => '',
    retryBudget: () => budget,
    coldLimiter: coldLimiters.createColdLimiter({ self: 'self', instanceIds: () => opts.instanceIds ?? ['self'] }),
    brittleLimiter: brittleLimiters.createBrittleLimiter({ self: 'self', instanceIds: () => ['self'], endpointsOf: () => pool.all().map(item => item.record) }),
    coldBound: () => ({ excess: 1.5, slack: 5 }),
    isDraining: () => isDraining,
    isAccepted: () => isAccepting,
    durations: routeDurations.createRouteDurations(now),
    heldBytes: links.createHeldBytes(() => opts.heldLimit ?? links.toHeldLimit(undefined)),
    readPacer: readPacers.createReadPacer(now),
    now
  }
  const server = entryServers.createEntryServer(ctx)
  const address = await server.listen(`${loopbackHosts.nextHost()}:0`)
  server.applyLimits(limits)
  let seq = 0
  const announce: TestEntry['announce'] = (endpoint, change = {}) => {
    const record: discovery.EndpointRecord = { kind: 'endpoint', id: endpoint.id, startedAt: 1, seq: ++seq, zone: 'z1', state: 'ready', service: 'svc', address: endpoint.address, slots: 8, coldMs: 0, ...change }
    table.merge(record, now())
    pool.update([record])
  }
  for (const endpoint of endpoints) announce(endpoint)
  let attempts = 0
  return {
    address,
    pool,
    quarantine,
    outliers,
    server,
    metrics: ctx.metrics,
    ctx,
    lines,
    announce,
    async send (req = {}) {
      const [host, port] = address.split(':')
      return await new Promise((resolve, reject) => {
        const outgoing = http.request({ host, port, agent: false, method: req.method ?? 'GET', path: req.path ?? '/a/x', headers: { host: 'test.example', 'x-attempt': `t${++attempts}`, 'x-deadline-ms': '2000', ...req.headers } }, res => {
          let body = ''
          res.on('data', chunk => { body += String(chunk) })
          res.on('error', () => {})
          res.on('close', () => { resolve({ status: res.statusCode ?? 0, headers: res.headers, body, isComplete: res.complete }) })
        })
        outgoing.on('error', reject)
        outgoing.end(req.body)
        req.disconnect?.then(() => { outgoing.destroy(new Error('the client left')) }, reject)
        if (req.disconnectAfterMs !== undefined) setTimeout(() => { outgoing.destroy(new Error('the client left')) }, req.disconnectAfterMs)
      })
    },
    publishDocument () {
      hasDocument = true
      waiters.releaseAll()
    },
    drain (accepts) {
      isDraining = true
      isAccepting = accepts
    },
    close () {
      server.stopListening()
      server.destroy()
      for (const endpoint of pool.all()) endpoint.agent?.destroy()
      loopLag.stop()
    }
  }
}
