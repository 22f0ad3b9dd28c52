/** HTTP server for clients: enforces their limits and forwards each admitted request. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as admission from '../admission/admission.js'
import * as admittedRequests from './admittedRequest.js'
import * as brokenResponses from './brokenResponses.js'
import * as clientCalls from '../attempts/clientCall.js'
import * as clientConnections from './clientConnections.js'
import * as documentWaiters from '../admission/documentWaiters.js'
import * as entryContexts from './entryContext.js'
import * as requestGuards from './requestGuard.js'
import * as requestReaders from './requestReader.js'
import * as unexpectedErrors from './unexpectedError.js'
import * as routeTables from '../admission/routeTable.js'

/** HTTP server for clients. */
export interface EntryServer {
  /** Applies the limits of the document in force. */
  applyLimits (limits: routeTables.ClientLimits): void
  /**
   * Starts accepting connections; waits in the background for an address that is not available yet.
   * @param front IP address and port for clients
   * @param onListening called once the server listens after such a wait
   * @returns the address, with the port that was selected for port 0
   */
  listen (front: string, onListening?: () => void): Promise<string>
  /** Whether clients can connect. */
  isListening (): boolean
  /** Number of requests whose response was not sent completely. */
  openRequests (): number
  /** Number of client connections. */
  connections (): number
  /** Stops accepting connections and closes idle ones. */
  stopListening (): void
  /** Ends all requests that have no response yet, with one that says whether they may have run. */
  answerOpen (): void
  /** Destroys all connections. */
  destroy (): void
}

/** A request that is being handled. */
interface Exchange extends requestGuards.GuardedRequest { /** Name of its route, once it is admitted. */ route?: string, /** Account of its body. */ holder?: links.Holder, guard: requestGuards.RequestGuard }

/** The document that a request was checked against, and the result of the check. */
type Admitted = { table: undefined, result?: undefined } | { table: routeTables.CompiledTable, result: admission.Admission }

/** Header limit of the HTTP parser; the limit of the document, which is lower, is checked after parsing. */
const PARSER_HEADER_BYTES = 64 * 1024
/** Interval of the checks for clients that exceed a timeout. */
const CHECK_MS = 500
/** Time for the admission of a request, longer than all that it waits for. */
const MAX_ADMISSION_MS = 10_000
/** Turns of the event loop after which data that arrived together with a request was read. */
const READ_TURNS = 2
/** Added to the idle timeout, because the client measures it from the receipt of the last byte. */
const IDLE_MARGIN_MS = 1500
/** Connections that were closed are logged once in this time and for each cause. */
const REFUSAL_LOG_INTERVAL_MS = 10_000

/**
 * Creates the server, which does not listen yet.
 * @param limits of the process; of this server alone by default
 */
export function createEntryServer (ctx: entryContexts.EntryContext, limits: links.ClientLimits = { ...links.createClientLimits(), held: ctx.heldBytes }): EntryServer {
  const exchanges = new Set<Exchange>()
  const closing = new AbortController()
  const toUnloggedCrowded = telemetry.createLineLimit(REFUSAL_LOG_INTERVAL_MS, ctx.now)
  const toUnloggedHeavy = telemetry.createLineLimit(REFUSAL_LOG_INTERVAL_MS, ctx.now)

  const onRequest = (req: http.IncomingMessage, res: http.ServerResponse): void => {
    const onHandled = connections.addResponse(res)
    const request: requestGuards.GuardedRequest = { req, res, attemptId: admission.findHeader(req.rawHeaders, ctx.names.attemptId) }
    const exchange: Exchange = Object.assign(request, { guard: requestGuards.createGuard(request, ctx) })
    exchanges.add(exchange)
    brokenResponses.watch(res, cause => { recordBroken(exchange, cause) })
    serve(exchange).catch(err => {
      const outcome = unexpectedErrors.refuseWithError(exchange, ctx, err)
      ctx.metrics.requests.inc({ route: 'none', outcome: outcome.slice(0, 3) })
      ctx.log.event('requestRefused', { request: exchange.attemptId, status: res.statusCode, why: outcome, path: req.url?.slice(0, 80) })
    }).catch(() => {
      brokenResponses.noteCause(res, 'error')
      res.destroy()
    }).finally(() => {
      exchanges.delete(exchange)
      exchange.holder?.release()
      exchange.guard.stop()
      onHandled()
    })
  }

  /** Logs what was refused before it was a request, in bounds. */
  const logRefused = ({ cause, status, why, isBusy }: links.Refused): void => {
    switch (cause) {
      case 'connections': {
        const unlogged = toUnloggedCrowded()
        if (unlogged !== undefined) ctx.log.event('connectionsCrowded', { refused: unlogged + 1, open: connections.count(), requests: connections.openCount() })
        return
      }
      case 'memory': {
        const unlogged = toUnloggedHeavy()
        if (unlogged !== undefined) ctx.log.event('connectionsHeavy', { closed: unlogged + 1, heldBytes: limits.held.total(), open: connections.count() })
        return
      }
      case 'malformed':
      case 'slow': ctx.log.event('requestRefused', { status, why, isBusy })
    }
  }

  const recordBroken = ({ attemptId, route }: Exchange, cause: brokenResponses.BrokenCause): void => {
    ctx.metrics.broken.inc({ route: route === undefined ? 'none' : ctx.metrics.toRouteLabel(route), cause })
    if (brokenResponses.needsLine(cause)) ctx.log.event('responseCut', { request: attemptId, route, cause })
  }

  const serve = async (exchange: Exchange): Promise<void> => {
    const startedAt = ctx.now()
    const { req, res, attemptId, guard } = exchange
    const refuse = (refusal: clientCalls.Refusal): void => {
      clientCalls.writeRefusal({ req, res, attemptId }, refusal, ctx.names.attemptId)
      ctx.metrics.requests.inc({ route: 'none', outcome: String(clientCalls.toStatus(refusal)) })
      ctx.log.event('requestRefused', { request: attemptId, status: clientCalls.toStatus(refusal), why: refusal.why, host: req.headers.host, path: req.url?.slice(0, 80), document: ctx.table()?.version, newest: ctx.newestDocument(), sources: restsOnDocument(refusal) ? ctx.describeDocumentSources() : undefined })
    }
    res.on('error', () => {})
    if (res.socket === null && !await requestReaders.waitForTurn(req, res)) {
      ctx.log.event('requestRefused', { request: attemptId, status: 0, why: 'the client left before its pipelined request was read', path: req.url?.slice(0, 80) })
      recordBroken(exchange, 'client')
      return
    }
    if (ctx.isDraining()) res.setHeader('Connection', 'close')
    guard.setDeadline(Math.min(admission.toClientDeadlineMs(req.rawHeaders, ctx.names) ?? Infinity, MAX_ADMISSION_MS))
    const { table, result } = await admit(req, res)
    if (res.destroyed || res.writableEnded) return
    if (table === undefined) {
      refuse({ kind: 'unavailable', why: 'this instance has no configuration document yet', cause: { kind: 'starting', uptimeMs: ctx.now() } })
      return
    }
    if (result.kind === 'refused') {
      refuse(result.refusal)
      return
    }
    const waitMs = Math.min(result.route.timeoutMs, result.clientDeadlineMs ?? Infinity)
    if (!ctx.isAccepted(result.route, waitMs)) {
      refuse({ kind: 'unavailable', why: 'this instance is stopping', cause: { kind: 'stopping' } })
      return
    }
    exchange.route = result.route.name
    guard.setDeadline(startedAt + waitMs - ctx.now())
    const holder = exchange.holder = ctx.heldBytes.open()
    const body = await links.readRequestBody(req, { maxBytes: table.limits.maxBodyBytes, holder })
    switch (body.kind) {
      case 'noRoom':
        req.pause()
        refuse({ kind: 'unavailable', why: links.HELD_EXCESS, cause: { kind: 'error' } })
        return
      case 'tooLarge':
        req.pause()
        refuse({ kind: 'rejected', status: 413, why: `the body is larger than ${table.limits.maxBodyBytes} bytes: send a smaller one` })
        return
      case 'broken':
        // A malformed body was answered.
        if (res.writableEnded) return
        ctx.log.event('requestRefused', { request: attemptId, status: 0, why: 'the connection closed before the body of the request was read', path: req.url?.slice(0, 80), document: table.version })
        res.destroy()
        return
      case 'complete':
        // The client may have disconnected before its request was read; the end of the connection is then read in a later turn of the
        // event loop. Such a request must not be forwarded.
        for (let turn = 0; turn < READ_TURNS; turn++) await timers.setImmediate()
        if (res.writableEnded) return
        if (res.destroyed || res.socket?.readableEnded !== false) {
          ctx.log.event('requestRefused', { request: attemptId, status: 0, why: 'the client left before its request was read', path: req.url?.slice(0, 80), document: table.version })
          return
        }
        await admittedRequests.runAdmitted({ request: exchange, ctx, startedAt, table, admitted: result, body: body.body })
    }
  }

  /**
   * Checks a request against the document in force. An unknown route or key is rejected permanently only if the document is known to
   * be the latest; otherwise the request waits for a newer one, or is rejected as retryable.
   */
  const admit = async (req: http.IncomingMessage, res: http.ServerResponse): Promise<Admitted> => {
    const table = ctx.table() ?? await waitForTable(req, res, false)
    if (table === undefined) return { table }
    const admitted = await checkFinally(req, table)
    if (admitted !== undefined) return admitted
    const next = await waitForTable(req, res, true) ?? table
    const admittedByNext = next === table ? undefined : await checkFinally(req, next)
    if (admittedByNext !== undefined) return admittedByNext
    const newest = ctx.newestDocument()
    const cause = newest > next.version ? `version ${newest} is not available yet` : 'no control instance confirmed that it is the latest'
    const why = `document version ${next.version} does not contain this route or key, and ${cause}`
    return { table: next, result: { kind: 'refused', refusal: { kind: 'unavailable', why, cause: { kind: 'outdated' } } } }
  }

  const check = (req: http.IncomingMessage, table: routeTables.CompiledTable): admission.Admission => {
    return admission.admit({ method: req.method ?? '', url: req.url ?? '', host: req.headers.host, rawHeaders: req.rawHeaders }, table, ctx.names)
  }

  /** Returns the result of the check, or undefined if a newer document could change it. */
  const checkFinally = async (req: http.IncomingMessage, table: routeTables.CompiledTable): Promise<Admitted | undefined> => {
    const result = check(req, table)
    if (!couldChange(result)) return { table, result }
    const isLatest = await ctx.confirmDocument()
    // The confirmation may have brought a newer document.
    const current = ctx.table() ?? table
    const currentResult = current === table ? result : check(req, current)
    return isLatest || !couldChange(currentResult) ? { table: current, result: currentResult } : undefined
  }

  const couldChange = (result: admission.Admission): boolean => result.kind === 'refused' && admission.dependsOnDocument(result.refusal)

  const waitForTable = async (req: http.IncomingMessage, res: http.ServerResponse, isForNewer: boolean): Promise<routeTables.CompiledTable | undefined> => {
    const clientDeadlineMs = admission.toClientDeadlineMs(req.rawHeaders, ctx.names)
    const waitMs = documentWaiters.toDocumentWaitMs(clientDeadlineMs, ctx.documentWaiters.count(), isForNewer)
    if (waitMs > 0) await ctx.documentWaiters.wait(waitMs, run => res.once('close', run))
    return ctx.table()
  }

  const { server, hasQueued } = links.createBoundedServer({
    server: { maxHeaderSize: PARSER_HEADER_BYTES, connectionsCheckingInterval: CHECK_MS, requestTimeout: 0, keepAlive: true, noDelay: true },
    limits,
    requestCost: 1,
    onRefused: logRefused
  }, onRequest)
  const connections = clientConnections.createClientConnections(hasQueued)
  server.keepAliveTimeout = 0
  // The library's own method closes connections whose response was written, but not sent yet.
  server.closeIdleConnections = connections.closeIdle
  server.on('connection', connections.add)

  return {
    async listen (front, onListening = () => {}) {
      const isListening = await links.listenWhenAvailable(server, front, { backlog: 1024, log: ctx.log, signal: closing.signal }, onListening)
      return isListening ? `${links.parseAddress(front).host}:${(server.address() as net.AddressInfo).port}` : front
    },
    isListening: () => server.listening,
    applyLimits (limits) {
      server.headersTimeout = limits.headerTimeoutMs
      server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
    },
    openRequests: connections.openCount,
    connections: connections.count,
    stopListening () {
      closing.abort()
      server.close()
      server.closeIdleConnections()
    },
    answerOpen () {
      for (const exchange of exchanges) requestGuards.endStopping(exchange, ctx)
    },
    destroy () {
      for (const res of connections.responses()) brokenResponses.noteCause(res, 'stopping')
      connections.destroyAll()
    }
  }
}

/** Returns whether a refusal could be different with a newer document. */
function restsOnDocument (refusal: clientCalls.Refusal): boolean {
  return admission.dependsOnDocument(refusal) || (refusal.kind === 'unavailable' && refusal.cause.kind === 'outdated')
}
