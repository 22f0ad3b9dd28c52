/** The HTTP server of an entry instance towards callers: limits of what they send, one task for each request. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as links from '@kingcupdeck/links'
import * as admission from './admission.js'
import * as clientCalls from './clientCall.js'
import * as entryContexts from './entryContext.js'
import * as documentWaiters from './documentWaiters.js'
import * as forwards from './forward.js'
import * as routeTables from './routeTable.js'

/** The server towards callers. */
export interface EntryServer {
  /** Takes up the limits of the document in force. */
  applyLimits (limits: routeTables.ClientLimits): void
  /** IP number and port that it listens on. */
  readonly address: string
  /** @returns requests that are not answered yet */
  openRequests (): number
  /** @returns connections of callers */
  connections (): number
  /** Takes no further connections and closes idle ones. */
  stopListening (): void
  /** Breaks all connections. */
  destroy (): void
}

/** What the server is built from. */
export interface EntryServerOptions {
  /** IP number and port for callers. */
  front: string
  ctx: entryContexts.EntryContext
}

/** The document that a request was looked at with, if there is one, and what came of it. */
type Admitted = { table: undefined, seen?: undefined } | { table: routeTables.CompiledTable, seen: admission.Admission }

/** Headers beyond this are refused by the parser itself; the document's limit, which is lower, is checked after it. */
const PARSER_HEADER_BYTES = 64 * 1024
/** How often the parser looks for clients that take too long. */
const CHECK_MS = 500
/** Turns of the event loop after which what had come on a connection behind a request is read: the rest of this one, and the next. */
const READ_TURNS = 2
/** Added to the time an idle connection is kept: the client's clock runs from when it got the last byte. */
const IDLE_MARGIN_MS = 1500

/**
 * Starts the server.
 * @param opts address and what requests share
 * @returns the server, listening
 */
export async function startEntryServer (opts: EntryServerOptions): Promise<EntryServer> {
  const { ctx } = opts
  const sockets = new Set<net.Socket>()
  let open = 0

  const server = http.createServer({
    maxHeaderSize: PARSER_HEADER_BYTES,
    connectionsCheckingInterval: CHECK_MS,
    requestTimeout: 0,
    keepAlive: true,
    noDelay: true
  }, (req, res) => {
    open++
    serve(req, res).catch(err => {
      // One request must not take the process down; its connection shows that there is no whole answer.
      ctx.log.event('uncaught', { step: 'request', detail: err instanceof Error ? err.stack ?? err.message : String(err) })
      res.destroy()
    }).finally(() => { open-- })
  })

  const serve = async (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> => {
    const startedAt = ctx.now()
    const attemptId = admission.findHeader(req.rawHeaders, ctx.names.attemptId)
    const refuse = (refusal: clientCalls.Refusal): void => {
      clientCalls.writeRefusal({ req, res, attemptId }, refusal, ctx.names.attemptId)
      ctx.metrics.requests.inc({ route: 'none', outcome: String(clientCalls.toStatus(refusal)) })
      ctx.log.event('requestRefused', { request: attemptId, status: clientCalls.toStatus(refusal), why: refusal.why, host: req.headers.host, path: req.url?.slice(0, 80), document: ctx.table()?.version, newest: ctx.newestDocument() })
    }
    res.on('error', () => {})
    if (ctx.isDraining()) res.setHeader('Connection', 'close')
    const { table, seen } = await admit(req, res)
    if (res.destroyed) return
    if (table === undefined) {
      refuse({ kind: 'unavailable', why: 'this instance has no document yet', cause: { kind: 'starting', uptimeMs: ctx.now() } })
      return
    }
    if (seen.kind === 'refused') {
      refuse(seen.refusal)
      return
    }
    if (!ctx.isAccepted(Math.min(seen.route.timeoutMs, seen.clientDeadlineMs ?? Infinity))) {
      refuse({ kind: 'unavailable', why: 'this instance is stopping', cause: { kind: 'stopping' } })
      return
    }
    const body = await readBody(req, table.limits.maxBodyBytes)
    switch (body.kind) {
      case 'tooLarge':
        refuse({ kind: 'rejected', status: 413, why: `the body is larger than ${table.limits.maxBodyBytes} bytes: send less` })
        return
      case 'broken':
        res.destroy()
        return
      case 'whole':
        // Guards against work for clients that left before their request was read, as when a burst meets a restart: the end of the
        // connection is there already, but is read in the turn of the event loop after this one.
        for (let turn = 0; turn < READ_TURNS; turn++) await timers.setImmediate()
        if (res.destroyed || res.socket?.readableEnded !== false) {
          ctx.log.event('requestRefused', { request: attemptId, status: 0, why: 'the client left before its request was read', path: req.url?.slice(0, 80), document: table.version })
          return
        }
        await run(req, res, startedAt, table, seen, body.body)
    }
  }

  /**
   * Looks at the head of a request by the document in force. Guards against a request that is refused for good by an instance that
   * is behind, as after a partition: a path or a key that is not known counts as unknown only where the document is the latest.
   */
  const admit = async (req: http.IncomingMessage, res: http.ServerResponse): Promise<Admitted> => {
    const table = ctx.table() ?? await waitForTable(req, res, false)
    if (table === undefined) return { table }
    const seen = look(req, table)
    if (!isDoubtful(seen)) return { table, seen }
    const next = await waitForTable(req, res, true) ?? table
    const seenNext = look(req, next)
    if (!isDoubtful(seenNext)) return { table: next, seen: seenNext }
    const newest = ctx.newestDocument()
    const doubt = newest > next.version ? `version ${newest} is not here yet` : 'no control instance with a quorum was heard lately'
    const why = `version ${next.version} does not know this path or key, and ${doubt}`
    return { table: next, seen: { kind: 'refused', refusal: { kind: 'unavailable', why, cause: { kind: 'outdated' } } } }
  }

  const look = (req: http.IncomingMessage, table: routeTables.CompiledTable): admission.Admission => {
    return admission.admit({ method: req.method ?? '', url: req.url ?? '', host: req.headers.host, rawHeaders: req.rawHeaders }, table, ctx.names)
  }

  const isDoubtful = (seen: admission.Admission): boolean => seen.kind === 'refused' && admission.dependsOnDocument(seen.refusal) && !ctx.isLatestDocument()

  const waitForTable = async (req: http.IncomingMessage, res: http.ServerResponse, isForNewer: boolean): Promise<routeTables.CompiledTable | undefined> => {
    const clientMs = admission.toClientDeadlineMs(req.rawHeaders, ctx.names)
    const holdMs = documentWaiters.toDocumentWaitMs(clientMs, ctx.documentWaiters.count(), isForNewer)
    if (holdMs > 0) await ctx.documentWaiters.wait(holdMs, run => res.once('close', run))
    return ctx.table()
  }

  const run = async (req: http.IncomingMessage, res: http.ServerResponse, startedAt: number, table: routeTables.CompiledTable, seen: Extract<admission.Admission, { kind: 'admitted' }>, body: Buffer): Promise<void> => {
    const { route, account } = seen
    const waitMs = Math.min(route.timeoutMs, seen.clientDeadlineMs ?? Infinity)
    const call: clientCalls.ClientCall = {
      req,
      res,
      ctx,
      route,
      table,
      service: routeTables.pickService(route, Math.random()),
      account: account?.name,
      accountRank: account?.rank ?? null,
      attemptId: seen.attemptId,
      body,
      startedAt,
      deadlineAt: startedAt + waitMs,
      aborter: new AbortController(),
      attempts: [],
      mayHaveRun: false,
      firstByteAt: undefined
    }
    const timer = setTimeout(() => { call.aborter.abort('the time is over') }, Math.max(0, call.deadlineAt - ctx.now()))
    const onClose = (): void => {
      // What may run only once is left to run to its end: breaking it off half-way helps nobody.
      if (!res.writableFinished && route.kind !== 'once') call.aborter.abort('the client left')
    }
    res.on('close', onClose)
    ctx.metrics.open.inc()
    try {
      const outcome = await forwards.forward(call)
      logEnd(call, outcome)
    } finally {
      clearTimeout(timer)
      ctx.metrics.open.dec()
    }
  }

  server.keepAliveTimeout = 0
  server.on('connection', (socket: net.Socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  server.on('clientError', (err: NodeJS.ErrnoException, socket: net.Socket) => { answerBroken(err, socket, ctx) })
  server.on('dropRequest', (req, socket) => { socket.destroy() })
  const { host, port } = links.parseAddress(opts.front)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port, backlog: 1024 }, resolve)
  })

  return {
    address: `${host}:${(server.address() as net.AddressInfo).port}`,
    applyLimits (limits) {
      server.headersTimeout = limits.headerTimeoutMs
      server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
    },
    openRequests: () => open,
    connections: () => sockets.size,
    stopListening () {
      server.close()
      server.closeIdleConnections()
    },
    destroy () {
      for (const socket of sockets) socket.destroy()
    }
  }
}

type RequestBody = { kind: 'whole', body: Buffer } | { kind: 'tooLarge' } | { kind: 'broken' }

async function readBody (req: http.IncomingMessage, maxBytes: number): Promise<RequestBody> {
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) return { kind: 'tooLarge' }
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let bytes = 0
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes > maxBytes) {
        req.pause()
        resolve({ kind: 'tooLarge' })
        return
      }
      chunks.push(chunk)
    })
    req.on('end', () => { resolve({ kind: 'whole', body: Buffer.concat(chunks, bytes) }) })
    // The client broke off while it sent: there is nobody to answer.
    req.on('error', () => { resolve({ kind: 'broken' }) })
    req.on('close', () => { resolve({ kind: 'broken' }) })
  })
}

/** Answers what is no request, unless an answer is under way on the connection: then only its end can be told. */
function answerBroken (err: NodeJS.ErrnoException, socket: net.Socket, ctx: entryContexts.EntryContext): void {
  const status = toBrokenStatus(err.code)
  const isBusy = (socket as net.Socket & { _httpMessage?: unknown })._httpMessage != null
  if (err.code !== 'ECONNRESET') ctx.log.event('requestRefused', { status, why: err.code ?? err.message, isBusy })
  if (!socket.writable || isBusy || err.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  socket.end(`HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
}

function toBrokenStatus (code: string | undefined): number {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW': return 431
    case 'ERR_HTTP_REQUEST_TIMEOUT': return 408
    default: return 400
  }
}

function logEnd (call: clientCalls.ClientCall, outcome: string): void {
  const { ctx, route } = call
  const now = ctx.now()
  const labels = { account: ctx.metrics.toAccountLabel(call.account ?? ''), route: ctx.metrics.toRouteLabel(route.name) }
  if (call.firstByteAt !== undefined) ctx.metrics.firstByte.observe(labels, (call.firstByteAt - call.startedAt) / 1000)
  ctx.metrics.duration.observe(labels, (now - call.startedAt) / 1000)
  ctx.metrics.requests.inc({ route: labels.route, outcome: outcome.slice(0, 3) })
  ctx.log.event('requestEnded', {
    request: call.attemptId,
    route: route.name,
    account: call.account,
    service: call.service,
    outcome,
    document: call.table.version,
    waitMs: Math.round(call.deadlineAt - call.startedAt),
    firstMs: call.firstByteAt === undefined ? undefined : Math.round(call.firstByteAt - call.startedAt),
    totalMs: Math.round(now - call.startedAt),
    attempts: call.attempts.map(item => `${item.endpoint} (${item.why}) ${item.outcome} ${item.ms}`).join('; ')
  })
}
