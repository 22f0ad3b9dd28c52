/** HTTP server of a router instance, for callers, endpoints, operators and monitoring. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as membership from '@kingcupdeck/membership'
import * as telemetry from '@kingcupdeck/telemetry'
import * as addresses from './addresses.js'
import type * as auths from './auth.js'
import * as chatEntry from './chatEntry.js'
import * as chatRequest from './chatRequest.js'
import type * as context from './entryContext.js'
import * as helpers from './http.js'
import * as ids from './ids.js'
import type * as owners from './owner.js'
import * as plainEntry from './plainEntry.js'
import type * as traces from './traces.js'

/** Dependencies of {@link createHandler}. */
export interface HandlerOptions {
  ctx: context.EntryContext
  auth: auths.Auth
  owner: owners.Owner
  table: membership.EndpointTable
  log: telemetry.Log
  /** Fetches a request's trace from its entry instance. */
  explain (requestId: string): Promise<traces.TraceStep[] | undefined>
}

/** A running HTTP server. */
export interface EntryServer {
  readonly port: number
  /** Returns the number of requests being served. */
  openRequests (): number
  /** Stops accepting connections and resolves when the last response is sent. */
  close (): Promise<void>
}

const REQUEST_TIMEOUT_MS = 30_000
const HEADERS_TIMEOUT_MS = 10_000
const KEEP_ALIVE_TIMEOUT_MS = 5000
/** What was refused before it was a request is logged once in this time. */
const REFUSAL_LOG_INTERVAL_MS = 1000

/** Handles one request. @param held account of what the process holds for its clients */
export type Handle = (req: http.IncomingMessage, res: http.ServerResponse, held: links.HeldBytes) => Promise<void>

/**
 * Starts an HTTP server.
 * @param address IP address and port; port 0 selects a free one
 */
export async function startServer (address: string, log: telemetry.Log, handle: Handle): Promise<EntryServer> {
  let openRequests = 0
  let isClosing = false
  const limits = links.createClientLimits()
  const toUnlogged = telemetry.createLineLimit(REFUSAL_LOG_INTERVAL_MS)
  const { server } = links.createBoundedServer({
    server: { requestTimeout: REQUEST_TIMEOUT_MS, headersTimeout: HEADERS_TIMEOUT_MS, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS },
    limits,
    requestCost: 1,
    onRefused (refused) {
      const omitted = toUnlogged()
      if (omitted !== undefined) log.event('callRefused', { ...refused, omitted })
    }
  }, (req, res) => {
    openRequests++
    res.on('close', () => { openRequests-- })
    if (isClosing) res.setHeader('connection', 'close')
    void handle(req, res, limits.held)
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(links.parseAddress(address), resolve)
  })
  return {
    port: (server.address() as net.AddressInfo).port,
    openRequests: () => openRequests,
    close: async () => {
      isClosing = true
      const closed = new Promise<void>(resolve => { server.close(() => { resolve() }) })
      server.closeIdleConnections()
      await closed
    }
  }
}

/** Creates the handler of all paths. Errors are sent to the caller as responses. */
export function createHandler (opts: HandlerOptions): Handle {
  return async (req, res, held) => { await serve(opts, req, res, held) }
}

async function serve (opts: HandlerOptions, req: http.IncomingMessage, res: http.ServerResponse, held: links.HeldBytes): Promise<void> {
  const { ctx } = opts
  const requestId = ids.createRequestId(ctx.member.self().id)
  const exchange: helpers.Exchange = { req, res, requestId, url: toUrl(req), held }
  res.on('error', () => {})
  try {
    await route(opts, exchange)
  } catch (err) {
    const failure = contracts.toFailure(err)
    ctx.traces.find(requestId)?.push({ atMs: 0, step: 'failed', why: contracts.describe(failure) })
    ctx.metrics.requests.inc({ account: '', outcome: failure.kind })
    opts.log.event(failure.kind === 'internal' ? 'uncaught' : 'requestFailed', { request: requestId, kind: failure.kind, ran: contracts.toRan(failure), detail: failure.kind === 'internal' && err instanceof Error ? err.stack ?? '' : contracts.describe(failure) })
    if (!res.destroyed) helpers.sendFailure(exchange, failure)
  }
}

function toUrl (req: http.IncomingMessage): URL {
  try {
    return new URL(req.url ?? '/', 'http://instance')
  } catch {
    return new URL('http://instance/')
  }
}

async function route (opts: HandlerOptions, exchange: helpers.Exchange): Promise<void> {
  const { ctx, auth } = opts
  const { req, url } = exchange
  const parts = url.pathname.split('/').filter(part => part !== '')
  const [version, resource, first, second] = parts
  if (url.pathname === '/health') { sendHealth(opts, exchange); return }
  if (url.pathname === '/metrics') { await sendMetrics(opts, exchange); return }
  if (version !== 'v1') throw notFound(exchange)
  switch (resource) {
    case 'chat':
      if (req.method !== 'POST' || first !== 'completions' || parts.length !== 3) throw notFound(exchange)
      ctx.requireDocument()
      await chatEntry.serveChat(ctx, exchange, auth.authenticateAccount(req))
      return
    case 'services':
      if (parts.length !== 4) throw notFound(exchange)
      ctx.requireDocument()
      await plainEntry.servePlain(ctx, exchange, auth.authenticateAccount(req), first, second)
      return
    case 'models': sendModels(opts, exchange); return
    case 'addresses': sendAddresses(opts, exchange); return
    case 'announcements': await receiveAnnouncement(opts, exchange); return
    case 'explain':
      auth.authenticateOperator(req)
      await sendTrace(opts, exchange, decodeURIComponent(first ?? ''))
      return
    default: throw notFound(exchange)
  }
}

function notFound (exchange: helpers.Exchange): contracts.FailureError {
  return new contracts.FailureError({ kind: 'not_found', what: `${exchange.req.method ?? 'GET'} ${exchange.url.pathname}` })
}

function sendHealth (opts: HandlerOptions, exchange: helpers.Exchange): void {
  const { member } = opts.ctx
  const isServing = member.isServing()
  helpers.sendJson(exchange, isServing ? 200 : 503, {
    instance: member.self().id,
    serving: isServing,
    leaving: member.self().leaving,
    view: member.views.number(),
    documentVersion: member.documentVersion(),
    leaseMsLeft: Math.round(Math.max(0, member.leaseRemainingMs())),
    endpoints: [...opts.table.all()].filter(entry => entry.state === 'ready').length,
    invariants: opts.ctx.invariants.tallies(),
    owned: opts.owner.toStatus()
  })
}

async function sendMetrics (opts: HandlerOptions, exchange: helpers.Exchange): Promise<void> {
  const { registry } = opts.ctx.metrics
  const text = await registry.metrics()
  exchange.res.writeHead(200, { 'content-type': registry.contentType })
  exchange.res.end(text)
}

function sendModels (opts: HandlerOptions, exchange: helpers.Exchange): void {
  const account = opts.auth.authenticateAccount(exchange.req)
  const models = Object.entries(opts.ctx.requireDocument().models).filter(([, model]) => account.spec.services.includes(model.service))
  helpers.sendJson(exchange, 200, { object: 'list', data: models.map(([id]) => ({ id, object: 'model', created: 0, owned_by: 'kingcupdeck' })) })
}

function sendAddresses (opts: HandlerOptions, exchange: helpers.Exchange): void {
  const { ctx, auth, table } = opts
  const account = auth.authenticateAccount(exchange.req)
  const query = exchange.url.searchParams
  const model = query.get('model') ?? ''
  const chat = query.get('chat')
  const chatKey = chat === null ? undefined : chatRequest.toNamedChatKey(account.id, model, chat)
  const home = chatKey === undefined ? undefined : addresses.findHomeOwner(ctx.member.views, table, ctx.requireDocument(), model, chatKey)
  const list = addresses.toAddressList(ctx.member.views, { seed: chatKey ?? exchange.requestId, zone: query.get('zone') ?? undefined, home })
  helpers.sendJson(exchange, 200, list, { 'cache-control': `max-age=${list.maxAgeSeconds}` })
}

const MAX_ANNOUNCEMENT_BYTES = 256 * 1024

async function receiveAnnouncement (opts: HandlerOptions, exchange: helpers.Exchange): Promise<void> {
  const { ctx, auth, owner } = opts
  if (exchange.req.method !== 'POST') throw notFound(exchange)
  // Checked first, so that the body of a request without a token is not read.
  if (exchange.req.headers.authorization === undefined) throw new contracts.FailureError({ kind: 'unauthenticated', what: 'The bearer token is missing' })
  const parsed = contracts.announcement.safeParse(helpers.parseJson(await helpers.readBody(exchange, MAX_ANNOUNCEMENT_BYTES)))
  if (!parsed.success) throw new contracts.FailureError({ kind: 'bad_request', detail: parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ') })
  const announcement = parsed.data
  ctx.requireDocument()
  try {
    auth.authenticateEndpoint(exchange.req, announcement.service)
  } catch (err) {
    opts.log.event('announcementRefused', { endpoint: announcement.endpoint, service: announcement.service })
    throw err
  }
  const key = { id: announcement.endpoint, zone: announcement.zone }
  const endpointOwner = ctx.member.views.ownerOf(key)
  const intervalMs = endpointOwner?.id === ctx.member.self().id ? owner.receiveAnnouncement(announcement, 0) : contracts.ANNOUNCE_INTERVAL_MS
  const reply: contracts.AnnouncementReply = { owner: endpointOwner?.url ?? null, intervalMs: Math.round(intervalMs) }
  helpers.sendJson(exchange, 200, reply)
}

async function sendTrace (opts: HandlerOptions, exchange: helpers.Exchange, requestId: string): Promise<void> {
  const steps = await opts.explain(requestId)
  if (steps === undefined) throw new contracts.FailureError({ kind: 'not_found', what: `trace of request "${requestId}" (traces are kept for the latest 5,000 requests of an instance)` })
  helpers.sendJson(exchange, 200, { request: requestId, steps })
}
