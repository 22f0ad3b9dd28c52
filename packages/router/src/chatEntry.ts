/** The entry of chats: reads the request, places it, follows its answer to the end, and takes it up again when it breaks. */
import * as contracts from '@kingcupdeck/contracts'
import * as answers from './answer.js'
import type * as auths from './auth.js'
import * as chatRequest from './chatRequest.js'
import type * as context from './entryContext.js'
import * as helpers from './http.js'
import * as ids from './ids.js'
import * as placement from './placement.js'

/** After this many attempts a request ends in an error, whatever the retry budget says. */
const MAX_ATTEMPTS = 5
const UNAVAILABLE = 503

/**
 * Serves `POST /v1/chat/completions`.
 * @param ctx the entry instance
 * @param exchange the caller's request
 * @param account who calls
 */
export async function serveChat (ctx: context.EntryContext, exchange: helpers.Exchange, account: auths.Account): Promise<void> {
  const body = await helpers.readBody(exchange.req, ctx.maxBodyBytes)
  const chat = chatRequest.parseChat(helpers.parseJson(body))
  const doc = ctx.requireDocument()
  const model = doc.models[chat.model]
  if (model === undefined || !account.spec.services.includes(model.service)) throw new contracts.FailureError({ kind: 'unknown_model', model: chat.model })
  ctx.enforceRateLimit(account)
  const run = createRun(ctx, exchange, account, chat, model.service, body)
  await followToEnd(ctx, run)
}

interface Run {
  exchange: helpers.Exchange
  account: auths.Account
  priority: string
  startedAt: number
  answer: answers.PartialAnswer
  writer: answers.AnswerWriter
  request: placement.PlacementRequest
  /** Whether an endpoint may have begun it. */
  isReached: boolean
  /** The endpoint that serves it now, for the header of the answer. */
  served: { engine: string }
}

function createRun (ctx: context.EntryContext, exchange: helpers.Exchange, account: auths.Account, chat: contracts.ChatRequest, service: string, body: Buffer): Run {
  const { priority, rank, patienceMs } = ctx.toUrgency(exchange, account)
  const startedAt = performance.now()
  const chatKey = chatRequest.toChatKey(exchange, account.id, chat)
  const served = { engine: '' }
  const writer = timeTokens(ctx, account.id, priority, startedAt, createWriter(exchange, chat, served))
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

/** Notes the first token and the time between tokens on their way to the caller. */
function timeTokens (ctx: context.EntryContext, accountId: string, priority: string, startedAt: number, writer: answers.AnswerWriter): answers.AnswerWriter {
  let lastAt: number | undefined
  const account = ctx.metrics.toAccountLabel(accountId)
  const between = ctx.metrics.betweenTokens.labels({ priority })
  return {
    write (data) {
      const now = performance.now()
      if (lastAt === undefined) ctx.metrics.firstToken.observe({ account, priority }, (now - startedAt) / 1000)
      else between.observe((now - lastAt) / 1000)
      lastAt = now
      writer.write(data)
    },
    finish: writer.finish
  }
}

async function followToEnd (ctx: context.EntryContext, run: Run): Promise<void> {
  const { request } = run
  ctx.budget.deposit()
  let placed = await placeOrThrow(ctx, run)
  for (let attemptNo = 1; ; attemptNo++) {
    run.served.engine = placed.endpoint
    ctx.placer.adjustInFlight(placed.endpoint, 1)
    const { attempt } = placed
    request.signal.addEventListener('abort', attempt.interrupt)
    if (request.signal.aborted) attempt.interrupt()
    const end = await follow(ctx, run, placed).finally(() => {
      request.signal.removeEventListener('abort', attempt.interrupt)
      attempt.close()
      ctx.placer.adjustInFlight(placed.endpoint, -1)
    })
    if (end.kind === 'whole') return
    if (end.kind === 'failed') throw new contracts.FailureError(end.failure)
    request.trace.record('broke', `${placed.endpoint} by ${placed.owner.id}: ${end.why}`)
    const isAllowed = attemptNo < MAX_ATTEMPTS && (end.isFree || ctx.budget.tryWithdraw())
    if (!isAllowed) throw new contracts.FailureError(toLost(run, end.why))
    placed = await reattach(ctx, run, placed, end) ?? await placeOrThrow(ctx, run)
  }
}

function toLost (run: Run, why: string): contracts.Failure {
  if (run.answer.nextEventIndex() > 0) return { kind: 'answer_cut', detail: why }
  return { kind: 'endpoint_lost', ran: run.isReached ? 'unknown' : 'no', detail: why }
}

async function placeOrThrow (ctx: context.EntryContext, run: Run): Promise<placement.Placed> {
  const placed = await ctx.placer.place(run.request)
  if (placed.kind === 'placed') return placed
  const { failure } = placed
  const isTrue = !run.isReached || contracts.toRan(failure) !== 'no'
  if (isTrue) {
    ctx.invariants.check('notRunIsTrue', !run.isReached, () => run.exchange.requestId)
    throw new contracts.FailureError(failure)
  }
  if (failure.kind === 'request_quarantined') throw new contracts.FailureError({ ...failure, ran: 'unknown' })
  // An endpoint had it before: that nobody takes it now does not mean that it did not run.
  throw new contracts.FailureError(toLost(run, contracts.describe(failure)))
}

type FollowEnd =
  | { kind: 'whole' }
  | { kind: 'failed', failure: contracts.Failure }
  | { kind: 'broke', why: string, isFree: boolean, isLinkLost: boolean }

async function follow (ctx: context.EntryContext, run: Run, placed: placement.Placed): Promise<FollowEnd> {
  const { answer, request } = run
  while (true) {
    const event = await placed.attempt.next()
    switch (event.t) {
      case 'callerGone':
        void ctx.attempts.cancel(placed.owner, placed.attempt.id)
        return { kind: 'failed', failure: { kind: 'cancelled', ran: 'unknown' } }
      case 'chunk':
        run.isReached = true
        ctx.invariants.check('attemptMatch', event.attempt === placed.attempt.id, () => `${event.attempt} in ${placed.attempt.id}`)
        if (answer.append(event.n, event.data) === 'gap') return { kind: 'broke', why: `event ${event.n} where ${answer.nextEventIndex()} was due`, isFree: false, isLinkLost: false }
        break
      case 'done':
        ctx.invariants.check('answerOrder', event.count === answer.nextEventIndex(), () => `${answer.nextEventIndex()} events of ${event.count}`)
        run.writer.finish()
        noteDone(ctx, run, event)
        return { kind: 'whole' }
      case 'declined':
        if (event.reason === 'connect_refused') request.excluded.add(placed.endpoint)
        return { kind: 'broke', why: `declined: ${event.reason}`, isFree: true, isLinkLost: false }
      case 'lost':
        run.isReached = true
        return onLost(ctx, run, placed, event)
      case 'linkLost':
        // Whether the owner went on with it is not known.
        run.isReached = true
        return { kind: 'broke', why: `the link to ${placed.owner.id} was lost`, isFree: true, isLinkLost: true }
      default: break
    }
  }
}

function onLost (ctx: context.EntryContext, run: Run, placed: placement.Placed, event: Extract<contracts.PeerEvent, { t: 'lost' }>): FollowEnd {
  const { request } = run
  if (event.status !== undefined && event.status < 500) return { kind: 'failed', failure: { kind: 'endpoint_error', status: event.status, detail: event.detail } }
  request.excluded.add(placed.endpoint)
  if (event.death !== undefined) {
    ctx.suspects.record(request.fingerprint, event.death)
    request.isSuspect = true
  }
  // An engine that says itself that it cannot take the request costs no retry.
  return { kind: 'broke', why: event.detail, isFree: event.status === UNAVAILABLE, isLinkLost: false }
}

/** After a lost link, the owner may still have the attempt: the same attempt id takes it up where it was. */
async function reattach (ctx: context.EntryContext, run: Run, placed: placement.Placed, end: Extract<FollowEnd, { kind: 'broke' }>): Promise<placement.Placed | undefined> {
  if (!end.isLinkLost) return undefined
  const isStillThere = ctx.member.views.find(placed.owner.id)?.incarnation === placed.owner.incarnation
  if (!isStillThere) return undefined
  const tried = await ctx.placer.tryEndpoint(run.request, placed.endpoint, { waitMs: 0, importFrom: undefined, attemptId: placed.attempt.id })
  return tried.kind === 'placed' ? tried : undefined
}

function noteDone (ctx: context.EntryContext, run: Run, event: Extract<contracts.PeerEvent, { t: 'done' }>): void {
  const account = ctx.metrics.toAccountLabel(run.account.id)
  ctx.metrics.duration.observe({ account, priority: run.priority }, (performance.now() - run.startedAt) / 1000)
  ctx.metrics.requests.inc({ account, outcome: 'answered' })
  ctx.metrics.promptTokens.inc({ cached: 'yes' }, event.cachedTokens)
  ctx.metrics.promptTokens.inc({ cached: 'no' }, Math.max(0, event.promptTokens - event.cachedTokens))
  run.request.trace.record('answered', `${event.count} events, ${event.cachedTokens} of ${event.promptTokens} prompt tokens from the cache`)
}
