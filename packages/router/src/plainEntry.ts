/**
 * Handles calls of plain services. A non-idempotent call goes through the ledger: its start is committed before the first
 * byte is sent to an endpoint, and its answer before it is returned to the caller.
 */
import * as contracts from '@kingcupdeck/contracts'
import type * as auths from './auth.js'
import * as context from './entryContext.js'
import * as helpers from './http.js'
import * as ids from './ids.js'
import type * as ledgerClient from './ledgerClient.js'
import * as placement from './placement.js'

const MAX_ATTEMPTS = 3
const SERVER_ERROR = 500
const OUTCOME_WAIT_MS = 4000
const OUTCOME_POLL_MS = 250
const LEDGER_RETRY_AFTER_MS = 2000

/** A call of a plain service; `priority` is the one that the document sets, if any. */
export interface PlainCall { service: string, call: string, isIdempotent: boolean, priority: string | undefined }

interface PlainAnswer { status: number, contentType: string, body: Uint8Array }

/**
 * Serves `/v1/services/{service}/{call}`.
 * @throws FailureError if the call is not allowed, cannot be placed or fails
 */
export async function servePlain (ctx: context.EntryContext, exchange: helpers.Exchange, account: auths.Account, service: string, call: string): Promise<void> {
  const spec = ctx.requireDocument().services[service]
  const isAllowed = account.spec.services.includes(service)
  const callSpec = spec?.kind === 'plain' && isAllowed ? spec.calls[call] : undefined
  if (callSpec === undefined) throw new contracts.FailureError({ kind: 'unknown_service', service: `${service}/${call}` })
  const body = await helpers.readBody(exchange, ctx.maxBodyBytes)
  ctx.enforceRateLimit(account)
  const plain: PlainCall = { service, call, isIdempotent: callSpec.idempotent, priority: callSpec.priority }
  const request = toRequest(ctx, exchange, account, plain, body)
  const answer = plain.isIdempotent
    ? await runOnEndpoint(ctx, request)
    : await runAtMostOnce(ctx, exchange, account, plain, request, body)
  ctx.metrics.requests.inc({ account: ctx.metrics.toAccountLabel(account.id), outcome: 'answered' })
  exchange.res.writeHead(answer.status, { 'content-type': answer.contentType, [contracts.HEADERS.requestId]: exchange.requestId, [contracts.HEADERS.ran]: 'yes' })
  exchange.res.end(answer.body)
}

function toRequest (ctx: context.EntryContext, exchange: helpers.Exchange, account: auths.Account, plain: PlainCall, body: Buffer): placement.PlacementRequest {
  const { rank, patienceMs } = ctx.toUrgency(exchange, account, plain.priority)
  const idempotencyKey = helpers.toHeader(exchange.req, contracts.HEADERS.idempotencyKey)
  const contentType = helpers.toHeader(exchange.req, 'content-type')
  // A non-idempotent call continues after its caller disconnects, so that its outcome is recorded.
  const signal = plain.isIdempotent ? ctx.watchCaller(exchange) : new AbortController().signal
  return {
    requestId: exchange.requestId,
    service: plain.service,
    key: idempotencyKey ?? exchange.requestId,
    fingerprint: ids.toFingerprint(`${plain.service}/${plain.call}`, body),
    account: account.id,
    accountWeight: account.spec.weight,
    rank,
    toBody: () => body,
    patienceUntil: performance.now() + patienceMs,
    model: undefined,
    toWork: () => ({ kind: 'plain', call: plain.call, method: exchange.req.method ?? 'POST', idempotent: plain.isIdempotent, idempotencyKey, contentType }),
    isIdempotent: plain.isIdempotent,
    isMultiTurn: false,
    excluded: new Set(),
    isSuspect: false,
    trace: ctx.traces.open(exchange.requestId),
    signal
  }
}

/** Runs a non-idempotent call at most once per idempotency key. */
async function runAtMostOnce (ctx: context.EntryContext, exchange: helpers.Exchange, account: auths.Account, plain: PlainCall, request: placement.PlacementRequest, body: Buffer): Promise<PlainAnswer> {
  const key = helpers.toHeader(exchange.req, contracts.HEADERS.idempotencyKey)
  if (key === undefined) throw new contracts.FailureError({ kind: 'key_required' })
  const checked = ids.checkIdempotencyKey(key)
  if (checked.kind === 'unusable') throw new contracts.FailureError({ kind: 'key_invalid', detail: checked.detail })
  const entry: ledgerClient.LedgerKey = { account: account.id, key, attempt: ids.createAttemptId() }
  const hash = contracts.sha256(Buffer.concat([Buffer.from(`${plain.service}/${plain.call}\n`), body]))
  const earlierAnswer = await beginInLedger(ctx, request, entry, hash)
  if (earlierAnswer !== undefined) return earlierAnswer
  let answer: PlainAnswer
  try {
    answer = await runOnEndpoint(ctx, request, entry)
  } catch (err) {
    if (contracts.toRan(contracts.toFailure(err)) === 'no') await ctx.ledger.abort(entry)
    throw err
  }
  await finishInLedger(ctx, request, entry, answer)
  return answer
}

/** Records the start. Returns the answer of an earlier call with the same key, or undefined if this is the first. */
async function beginInLedger (ctx: context.EntryContext, request: placement.PlacementRequest, entry: ledgerClient.LedgerKey, hash: string): Promise<PlainAnswer | undefined> {
  const deadline = performance.now() + OUTCOME_WAIT_MS
  while (true) {
    const state = await callLedgerBegin(ctx, entry, hash)
    request.trace.record('ledger', state.kind)
    switch (state.kind) {
      case 'begun': return undefined
      case 'finished':
        if (state.answer === null) throw new contracts.FailureError({ kind: 'answer_not_kept', finishedAt: new Date(state.finishedAt).toISOString() })
        return state.answer
      case 'reused': throw new contracts.FailureError({ kind: 'key_reused' })
      case 'expired': throw new contracts.FailureError({ kind: 'key_expired', retentionHours: state.retentionHours })
      case 'ahead': throw new contracts.FailureError({ kind: 'key_invalid', detail: 'its timestamp is in the future' })
      case 'started':
        if (performance.now() > deadline) throw new contracts.FailureError({ kind: 'outcome_unknown', startedAt: new Date(state.startedAt).toISOString() })
        await new Promise(resolve => setTimeout(resolve, OUTCOME_POLL_MS))
    }
  }
}

async function callLedgerBegin (ctx: context.EntryContext, entry: ledgerClient.LedgerKey, hash: string): Promise<contracts.LedgerKeyState> {
  try {
    return await ctx.ledger.begin(entry, hash)
  } catch {
    // Nothing was dispatched, but the record may have been committed. It is removed so that a resend can run.
    void ctx.ledger.abort(entry).catch(() => {})
    throw new contracts.FailureError({ kind: 'ledger_unavailable', ran: 'no', retryAfterMs: LEDGER_RETRY_AFTER_MS })
  }
}

async function finishInLedger (ctx: context.EntryContext, request: placement.PlacementRequest, entry: ledgerClient.LedgerKey, answer: PlainAnswer): Promise<void> {
  const { maxAnswerBytes } = ctx.requireDocument().ledger
  const isRecorded = await ctx.ledger.finish(entry, answer.body.length <= maxAnswerBytes ? answer : null)
  request.trace.record('ledger', isRecorded ? 'finished' : 'recording the answer failed')
}

async function runOnEndpoint (ctx: context.EntryContext, request: placement.PlacementRequest, recorded?: ledgerClient.LedgerKey): Promise<PlainAnswer> {
  let isReached = false
  for (let attemptNo = 1; ; attemptNo++) {
    // Without a committed record, a resend would run the call a second time.
    ctx.invariants.check('recordBeforeDispatch', request.isIdempotent || recorded !== undefined, () => `request ${request.requestId} dispatched without a ledger record`)
    const placed = await ctx.placer.place(request)
    if (placed.kind === 'failed') throw new contracts.FailureError(isReached ? { kind: 'endpoint_lost', ran: 'unknown', detail: contracts.describe(placed.failure) } : placed.failure)
    const end = await waitForAnswer(ctx, request, placed).finally(() => { placed.attempt.close() })
    if (end.kind === 'answer') return end.answer
    request.trace.record('broke', `attempt on ${placed.endpoint} failed: ${end.why}`)
    isReached ||= end.ran !== 'no'
    const isAllowed = attemptNo < MAX_ATTEMPTS && (end.ran === 'no' || (request.isIdempotent && ctx.budget.tryWithdraw()))
    if (!isAllowed) throw new contracts.FailureError({ kind: 'endpoint_lost', ran: isReached ? 'unknown' : 'no', detail: end.why })
    request.excluded.add(placed.endpoint)
  }
}

type PlainEnd = { kind: 'answer', answer: PlainAnswer } | { kind: 'broke', why: string, ran: contracts.Ran }

async function waitForAnswer (ctx: context.EntryContext, request: placement.PlacementRequest, placed: placement.Placed): Promise<PlainEnd> {
  while (true) {
    const event = await placed.attempt.next()
    switch (event.t) {
      case 'answer':
        if (event.status < SERVER_ERROR) context.clearSuspicion(ctx, request.fingerprint)
        return { kind: 'answer', answer: { status: event.status, contentType: event.contentType, body: event.body } }
      case 'declined': return { kind: 'broke', why: `owner declined: ${event.reason}`, ran: 'no' }
      case 'lost':
        if (event.death !== undefined) {
          ctx.suspects.record(request.fingerprint, event.death)
          request.isSuspect = true
        }
        return { kind: 'broke', why: event.detail, ran: 'unknown' }
      case 'linkLost': return { kind: 'broke', why: `link to owner ${placed.owner.id} closed`, ran: await ctx.attempts.cancel(placed.owner, placed.attempt.id) }
      default: break
    }
  }
}
