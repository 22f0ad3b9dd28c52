/** Runs an admitted attempt on its endpoint: connects, rechecks admission, streams or calls, and handles failures. */
import * as undici from 'undici'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as membership from '@kingcupdeck/membership'
import * as routing from '@kingcupdeck/routing'
import * as telemetry from '@kingcupdeck/telemetry'
import * as boundedBodies from './boundedBody.js'
import * as engineStream from './engineStream.js'
import type * as ownedEndpoint from './ownedEndpoint.js'
import * as plainCall from './plainCall.js'
import type * as sessions from './session.js'

/** Inputs of {@link runSession}. */
export interface ExecutionOptions {
  endpoint: ownedEndpoint.OwnedEndpoint
  session: sessions.Session
  member: membership.Membership
  table: membership.EndpointTable
  suspects: routing.Suspects
  log: telemetry.Log
  metrics: telemetry.RouterMetrics
  invariants: telemetry.Invariants
  isKvImportEnabled: boolean
  /** Returns why the endpoint must not receive the attempt now, or undefined if it may. */
  findDeclineReason (): contracts.DeclineReason | undefined
  markGone (): void
  broadcastSuspects (fingerprints: readonly string[]): void
}

/** Result of an attempt at its owner; `declined` still has to be reported to the entry instance. */
export type SessionEnd = { kind: 'ended' } | { kind: 'declined', reason: contracts.DeclineReason }

/** Maximum number of times a broken stream is resumed on the same engine. */
const MAX_RESUMES = 3
const IMPORT_TIMEOUT_MS = 1500
const SERVER_ERROR = 500
const HEALTH_TIMEOUT_MS = 1000
/** Maximum size of a reply to a health or import call. */
const MAX_REPLY_BYTES = 64 * 1024
const DEFAULT_CALL_TIMEOUT_MS = 5000

/** Runs an admitted attempt to its end. */
export async function runSession (opts: ExecutionOptions): Promise<SessionEnd> {
  const { session } = opts
  if (session.msg.work.kind === 'plain') return await runPlain(opts)
  await importCache(opts)
  return await runChat(opts)
}

async function runChat (opts: ExecutionOptions): Promise<SessionEnd> {
  const { session, endpoint } = opts
  for (let resumes = 0; resumes <= MAX_RESUMES; resumes++) {
    const lease = await connect(opts, resumes > 0)
    if (lease === undefined) return reportLost(opts, await diagnose(opts), 'connecting to the endpoint failed')
    const declined = checkDispatch(opts)
    if (declined !== undefined) {
      lease.release()
      return declined
    }
    // Requests one event again: it may be the final event, which this owner must see itself.
    const lastEventId = session.nextChunk > 0 || resumes > 0 ? `${session.msg.attempt}.${Math.max(-1, session.nextChunk - 2)}` : undefined
    const end = await engineStream.runStream({ lease, session, lastEventId })
    switch (end.kind) {
      case 'whole':
        session.emit({ t: 'done', attempt: session.msg.attempt, count: session.nextChunk, promptTokens: end.promptTokens, cachedTokens: end.cachedTokens, tokens: end.tokens })
        countAttempt(opts, 'whole')
        return { kind: 'ended' }
      case 'aborted':
        void cancelAtEngine(opts)
        countAttempt(opts, 'aborted')
        return { kind: 'ended' }
      case 'error':
        // An engine that restarted since its last announcement has lost its models. It would fail requests fast, appear
        // idle and attract more of them, so it is probed, which marks it as gone if it restarted.
        if (end.status >= SERVER_ERROR) await diagnose(opts)
        session.emit({ t: 'lost', attempt: session.msg.attempt, detail: end.detail, status: end.status })
        countAttempt(opts, 'error')
        return { kind: 'ended' }
      case 'silent':
        opts.log.event('streamSilent', { endpoint: endpoint.id, request: session.msg.request })
        endpoint.client.closeIdle()
        break
      case 'cut':
      case 'crossed':
        break
    }
    countAttempt(opts, end.kind)
    session.isBroken = true
    const probeResult = await diagnose(opts)
    if (probeResult !== 'alive') return reportLost(opts, probeResult, `stream ${end.kind}`)
    session.isBroken = false
  }
  return reportLost(opts, 'alive', `stream failed ${MAX_RESUMES + 1} times`)
}

async function runPlain (opts: ExecutionOptions): Promise<SessionEnd> {
  const { session, endpoint, member } = opts
  const { work } = session.msg
  if (work.kind !== 'plain') throw new Error(`expected work of kind plain, got ${work.kind}`)
  const service = member.document()?.services[session.msg.service]
  const spec = service?.kind === 'plain' ? service.calls[work.call] : undefined
  const timeoutMs = spec === undefined ? DEFAULT_CALL_TIMEOUT_MS : spec.timeoutSeconds * 1000
  for (let tries = 0; ; tries++) {
    const lease = await connect(opts, !work.idempotent || tries > 0)
    if (lease === undefined) return reportLost(opts, await diagnose(opts), 'connecting to the endpoint failed')
    const declined = checkDispatch(opts)
    if (declined !== undefined) {
      lease.release()
      return declined
    }
    const end = await plainCall.runPlainCall(lease, session, timeoutMs)
    countAttempt(opts, end.kind)
    if (end.kind === 'answer') {
      session.emit({ t: 'answer', attempt: session.msg.attempt, status: end.status, contentType: end.contentType, body: end.body })
      return { kind: 'ended' }
    }
    if (session.abort.signal.aborted) return { kind: 'ended' }
    if (end.kind === 'silent') endpoint.client.closeIdle()
    session.isBroken = true
    const probeResult = await diagnose(opts)
    session.isBroken = false
    if (!work.idempotent || probeResult !== 'alive' || tries > 0) return reportLost(opts, probeResult, end.kind === 'cut' ? end.detail : `no answer within ${timeoutMs} ms`)
  }
}

async function connect (opts: ExecutionOptions, isFresh: boolean): Promise<links.EndpointConnection | undefined> {
  try {
    return await opts.endpoint.client.acquire(isFresh)
  } catch {
    return undefined
  }
}

/**
 * Rechecks admission before the first byte is sent. Guards against a process that was suspended: meanwhile its lease may
 * have expired, or the endpoint may have a new owner or be leaving. Nothing is awaited between this check and the write.
 */
function checkDispatch (opts: ExecutionOptions): SessionEnd | undefined {
  const { session, invariants, endpoint, member } = opts
  if (session.abort.signal.aborted) return session.reached ? { kind: 'ended' } : { kind: 'declined', reason: 'void' }
  const reason = session.reached ? undefined : opts.findDeclineReason()
  if (reason !== undefined) return { kind: 'declined', reason }
  if (session.reached) return undefined
  invariants.check('leaseBeforeDispatch', member.leaseRemainingMs() > 0, () => `attempt ${session.msg.attempt} dispatched to ${endpoint.id} without a lease`)
  invariants.check('noWorkForLeaving', endpoint.announcement?.state === 'ready', () => `attempt ${session.msg.attempt} dispatched to ${endpoint.id}, which is leaving`)
  session.state = 'dispatched'
  session.reached = true
  return undefined
}

function reportLost (opts: ExecutionOptions, probeResult: ownedEndpoint.ProbeResult, detail: string): SessionEnd {
  const { session } = opts
  if (!session.reached) return { kind: 'declined', reason: 'connect_refused' }
  session.emit({ t: 'lost', attempt: session.msg.attempt, detail: `${detail}; endpoint ${probeResult}`, death: probeResult === 'died' ? toDeath(opts.endpoint) : undefined })
  return { kind: 'ended' }
}

/** Probes whether the endpoint died; attempts that fail at the same time share one probe. */
async function diagnose (opts: ExecutionOptions): Promise<ownedEndpoint.ProbeResult> {
  const { endpoint } = opts
  endpoint.pendingProbe ??= probeEndpoint(opts).then(probeResult => {
    endpoint.pendingProbe = undefined
    return probeResult
  })
  return await endpoint.pendingProbe
}

async function probeEndpoint (opts: ExecutionOptions): Promise<ownedEndpoint.ProbeResult> {
  const { endpoint, suspects, log } = opts
  const boot = endpoint.announcement?.boot
  const probeResult = await callHealth(endpoint.address, boot)
  if (probeResult === 'alive') return probeResult
  opts.markGone()
  if (probeResult !== 'died') return probeResult
  // Each request whose connection broke at the crash is a suspect, since the owner cannot determine which one caused it.
  // Requests sent to a process that started afterwards are not.
  const inFlight = [...endpoint.sessions].filter(session => session.isBroken)
  for (const session of inFlight) {
    suspects.record(session.msg.fingerprint, toDeath(endpoint))
    if (suspects.isQuarantined(session.msg.fingerprint)) log.event('requestQuarantined', { request: session.msg.request, endpoint: endpoint.id })
  }
  log.event('endpointDied', { endpoint: endpoint.id, inFlight: inFlight.length })
  if (inFlight.length > 0) opts.broadcastSuspects(inFlight.map(session => session.msg.fingerprint))
  return probeResult
}

/** Identifies a crash, so that it is counted once however many instances report it. */
function toDeath (endpoint: ownedEndpoint.OwnedEndpoint): string {
  return `${endpoint.id}@${endpoint.announcement?.boot ?? 0}`
}

async function callHealth (address: string, boot: number | undefined): Promise<ownedEndpoint.ProbeResult> {
  try {
    const res = await undici.request(`http://${address}/health`, { signal: AbortSignal.timeout(HEALTH_TIMEOUT_MS), reset: true })
    const body = await boundedBodies.readJson(res.body, MAX_REPLY_BYTES) as { boot?: number }
    return body.boot === undefined || body.boot === boot ? 'alive' : 'died'
  } catch (err) {
    const code = (err as { code?: string }).code
    return code === 'ECONNREFUSED' || code === 'ECONNRESET' || code === 'UND_ERR_SOCKET' ? 'died' : 'unresponsive'
  }
}

/** Has the engine fetch the chat's KV cache from the endpoint that last served it. After a failure the engine recomputes the prefill. */
async function importCache (opts: ExecutionOptions): Promise<void> {
  const { session, endpoint, table } = opts
  const { work } = session.msg
  if (work.kind !== 'chat' || work.importFrom === undefined || !opts.isKvImportEnabled || work.importFrom === endpoint.id) return
  const source = table.get(work.importFrom)
  if (source === undefined || source.state === 'gone') return
  try {
    const res = await undici.request(`http://${endpoint.address}/kv/import`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ chat: work.chat, from: source.address }),
      signal: AbortSignal.any([AbortSignal.timeout(IMPORT_TIMEOUT_MS), session.abort.signal])
    })
    const body = await boundedBodies.readJson(res.body, MAX_REPLY_BYTES) as { tokens?: number }
    opts.metrics.imports.inc({ outcome: (body.tokens ?? 0) > 0 ? 'imported' : 'nothing' })
  } catch {
    opts.metrics.imports.inc({ outcome: 'failed' })
  }
}

async function cancelAtEngine (opts: ExecutionOptions): Promise<void> {
  await undici.request(`http://${opts.endpoint.address}/cancel`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ attempt: opts.session.msg.attempt }),
    signal: AbortSignal.timeout(HEALTH_TIMEOUT_MS)
  }).then(async res => { await res.body.dump() }).catch(() => {})
}

function countAttempt (opts: ExecutionOptions, outcome: string): void {
  opts.metrics.attempts.inc({ outcome })
}
