/** An entry server in this process before endpoints that do as a test says. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import * as crashQuarantines from '../../src/crashQuarantine.js'
import * as outlierDetectors from '../../src/outlierDetector.js'
import * as endpointPools from '../../src/endpointPool.js'
import * as entryContexts from '../../src/entryContext.js'
import * as entryMetrics from '../../src/entryMetrics.js'
import * as entryServers from '../../src/entryServer.js'
import * as documentWaiters from '../../src/documentWaiters.js'
import type * as headerNames from '../../src/headerNames.js'
import * as retryBudgets from '../../src/retryBudget.js'
import * as routeTables from '../../src/routeTable.js'

/** Header names of the tests. */
export const NAMES: headerNames.HeaderNames = {
  attemptId: 'x-attempt',
  deadlineMs: 'x-deadline-ms',
  expectEndpoint: 'x-expect',
  account: 'x-account',
  key: 'x-key',
  seal: 'x-seal',
  notRun: 'x-not-run',
  promptParts: 'x-parts',
  fetchFrom: 'x-fetch-from',
  lastEventId: 'last-event-id',
  reserved: ['x-reserved']
}

/** An endpoint of a test. */
export interface TestEndpoint {
  id: string
  address: string
  /** Requests that came, newest last. */
  seen: Array<{ method: string, url: string, headers: http.IncomingHttpHeaders, body: string, isClosed: () => boolean }>
  connections: () => number
  /** Takes no further connections; those that are open stay so. */
  refuse: () => void
  close: () => void
}

/** What an endpoint does with a request whose body was read. */
export type Behaviour = (req: http.IncomingMessage, res: http.ServerResponse, count: number) => void

/** Answers as a sound endpoint does. */
export const sound: Behaviour = (req, res) => {
  res.writeHead(200, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': 's', 'content-length': 2 })
  res.end('ok')
}

/** Begins an event stream as a sound endpoint does. */
export function beginStream (req: http.IncomingMessage, res: http.ServerResponse): void {
  res.writeHead(200, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': 's', 'content-type': 'text/event-stream' })
}

/** Starts an endpoint. */
export async function startEndpoint (id: string, behave: Behaviour): Promise<TestEndpoint> {
  const seen: TestEndpoint['seen'] = []
  const sockets = new Set<net.Socket>()
  const server = http.createServer((req, res) => {
    let body = ''
    req.on('data', chunk => { body += String(chunk) })
    req.on('end', () => {
      let isClosed = false
      res.on('close', () => { isClosed = !res.writableFinished })
      seen.push({ method: req.method ?? '', url: req.url ?? '', headers: req.headers, body, isClosed: () => isClosed })
      behave(req, res, seen.length)
    })
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`
  return {
    id,
    address,
    seen,
    connections: () => sockets.size,
    refuse () { server.close() },
    close () {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

/** A route of the tests, with what a test changes. */
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
    ...change
  }
}

/** An entry server under test. */
export interface TestEntry {
  address: string
  pool: endpointPools.EndpointPool
  suspects: crashQuarantines.CrashQuarantine
  outcomes: outlierDetectors.OutlierDetector
  server: entryServers.EntryServer
  /** Lines of the log as events with their fields. */
  lines: Array<{ event: string } & { [field: string]: unknown }>
  announce: (endpoint: TestEndpoint, change?: Partial<discovery.EndpointRecord>) => void
  /** Sends a request over a connection of its own. */
  ask: (opts?: { method?: string, path?: string, headers?: http.OutgoingHttpHeaders, body?: string, /** Gives up after this time. */ leaveAfterMs?: number }) => Promise<TestAnswer>
  /** Hands the entry its document, where it began without one. */
  arrive: () => void
  /** Tells the entry that it stops, and whether it still takes requests. */
  stop: (mayTake: boolean) => void
  close: () => void
}

/** An answer as a client sees it. */
export interface TestAnswer { status: number, headers: http.IncomingHttpHeaders, body: string, /** Whether the body came to its end. */ isWhole: boolean }

/** Starts an entry server. */
export async function startEntry (routes: routeTables.Route[], endpoints: TestEndpoint[], opts: { accounts?: routeTables.ClientAccount[], retrySlack?: number, limits?: Partial<routeTables.ClientLimits>, /** Whether the entry has no document until {@link TestEntry.arrive}. */ isLate?: boolean } = {}): Promise<TestEntry> {
  const lines: TestEntry['lines'] = []
  const log = telemetry.createLog({ instance: 'test', json: true, write: line => { lines.push(JSON.parse(line)) } })
  const table = discovery.createRecordTable()
  const now = (): number => performance.now()
  const pool = endpointPools.createEndpointPool({ table, currentAt: now, currentSince: () => -Infinity, unresponsiveMs: 60_000, log })
  const suspects = crashQuarantines.createCrashQuarantine()
  const outcomes = outlierDetectors.createOutlierDetector()
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 1000, idleTimeoutMs: 5000, ...opts.limits }
  const document = routeTables.compileTable({ version: 1, routes, services: [{ name: 'svc', maxConnections: 100, canFetch: true }], accounts: opts.accounts ?? null, limits })
  let isStopping = false
  let mayTake = true
  let hasDocument = opts.isLate !== true
  const nextDocument = documentWaiters.createDocumentWaiters()
  const windows = retryBudgets.createRetryBudget({ ratio: 0.2, windowMs: 10_000, slack: opts.retrySlack ?? 100 })
  const ctx: entryContexts.EntryContext = {
    names: NAMES,
    zone: 'z1',
    pool,
    quarantine: suspects,
    outliers: outcomes,
    gossip: { onUpdate: () => {}, sendCrashReports: () => {}, instanceCount: () => 1, stop: () => {} },
    metrics: entryMetrics.createEntryMetrics(),
    log,
    table: () => hasDocument ? document : undefined,
    documentWaiters: nextDocument,
    isLatestDocument: () => true,
    newestDocument: () => 1,
    retryBudget: () => windows,
    isDraining: () => isStopping,
    isAccepted: () => mayTake,
    now
  }
  const server = await entryServers.startEntryServer({ front: '127.0.0.1:0', ctx })
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
    address: server.address,
    pool,
    suspects,
    outcomes,
    server,
    lines,
    announce,
    async ask (req = {}) {
      const [host, port] = server.address.split(':')
      return await new Promise((resolve, reject) => {
        const out = http.request({ host, port, agent: false, method: req.method ?? 'GET', path: req.path ?? '/a/x', headers: { host: 'test.example', 'x-attempt': `t${++attempts}`, 'x-deadline-ms': '2000', ...req.headers } }, res => {
          let body = ''
          res.on('data', chunk => { body += String(chunk) })
          res.on('error', () => {})
          res.on('close', () => { resolve({ status: res.statusCode ?? 0, headers: res.headers, body, isWhole: res.complete }) })
        })
        out.on('error', reject)
        out.end(req.body)
        if (req.leaveAfterMs !== undefined) setTimeout(() => { out.destroy(new Error('the client left')) }, req.leaveAfterMs)
      })
    },
    arrive () {
      hasDocument = true
      nextDocument.releaseAll()
    },
    stop (takes) {
      isStopping = true
      mayTake = takes
    },
    close () {
      server.stopListening()
      server.destroy()
      for (const endpoint of pool.all()) endpoint.agent.destroy()
    }
  }
}
