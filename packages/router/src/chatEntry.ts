/** Handles chat completions: places the request on an endpoint, forwards the answer, and resumes it elsewhere after a failure. */
import * as contracts from '@kingcupdeck/contracts'
import * as answers from './answer.js'
import type * as auths from './auth.js'
import * as chatRequest from './chatRequest.js'
import * as context from './entryContext.js'
import * as helpers from './http.js'
import * as ids from './ids.js'
import * as placement from './placement.js'

/** Upper bound on attempts per request, independent of the retry budget. */
const MAX_ATTEMPTS = 5
const SERVICE_UNAVAILABLE = 503

/**
 * Serves `POST /v1/chat/completions`.
 * @throws FailureError if the request is invalid, cannot be placed or fails
 */
export async function serveChat (ctx: context.EntryContext, exchange: helpers.Exchange, account: auths.Account): Promise<void> {
  const body = await helpers.readBody(exchange, ctx.maxBodyBytes)
  const chat = chatRequest.parseChat(helpers.parseJson(body))
  const doc = ctx.requireDocument()
  const model = doc.models[chat.model]
  if (model === undefined || !account.spec.services.includes(model.service)) throw new contracts.FailureError({ kind: 'unknown_model', model: chat.model })
  ctx.enforceRateLimit(account)
  const run = createRun(ctx, exchange, account, chat, model.service, body)
  await runToCompletion(ctx, run)
}

interface Run {
  exchange: helpers.Exchange
  account: auths.Account
  priority: string
  startedAt: number
  answer: answers.PartialAnswer
  writer: answers.AnswerWriter
  request: placement.PlacementRequest
  /** Whether an endpoint may have started the request. */
  isReached: boolean
  /** The endpoint of the current attempt, for the response header. */
  served: { engine: string }
}

function createRun (ctx: context.EntryContext, exchange: helpers.Exchange, account: auths.Account, chat: contracts.ChatRequest, service: string, body: Buffer): Run {
  const { priority, rank, patienceMs } = ctx.toUrgency(exchange, account)
  const startedAt = performance.now()
  const chatKey = chatRequest.toChatKey(exchange, account.id, chat)
  const served = { engine: '' }
  const writer = measureTokenLatency(ctx, account.id, priority, startedAt, createWriter(exchange, chat, served))
  const answer = answers.createPartialAnswer(writer)
  const excluded = new Set<string>()
  const request: placement.PlacementRequest = {
    requestId: exchange.requestId,
    service,
    key: chatKey,
    fingerprint: ids.toFingerprint(service, body),
    account: account.id,
    accountWeight: account.spec.weight,
    rank,
    toBody: () => chatRequest.toEngineBody(chat, answer),
    patienceUntil: startedAt + patienceMs,
    model: chat.model,
    toWork: importFrom => ({ kind: 'chat', model: chat.model, chat: chatKey, importFrom, avoid: excluded.size > 0 ? [...excluded] : undefined, resumeFrom: answer.nextEventIndex() }),
    isIdempotent: true,
    isMultiTurn: chatRequest.isMultiTurn(chat),
    excluded,
    isSuspect: false,
    trace: ctx.traces.open(exchange.requestId),
    signal: ctx.watchCaller(exchange)
  }
  return { exchange, account, priority, startedAt, answer, writer, request, isReached: false, served }
}

function createWriter (exchange: helpers.Exchange, chat: contracts.ChatRequest, served: { engine: string }): answers.AnswerWriter {
  const headers = (): Record<string, string> => ({ [contracts.HEADERS.engine]: served.engine })
  if (chat.stream !== true) return answers.createJsonWriter(exchange, headers)
  return answers.createStreamWriter(exchange, chat.stream_options?.include_usage === true, headers)
}

/** Wraps a writer to record the time to first token and the time between tokens. */
function measureTokenLatency (ctx: context.EntryContext, accountId: string, priority: string, startedAt: number, writer: answers.AnswerWriter): answers.AnswerWriter {
  let lastAt: number | undefined
  const account = ctx.metrics.toAccountLabel(accountId)
  const betweenTokens = ctx.metrics.betweenTokens.labels({ priority })
  return {
    write (data) {
      const now = performance.now()
      if (lastAt === undefined) ctx.metrics.firstToken.observe({ account, priority }, (now - startedAt) / 1000)
      else betweenTokens.observe((now - lastAt) / 1000)
      lastAt = now
      writer.write(data)
    },
    finish: writer.finish
  }
}

async function runToCompletion (ctx: context.EntryContext, run: Run): Promise<void> {
  const { request } = run
  ctx.budget.deposit()
  let placed = await placeOrThrow(ctx, run)
  for (let attemptNo = 1; ; attemptNo++) {
    run.served.engine = placed.endpoint
    ctx.placer.adjustInFlight(placed.endpoint, 1)
    const { attempt } = placed
    request.signal.addEventListener('abort', attempt.interrupt)
    if (request.signal.aborted) attempt.interrupt()
    const end = await readEvents(ctx, run, placed).finally(() => {
      request.signal.removeEventListener('abort', attempt.interrupt)
      attempt.close()
      ctx.placer.adjustInFlight(placed.endpoint, -1)
    })
    if (end.kind === 'completed') return
    if (end.kind === 'failed') throw new contracts.FailureError(end.failure)
    request.trace.record('broke', `attempt on ${placed.endpoint} through owner ${placed.owner.id} failed: ${end.why}`)
    const isAllowed = attemptNo < MAX_ATTEMPTS && (end.isBudgetExempt || ctx.budget.tryWithdraw())
    if (!isAllowed) throw new contracts.FailureError(toLostFailure(run, end.why))
    placed = await reattach(ctx, run, placed, end) ?? await placeOrThrow(ctx, run)
  }
}

function toLostFailure (run: Run, why: string): contracts.Failure {
  if (run.answer.nextEventIndex() > 0) return { kind: 'answer_cut', detail: why }
  return { kind: 'endpoint_lost', ran: run.isReached ? 'unknown' : 'no', detail: why }
}

async function placeOrThrow (ctx: context.EntryContext, run: Run): Promise<placement.Placed> {
  const placed = await ctx.placer.place(run.request)
  if (placed.kind === 'placed') return placed
  const { failure } = placed
  const isAccurate = !run.isReached || contracts.toRan(failure) !== 'no'
  if (isAccurate) {
    ctx.invariants.check('notRunIsTrue', !run.isReached, () => `request ${run.exchange.requestId} was dispatched before but is reported as not run`)
    throw new contracts.FailureError(failure)
  }
  if (failure.kind === 'request_quarantined') throw new contracts.FailureError({ ...failure, ran: 'unknown' })
  // An earlier attempt may have run, so a failure to place the request again must not be reported as `ran: no`.
  throw new contracts.FailureError(toLostFailure(run, contracts.describe(failure)))
}

type AttemptEnd =
  | { kind: 'completed' }
  | { kind: 'failed', failure: contracts.Failure }
  /** `isBudgetExempt`: the next attempt is not charged to the retry budget. */
  | { kind: 'broke', why: string, isBudgetExempt: boolean, isLinkLost: boolean }

async function readEvents (ctx: context.EntryContext, run: Run, placed: placement.Placed): Promise<AttemptEnd> {
  const { answer, request } = run
  while (true) {
    const event = await placed.attempt.next()
    switch (event.t) {
      case 'callerGone':
        void ctx.attempts.cancel(placed.owner, placed.attempt.id)
        return { kind: 'failed', failure: { kind: 'cancelled', ran: 'unknown' } }
      case 'chunk':
        run.isReached = true
        ctx.invariants.check('attemptMatch', event.attempt === placed.attempt.id, () => `received chunk of attempt ${event.attempt} in attempt ${placed.attempt.id}`)
        if (answer.append(event.n, event.data) === 'gap') return { kind: 'broke', why: `received event ${event.n}, expected ${answer.nextEventIndex()}`, isBudgetExempt: false, isLinkLost: false }
        break
      case 'done':
        ctx.invariants.check('answerOrder', event.count === answer.nextEventIndex(), () => `request ${request.requestId}: received ${answer.nextEventIndex()} of ${event.count} events`)
        run.writer.finish()
        recordCompletion(ctx, run, event)
        return { kind: 'completed' }
      case 'declined':
        if (event.reason === 'connect_refused') request.excluded.add(placed.endpoint)
        return { kind: 'broke', why: `owner declined: ${event.reason}`, isBudgetExempt: true, isLinkLost: false }
      case 'lost':
        run.isReached = true
        return onLost(ctx, run, placed, event)
      case 'linkLost':
        // The owner may still be running the attempt.
        run.isReached = true
        return { kind: 'broke', why: `link to owner ${placed.owner.id} closed`, isBudgetExempt: true, isLinkLost: true }
      default: break
    }
  }
}

function onLost (ctx: context.EntryContext, run: Run, placed: placement.Placed, event: Extract<contracts.PeerEvent, { t: 'lost' }>): AttemptEnd {
  const { request } = run
  if (event.status !== undefined && event.status < 500) return { kind: 'failed', failure: { kind: 'endpoint_error', status: event.status, detail: event.detail } }
  request.excluded.add(placed.endpoint)
  if (event.death !== undefined) {
    ctx.suspects.record(request.fingerprint, event.death)
    request.isSuspect = true
  }
  // A rejection as unavailable is not charged to the retry budget.
  return { kind: 'broke', why: event.detail, isBudgetExempt: event.status === SERVICE_UNAVAILABLE, isLinkLost: false }
}

/** Reattaches to an attempt that its owner may still be running after the link to the owner closed. */
async function reattach (ctx: context.EntryContext, run: Run, placed: placement.Placed, end: Extract<AttemptEnd, { kind: 'broke' }>): Promise<placement.Placed | undefined> {
  if (!end.isLinkLost) return undefined
  const isSameIncarnation = ctx.member.views.find(placed.owner.id)?.incarnation === placed.owner.incarnation
  if (!isSameIncarnation) return undefined
  const tried = await ctx.placer.tryEndpoint(run.request, placed.endpoint, { waitMs: 0, importFrom: undefined, attemptId: placed.attempt.id })
  return tried.kind === 'placed' ? tried : undefined
}

function recordCompletion (ctx: context.EntryContext, run: Run, event: Extract<contracts.PeerEvent, { t: 'done' }>): void {
  context.clearSuspicion(ctx, run.request.fingerprint)
  const account = ctx.metrics.toAccountLabel(run.account.id)
  ctx.metrics.duration.observe({ account, priority: run.priority }, (performance.now() - run.startedAt) / 1000)
  ctx.metrics.requests.inc({ account, outcome: 'answered' })
  ctx.metrics.promptTokens.inc({ cached: 'yes' }, event.cachedTokens)
  ctx.metrics.promptTokens.inc({ cached: 'no' }, Math.max(0, event.promptTokens - event.cachedTokens))
  run.request.trace.record('answered', `${event.count} events, ${event.cachedTokens} of ${event.promptTokens} prompt tokens from the cache`)
}
