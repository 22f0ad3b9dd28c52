/** HTTP server for operators: configuration document, its history, fleet status, and the console. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as prom from 'prom-client'
import * as undici from 'undici'
import * as z from 'zod'
import * as consolePages from '@kingcupdeck/console'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as membership from '@kingcupdeck/membership'
import * as state from '@kingcupdeck/state'
import * as telemetry from '@kingcupdeck/telemetry'

/** Options of the operator server. */
export interface OperatorServerOptions {
  client: membership.ControlClient
  machine: state.FleetMachine
  registry: prom.Registry
  log: telemetry.Log
  /** Returns the fields that the health body shows in addition to the versions. */
  toHealth (): Record<string, unknown>
}

/** Options of the handling of a request. */
interface HandlerOptions extends OperatorServerOptions { /** Account of what the process holds for its clients. */ held: links.HeldBytes }

/** A running operator server. */
export interface OperatorServer { readonly url: string, close (): Promise<void> }

const CALL_TIMEOUT_MS = 6000
const REQUEST_TIMEOUT_MS = 30_000
const HEADERS_TIMEOUT_MS = 10_000
/** What was refused before it was a request is logged once in this time. */
const REFUSAL_LOG_INTERVAL_MS = 1000
const NO_ROOM_RETRY_MS = 1000
const MAX_OPERATION_ID_LENGTH = 100
const DOCUMENT_LIMITS: contracts.input.JsonLimits = { maxBytes: contracts.MAX_DOCUMENT_BYTES, maxDepth: 32, maxValues: 1_000_000 }

/**
 * Starts the operator server.
 * @param address `ip:port`; port 0 selects a free port
 */
export async function startOperatorServer (address: string, opts: OperatorServerOptions): Promise<OperatorServer> {
  const limits = links.createClientLimits()
  const toUnlogged = telemetry.createLineLimit(REFUSAL_LOG_INTERVAL_MS)
  const { server } = links.createBoundedServer({
    server: { requestTimeout: REQUEST_TIMEOUT_MS, headersTimeout: HEADERS_TIMEOUT_MS },
    limits,
    onRefused (refused) {
      const omitted = toUnlogged()
      if (omitted !== undefined) opts.log.event('callRefused', { ...refused, omitted })
    }
  }, (req, res) => { void handleRequest({ ...opts, held: limits.held }, req, res) })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(links.parseAddress(address), resolve)
  })
  return {
    url: `http://${links.parseAddress(address).host}:${(server.address() as net.AddressInfo).port}`,
    close: async () => {
      await new Promise<void>(resolve => {
        server.close(() => { resolve() })
        server.closeIdleConnections()
      })
    }
  }
}

async function handleRequest (opts: HandlerOptions, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
  try {
    await route(opts, req, res)
  } catch (err) {
    const failure = err instanceof membership.ControlError
      ? { kind: 'ledger_unavailable' as const, ran: 'unknown' as const, retryAfterMs: 2000 }
      : contracts.toFailure(err)
    if (failure.kind === 'internal') opts.log.event('uncaught', { detail: err instanceof Error ? err.stack ?? '' : String(err) })
    if (!res.headersSent) sendJson(res, contracts.toStatus(failure), contracts.toErrorBody(failure), req.complete)
  }
}

async function route (opts: HandlerOptions, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
  const url = new URL(req.url ?? '/', 'http://instance')
  const page = consolePages.findPage(url.pathname)
  if (page !== undefined && req.method === 'GET') {
    res.writeHead(200, { 'content-type': page.contentType, 'cache-control': 'no-cache', 'content-security-policy': "default-src 'self'; frame-ancestors 'none'" })
    res.end(page.body)
    return
  }
  switch (`${req.method ?? 'GET'} ${url.pathname}`) {
    case 'GET /health': sendJson(res, 200, { ok: true, documentVersion: opts.machine.version(), view: opts.machine.view(), ...opts.toHealth() }); return
    case 'GET /metrics':
      res.writeHead(200, { 'content-type': opts.registry.contentType })
      res.end(await opts.registry.metrics())
      return
    case 'GET /v1/schema': sendJson(res, 200, consolePages.toDocumentSchema()); return
    case 'GET /v1/config': await getDocument(opts, req, res); return
    case 'PUT /v1/config': await putDocument(opts, req, res, url); return
    case 'POST /v1/config/check': await checkDocument(opts, req, res); return
    case 'GET /v1/config/history': await getHistory(opts, req, res); return
    case 'GET /v1/status': await getStatus(opts, req, res); return
    case 'GET /v1/endpoints': await getEndpoints(opts, req, res); return
    default: throw new contracts.FailureError({ kind: 'not_found', what: `${req.method ?? 'GET'} ${url.pathname}` })
  }
}

function sendJson (res: http.ServerResponse, status: number, body: unknown, isComplete = true): void {
  res.writeHead(status, { 'content-type': 'application/json', ...(isComplete ? {} : { connection: 'close' }) })
  res.end(JSON.stringify(body))
}

/**
 * Returns the id of the operator whose token the request has.
 * @throws FailureError `unauthenticated`, or `not_serving` before the first document
 */
function authenticateOperator (opts: OperatorServerOptions, req: http.IncomingMessage): string {
  // A replica that is still catching up has no tokens to compare with: not_serving, not unauthenticated.
  if (opts.machine.document() === null) throw new contracts.FailureError({ kind: 'not_serving', detail: 'no configuration document has been received yet', addresses: [], retryAfterMs: 1000 })
  const header = req.headers.authorization ?? ''
  const digest = contracts.sha256(header.startsWith('Bearer ') ? header.slice(7, 600) : '')
  for (const [id, spec] of Object.entries(opts.machine.document()?.operators ?? {})) {
    if (spec.tokens.some(tokenDigest => contracts.isSameSecret(tokenDigest, digest))) return id
  }
  throw new contracts.FailureError({ kind: 'unauthenticated', what: 'The bearer token does not belong to an operator' })
}

/** Reads a body of up to the size of a document. @throws FailureError if it is larger, does not end, or there is no room for it */
async function readBody ({ held }: HandlerOptions, req: http.IncomingMessage, res: http.ServerResponse): Promise<Buffer> {
  const holder = held.open()
  res.once('close', holder.release)
  const read = await links.readRequestBody(req, { maxBytes: contracts.MAX_DOCUMENT_BYTES, holder })
  switch (read.kind) {
    case 'complete': return read.body
    case 'tooLarge': throw new contracts.FailureError({ kind: 'body_too_large', limitBytes: contracts.MAX_DOCUMENT_BYTES })
    case 'noRoom': throw new contracts.FailureError({ kind: 'overloaded', retryAfterMs: NO_ROOM_RETRY_MS })
    case 'broken': throw new contracts.FailureError({ kind: 'cancelled', ran: 'no' })
  }
}

async function readDocument (opts: HandlerOptions, req: http.IncomingMessage, res: http.ServerResponse): Promise<unknown> {
  const parsed = contracts.input.parseJson(await readBody(opts, req, res), DOCUMENT_LIMITS)
  if (parsed.kind === 'invalid') throw new contracts.FailureError({ kind: 'bad_request', detail: `The document cannot be read: ${parsed.message}` })
  return parsed.value
}

async function getDocument (opts: OperatorServerOptions, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
  authenticateOperator(opts, req)
  const reply = await opts.client.call('fleet', { t: 'documentGet' }, CALL_TIMEOUT_MS)
  if (reply.t !== 'document') throw new Error(`unexpected reply "${reply.t}" to documentGet`)
  sendJson(res, 200, { version: reply.version, document: reply.document })
}

/** Handles `PUT /v1/config?base=<version>&operation=<id>`. A retry with the same operation id returns the original result. */
async function putDocument (opts: HandlerOptions, req: http.IncomingMessage, res: http.ServerResponse, url: URL): Promise<void> {
  const operator = authenticateOperator(opts, req)
  const baseVersion = Number(url.searchParams.get('base') ?? NaN)
  const operation = url.searchParams.get('operation') ?? ''
  if (!Number.isInteger(baseVersion) || operation === '' || operation.length > MAX_OPERATION_ID_LENGTH) {
    throw new contracts.FailureError({ kind: 'bad_request', detail: `The query parameters base (integer: the version that the document is based on) and operation (id of 1 to ${MAX_OPERATION_ID_LENGTH} characters) are required: PUT /v1/config?base=<version>&operation=<id>.` })
  }
  const reply = await opts.client.call('fleet', { t: 'documentPut', operator, operation, baseVersion, document: await readDocument(opts, req, res) }, CALL_TIMEOUT_MS)
  switch (reply.t) {
    case 'put': sendJson(res, 200, { version: reply.version }); return
    case 'conflict': {
      const failure: contracts.Failure = { kind: 'conflict', baseVersion, currentVersion: reply.currentVersion }
      sendJson(res, 409, { ...contracts.toErrorBody(failure), current: { version: reply.currentVersion, document: reply.document } })
      return
    }
    case 'invalid': throw new contracts.FailureError({ kind: 'invalid_document', faults: reply.faults })
    default: throw new Error(`unexpected reply "${reply.t}" to documentPut`)
  }
}

async function checkDocument (opts: HandlerOptions, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
  authenticateOperator(opts, req)
  const validation = contracts.checkDocument(await readDocument(opts, req, res))
  sendJson(res, 200, validation.kind === 'valid' ? { valid: true, faults: [] } : { valid: false, faults: validation.faults })
}

async function getHistory (opts: OperatorServerOptions, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
  authenticateOperator(opts, req)
  const reply = await opts.client.call('fleet', { t: 'documentHistory' }, CALL_TIMEOUT_MS)
  if (reply.t !== 'history') throw new Error(`unexpected reply "${reply.t}" to documentHistory`)
  sendJson(res, 200, { items: reply.items })
}

async function getStatus (opts: OperatorServerOptions, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
  authenticateOperator(opts, req)
  const reply = await opts.client.call('fleet', { t: 'status' }, CALL_TIMEOUT_MS)
  if (reply.t !== 'status') throw new Error(`unexpected reply "${reply.t}" to status`)
  sendJson(res, 200, reply.status)
}

const HEALTH_TIMEOUT_MS = 1500
const healthBody = z.object({ owned: z.array(contracts.endpointStatus) })

/** Collects endpoint status from the owners' health bodies, omitting instances that do not answer in time. */
async function getEndpoints (opts: OperatorServerOptions, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
  authenticateOperator(opts, req)
  const lists = await Promise.all(opts.machine.instances().map(async instance => {
    try {
      const reply = await undici.request(`${instance.url}/health`, { signal: AbortSignal.timeout(HEALTH_TIMEOUT_MS) })
      return healthBody.parse(await reply.body.json()).owned.map(item => ({ ...item, owner: instance.id }))
    } catch {
      return []
    }
  }))
  sendJson(res, 200, { endpoints: lists.flat() })
}
