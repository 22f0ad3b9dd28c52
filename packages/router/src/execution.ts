/** Runs an admitted attempt on its endpoint to the end: connection, last checks, stream or call, and what to do when it breaks. */
import * as undici from 'undici'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as membership from '@kingcupdeck/membership'
import * as routing from '@kingcupdeck/routing'
import * as telemetry from '@kingcupdeck/telemetry'
import * as engineStream from './engineStream.js'
import type * as ownedEndpoint from './ownedEndpoint.js'
import * as plainCall from './plainCall.js'
import type * as sessions from './session.js'

/** What running an attempt needs. */
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
  /** @returns why the endpoint takes no work now, or undefined if it does */
  findDeclineReason (): contracts.DeclineReason | undefined
  markGone (): void
  broadcastSuspects (fingerprints: readonly string[]): void
}

/** How an attempt ended for its owner; all but `declined` has been told to the entry instance. */
export type SessionEnd = { kind: 'ended' } | { kind: 'declined', reason: contracts.DeclineReason }

/** A stream that falls silent or is cut is taken up again this often on the same engine. */
const MAX_RESUMES = 3
const IMPORT_MS = 1500
const SERVER_ERROR = 500
const HEALTH_MS = 1000
const DEFAULT_CALL_MS = 5000

/**
 * Runs an admitted attempt.
 * @param opts the attempt, its endpoint and the checks
 * @returns how it ended
 */
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
    if (lease === undefined) return endLost(opts, await judge(opts), 'the endpoint cannot be connected to')
    const obstacle = checkDispatch(opts)
    if (obstacle !== undefined) {
      lease.release()
      return obstacle
    }
    // One event is asked for again: it may be the finish, which this owner must have seen itself.
    const lastEvent = session.nextChunk > 0 || resumes > 0 ? `${session.msg.attempt}.${Math.max(-1, session.nextChunk - 2)}` : undefined
    const end = await engineStream.runStream({ lease, session, lastEventId: lastEvent })
    switch (end.kind) {
      case 'whole':
        session.emit({ t: 'done', attempt: session.msg.attempt, count: session.nextChunk, promptTokens: end.promptTokens, cachedTokens: end.cachedTokens, tokens: end.tokens })
        noteAttempt(opts, 'whole')
        return { kind: 'ended' }
      case 'aborted':
        void cancelAtEngine(opts)
        noteAttempt(opts, 'aborted')
        return { kind: 'ended' }
      case 'error':
        // An engine that was started anew since its last announcement has lost its models: it must not go on refusing
        // quickly and look idle by that.
        if (end.status >= SERVER_ERROR) await judge(opts)
        session.emit({ t: 'lost', attempt: session.msg.attempt, detail: end.detail, status: end.status })
        noteAttempt(opts, 'error')
        return { kind: 'ended' }
      case 'silent':
        opts.log.event('streamSilent', { endpoint: endpoint.id, request: session.msg.request })
        endpoint.client.closeIdle()
        break
      case 'cut':
      case 'crossed':
        break
    }
    noteAttempt(opts, end.kind)
    session.isBroken = true
    const verdict = await judge(opts)
    if (verdict !== 'alive') return endLost(opts, verdict, `stream ${end.kind}`)
    session.isBroken = false
  }
  return endLost(opts, 'alive', `stream broke ${MAX_RESUMES + 1} times`)
}

async function runPlain (opts: ExecutionOptions): Promise<SessionEnd> {
  const { session, endpoint, member } = opts
  const { work } = session.msg
  if (work.kind !== 'plain') throw new Error('not a plain call')
  const service = member.document()?.services[session.msg.service]
  const spec = service?.kind === 'plain' ? service.calls[work.call] : undefined
  const timeoutMs = spec === undefined ? DEFAULT_CALL_MS : spec.timeoutSeconds * 1000
  for (let tries = 0; ; tries++) {
    const lease = await connect(opts, !work.idempotent || tries > 0)
    if (lease === undefined) return endLost(opts, await judge(opts), 'the endpoint cannot be connected to')
    const obstacle = checkDispatch(opts)
    if (obstacle !== undefined) {
      lease.release()
      return obstacle
    }
    const end = await plainCall.runPlainCall(lease, session, timeoutMs)
    noteAttempt(opts, end.kind)
    if (end.kind === 'answer') {
      session.emit({ t: 'answer', attempt: session.msg.attempt, status: end.status, contentType: end.contentType, body: end.body })
      return { kind: 'ended' }
    }
    if (session.abort.signal.aborted) return { kind: 'ended' }
    if (end.kind === 'silent') endpoint.client.closeIdle()
    session.isBroken = true
    const verdict = await judge(opts)
    session.isBroken = false
    if (!work.idempotent || verdict !== 'alive' || tries > 0) return endLost(opts, verdict, end.kind === 'cut' ? end.detail : 'no answer in time')
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
 * The last look before the first byte goes out. Guards against a process that was frozen and thaws: it may have lost its
 * lease, the endpoint may have a new owner or be leaving. Nothing waits between this check and the write.
 */
function checkDispatch (opts: ExecutionOptions): SessionEnd | undefined {
  const { session, invariants, endpoint, member } = opts
  if (session.abort.signal.aborted) return session.reached ? { kind: 'ended' } : { kind: 'declined', reason: 'void' }
  const obstacle = session.reached ? undefined : opts.findDeclineReason()
  if (obstacle !== undefined) return { kind: 'declined', reason: obstacle }
  if (session.reached) return undefined
  invariants.check('leaseBeforeDispatch', member.leaseRemainingMs() > 0, () => `${session.msg.attempt} on ${endpoint.id} without a lease`)
  invariants.check('noWorkForLeaving', endpoint.announcement?.state === 'ready', () => `${session.msg.attempt} on ${endpoint.id}, which is leaving`)
  session.state = 'dispatched'
  session.reached = true
  return undefined
}

function endLost (opts: ExecutionOptions, verdict: ownedEndpoint.ProbeResult, detail: string): SessionEnd {
  const { session } = opts
  if (!session.reached) return { kind: 'declined', reason: 'connect_refused' }
  session.emit({ t: 'lost', attempt: session.msg.attempt, detail: `${detail}; endpoint ${verdict}`, death: verdict === 'died' ? toDeath(opts.endpoint) : undefined })
  return { kind: 'ended' }
}

/** Finds out, once for all attempts that broke together, whether the endpoint died. */
async function judge (opts: ExecutionOptions): Promise<ownedEndpoint.ProbeResult> {
  const { endpoint } = opts
  endpoint.pendingProbe ??= probe(opts).then(verdict => {
    endpoint.pendingProbe = undefined
    return verdict
  })
  return await endpoint.pendingProbe
}

async function probe (opts: ExecutionOptions): Promise<ownedEndpoint.ProbeResult> {
  const { endpoint, suspects, log } = opts
  const boot = endpoint.announcement?.boot
  const verdict = await askHealth(endpoint.address, boot)
  if (verdict === 'alive') return verdict
  opts.markGone()
  if (verdict !== 'died') return verdict
  // Everything that broke together is a suspect: the owner cannot tell which request it was, only that it was one of
  // these. What was sent to a process that was started since has no part in the death.
  const inFlight = [...endpoint.sessions].filter(session => session.isBroken)
  for (const session of inFlight) {
    suspects.record(session.msg.fingerprint, toDeath(endpoint))
    if (suspects.isQuarantined(session.msg.fingerprint)) log.event('requestQuarantined', { request: session.msg.request, endpoint: endpoint.id })
  }
  log.event('endpointDied', { endpoint: endpoint.id, inFlight: inFlight.length })
  if (inFlight.length > 0) opts.broadcastSuspects(inFlight.map(session => session.msg.fingerprint))
  return verdict
}

/** Names a death, so that the same one is counted once however many instances hear of it. */
function toDeath (endpoint: ownedEndpoint.OwnedEndpoint): string {
  return `${endpoint.id}@${endpoint.announcement?.boot ?? 0}`
}

async function askHealth (address: string, boot: number | undefined): Promise<ownedEndpoint.ProbeResult> {
  try {
    const res = await undici.request(`http://${address}/health`, { signal: AbortSignal.timeout(HEALTH_MS), reset: true })
    const body = await res.body.json() as { boot?: number }
    return body.boot === undefined || body.boot === boot ? 'alive' : 'died'
  } catch (err) {
    const code = (err as { code?: string }).code
    return code === 'ECONNREFUSED' || code === 'ECONNRESET' || code === 'UND_ERR_SOCKET' ? 'died' : 'unresponsive'
  }
}

/** Lets the engine fetch the chat's cache from where it last ran; a failure costs a prefill and nothing else. */
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
      signal: AbortSignal.any([AbortSignal.timeout(IMPORT_MS), session.abort.signal])
    })
    const body = await res.body.json() as { tokens?: number }
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
    signal: AbortSignal.timeout(HEALTH_MS)
  }).then(async res => { await res.body.dump() }).catch(() => {})
}

function noteAttempt (opts: ExecutionOptions, outcome: string): void {
  opts.metrics.attempts.inc({ outcome })
}
