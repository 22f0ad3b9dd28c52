/**
 * Sends a request to endpoints until one responds or no further attempt is allowed, and relays the response. A request that may run
 * only once is never retried after an endpoint may have started to run it, and is reported as not run only if no endpoint ran it.
 *
 * While an endpoint is silent, a repeatable request is sent to a responsive one too. The first attempt stays open until another one has
 * a response for the client; then the others are aborted.
 */
import * as links from '@kingcupdeck/links'
import type * as attempts from './attempt.js'
import * as attemptRecorders from './attemptRecorder.js'
import * as attemptWatchdogs from './attemptWatchdog.js'
import * as clientCalls from './clientCall.js'
import * as clientResponses from './clientResponse.js'
import * as crashQuarantines from '../quarantine/crashQuarantine.js'
import type * as endpointPools from '../endpoints/endpointPool.js'
import * as openAttempts from './openAttempt.js'
import * as outgoingRequests from './outgoingRequest.js'
import * as priorities from '../admission/priority.js'
import * as queueDelays from '../placement/queueDelay.js'
import * as relayStreams from '../streams/relayStream.js'
import * as requestStates from './requestState.js'
import * as resumeStreams from '../streams/resumeStream.js'
import * as retryBudgets from './retryBudget.js'
import * as selectEndpoints from '../placement/selectEndpoint.js'
import * as silenceTimers from '../streams/silenceTimer.js'

/** Time after which the response to a retryable request is overdue, as a share of the remaining time. */
const RESPONSE_TIMEOUT_SHARE = 0.4
/** Time after which a retryable stream is overdue, as a multiple of the target latency. */
const STREAM_TIMEOUT_TARGETS = 2

/** Next step after an attempt. */
type Next =
  /** Try another endpoint. */
  | { kind: 'retry' }
  /** Fail the request; `delayMs` is the lowest queue delay if the endpoints are overloaded. */
  | { kind: 'fail', why: string, delayMs?: number }
  /** The response was sent, or the client disconnected. */
  | { kind: 'done', outcome: string }

/** One attempt at an endpoint. */
interface Attempt {
  call: clientCalls.ClientCall
  state: requestStates.RequestState
  selected: selectEndpoints.SelectedEndpoint
  sent: attemptRecorders.SentRequest
  remainingMs: number
}

/** Events of the open attempts of a request. */
type AttemptEvent =
  | { kind: 'ended', attempt: Attempt, result: openAttempts.OpenResult }
  /** The endpoint of an attempt is silent; repeated while it is. */
  | { kind: 'silent', attempt: Attempt }
  /** An attempt threw an error. */
  | { kind: 'failed', attempt: Attempt, err: unknown }

/** Forwards an admitted request and returns the outcome for the log. */
export async function forward (call: clientCalls.ClientCall): Promise<string> {
  const { ctx } = call
  ctx.retryBudget(call.service).recordRequest(ctx.now())
  const state = requestStates.createRequestState()
  while (true) {
    const begun = await beginAttempt(call, state)
    const next = 'kind' in begun ? begun : await awaitResponse(begun)
    switch (next.kind) {
      case 'done': return next.outcome
      case 'fail': return clientResponses.sendFailure(call, state.fallback, next.why, next.delayMs)
      case 'retry':
        if (state.sends >= selectEndpoints.MAX_SENDS) return clientResponses.sendFailure(call, state.fallback, 'no endpoint accepted the request')
    }
  }
}

/** Selects an endpoint and begins an attempt. */
async function beginAttempt (call: clientCalls.ClientCall, state: requestStates.RequestState): Promise<Attempt | Next> {
  const { ctx, route } = call
  if (!requestStates.mayRun(route, state.runs)) return { kind: 'fail', why: 'no further attempt is allowed' }
  // Also before a retry: the request may have crashed further endpoints meanwhile, here or at another instance.
  if (ctx.quarantine.isQuarantined(call.fingerprint, ctx.now())) return failQuarantined(call)
  const remainingMs = call.deadlineAt - ctx.now()
  if (call.aborter.signal.aborted || remainingMs < clientResponses.MIN_REMAINING_MS) return { kind: 'fail', why: 'the deadline has passed' }
  const selected = selectEndpoints.selectEndpoint(call, state.tried, toDelayLimitMs(call))
  if (selected.kind === 'busy') return { kind: 'fail', why: `the endpoints are overloaded, the queue delay is ${Math.round(selected.delayMs)} ms`, delayMs: selected.delayMs }
  if (selected.kind === 'none') return await requestStates.awaitVerdicts(call, state) ? { kind: 'retry' } : { kind: 'fail', why: toUnavailableReason(call, state) }
  // Every send after the first one is charged to the retry budget: retries during an outage must not overload the other endpoints.
  if (state.sends > 0 && !ctx.retryBudget(call.service).trySpend(ctx.now(), ctx.gossip.instanceCount())) return { kind: 'fail', why: 'the retry budget is exhausted' }
  return createAttempt(call, state, selected)
}

/**
 * Begins an attempt at a responsive endpoint beside those whose endpoints are silent, if that is allowed and there is one.
 * @param open number of attempts whose result is not known yet
 */
function beginHedge (call: clientCalls.ClientCall, state: requestStates.RequestState, open: number): Attempt | undefined {
  const { ctx, route } = call
  if (call.aborter.signal.aborted || call.deadlineAt - ctx.now() < clientResponses.MIN_REMAINING_MS) return undefined
  if (state.sends + open >= selectEndpoints.MAX_SENDS || !requestStates.mayRun(route, state.runs + open)) return undefined
  // The silent endpoint may have crashed because of the request.
  if (ctx.quarantine.isSuspected(call.fingerprint) || ctx.quarantine.isQuarantined(call.fingerprint, ctx.now())) return undefined
  const selected = selectEndpoints.selectResponsive(call, state.tried, toDelayLimitMs(call))
  if (selected === undefined || !ctx.retryBudget(call.service).trySpend(ctx.now(), ctx.gossip.instanceCount(), retryBudgets.HEDGE_SHARE)) return undefined
  return createAttempt(call, state, selected)
}

function createAttempt (call: clientCalls.ClientCall, state: requestStates.RequestState, selected: selectEndpoints.SelectedEndpoint): Attempt {
  return {
    call,
    state,
    selected,
    sent: selectEndpoints.recordSend(call, state.tried, selected),
    remainingMs: call.deadlineAt - call.ctx.now()
  }
}

function toUnavailableReason (call: clientCalls.ClientCall, state: requestStates.RequestState): string {
  const { pool, now } = call.ctx
  if (state.tried.size > 0) return 'no further endpoint is available'
  if (pool.usable(call.service, now()).length > 0) return 'the endpoints accept no further requests of this instance'
  const isKnown = pool.all().some(item => item.record.service === call.service)
  return isKnown ? 'no endpoint of the service is reachable' : 'the service has no known endpoint'
}

function failQuarantined (call: clientCalls.ClientCall): Next {
  const why = crashQuarantines.QUARANTINED_WHY
  if (call.mayHaveRun) return { kind: 'fail', why }
  return { kind: 'done', outcome: clientResponses.sendRefusal(call, { kind: 'unavailable', why, cause: { kind: 'quarantined' } }) }
}

/** Waits for the response of an attempt, or of one that is begun while its endpoint is silent, and sends it to the client. */
async function awaitResponse (first: Attempt): Promise<Next> {
  const { call, state } = first
  const mailbox = links.createMailbox<AttemptEvent>()
  const open = new Set<Attempt>()

  const start = (attempt: Attempt, onHeaders: (response: attempts.OpenResponse) => void): void => {
    open.add(attempt)
    const onSilent = (): void => { mailbox.put({ kind: 'silent', attempt }) }
    void send(attempt, onSilent, onHeaders).then(
      result => { mailbox.put({ kind: 'ended', attempt, result }) },
      err => { mailbox.put({ kind: 'failed', attempt, err }) }
    )
  }

  const startHedge = (silent: Attempt): void => {
    const hedge = beginHedge(call, state, open.size)
    if (hedge === undefined) return
    logHedge(silent, hedge)
    start(hedge, response => {
      if (!outgoingRequests.isEventStream(response.res)) return
      const timer = setTimeout(() => { if (open.size > 1) hedge.sent.abort(relayStreams.NO_EVENT_WHY) }, relayStreams.MAX_OVERLAP_MS)
      response.res.once('close', () => { clearTimeout(timer) })
    })
  }

  const abandonOpen = (): void => {
    for (const attempt of open) abandon(attempt)
    open.clear()
  }

  start(first, () => {})
  try {
    let next: Next = { kind: 'retry' }
    while (open.size > 0) {
      const event = await mailbox.take()
      const { attempt } = event
      if (!open.has(attempt)) continue
      switch (event.kind) {
        case 'silent': startHedge(attempt); break
        case 'failed': throw event.err
        case 'ended':
          open.delete(attempt)
          try {
            if (event.result.kind === 'stream') {
              abandonOpen()
              return await forwardStream(attempt, event.result.source)
            }
            next = handleResult(attempt, event.result)
          } finally {
            attempt.sent.release()
          }
          if (next.kind === 'done') return next
      }
    }
    return next
  } finally {
    abandonOpen()
  }
}

/** Aborts an attempt that is not needed any more. */
function abandon (attempt: Attempt): void {
  record(attempt, 'abandoned')
  attempt.sent.abort('another endpoint responded first')
  attempt.sent.release()
}

function logHedge ({ call, sent }: Attempt, hedge: Attempt): void {
  const { ctx } = call
  ctx.log.event('responseSilent', { request: call.attemptId, endpoint: sent.endpoint.id, via: sent.via, ms: Math.round(ctx.now() - sent.sentAt), hedge: hedge.selected.endpoint.id })
}

/** Makes an attempt, and reports while its endpoint is silent. */
async function send (attempt: Attempt, onSilent: () => void, onHeaders: (response: attempts.OpenResponse) => void): Promise<openAttempts.OpenResult> {
  const { call, state, selected, sent, remainingMs } = attempt
  const { endpoint, sentAt } = sent
  const { ctx, route } = call
  const pending = endpoint.queueDelay.onSent(sentAt)
  const timeoutMs = toResponseTimeoutMs(call, remainingMs)
  let headersAt: number | undefined
  const isOverdue = (): boolean => {
    if (headersAt !== undefined) return ctx.now() - headersAt >= silenceTimers.STALL_TIMEOUT_MS
    return ctx.now() - sentAt >= timeoutMs && !isQueued(call, endpoint, pending)
  }
  const stopWatchdog = attemptWatchdogs.startWatchdog({
    sent,
    probeDelayMs: attemptWatchdogs.toProbeDelayMs(route.targetMs),
    isOverdue,
    onUnreachable (failure) { void attemptRecorders.recordUnreachable(ctx, endpoint, failure) },
    onSilent,
    onEnded: sent.abort,
    now: ctx.now
  })
  const result = await openAttempts.openAttempt({
    call,
    state,
    selected,
    sent,
    remainingMs,
    onHeaders (response) {
      headersAt = ctx.now()
      endpoint.queueDelay.onResponse(pending, headersAt)
      onHeaders(response)
    }
  }).finally(stopWatchdog)
  if (headersAt === undefined) endpoint.queueDelay.onAbandoned(pending)
  return result
}

/** Handles the result of an attempt that is no stream. */
function handleResult (attempt: Attempt, result: Exclude<openAttempts.OpenResult, { kind: 'stream' }>): Next {
  const { call, state } = attempt
  switch (result.kind) {
    case 'unreachable':
      record(attempt, `unreachable: ${result.why}`)
      return { kind: 'retry' }
    case 'notRun':
      record(attempt, `notRun ${result.status}`)
      // The next brittle endpoint would have to reject the request too.
      if (result.brittleLimit !== undefined && result.status !== 421) return { kind: 'fail', why: 'a brittle endpoint has no room' }
      return { kind: 'retry' }
    case 'aborted':
      record(attempt, `${result.isSent ? 'lost' : 'unreachable'}: ${result.why}`)
      if (call.aborter.signal.aborted && !result.isSent) return { kind: 'fail', why: 'the client left' }
      return afterLoss(attempt, result.why)
    case 'lost':
      record(attempt, `lost: ${result.why}`)
      return afterLoss(attempt, result.why)
    case 'complete': {
      const { response } = result
      const status = response.res.statusCode ?? 0
      record(attempt, String(status))
      attemptRecorders.recordCompleteResponse(call, attempt.sent, status)
      attemptRecorders.recordOutcome(call, attempt.sent.endpoint, isLate(attempt) || status >= 500)
      // A server error comes early, so there is time to retry at another endpoint; it is kept as the fallback response.
      if (status >= 500 && status !== 504 && requestStates.mayRun(call.route, state.runs)) {
        state.fallback = response
        return { kind: 'retry' }
      }
      return { kind: 'done', outcome: clientResponses.sendResponse(call, response) }
    }
  }
}

/** Relays an event stream, and resumes it at another endpoint if it breaks off. */
async function forwardStream (attempt: Attempt, source: openAttempts.StreamSource): Promise<Next> {
  const { call, state } = attempt
  call.firstByteAt = call.ctx.now()
  attemptRecorders.recordOutcome(call, source.sent.endpoint, isLate(attempt))
  const outcome = await relayStreams.relayStream(call, {
    source,
    resume: async opts => await resumeStreams.resumeStream(call, state, opts)
  })
  record(attempt, outcome)
  return { kind: 'done', outcome }
}

function afterLoss ({ call, state }: Attempt, why: string): Next {
  return requestStates.mayRun(call.route, state.runs) ? { kind: 'retry' } : { kind: 'fail', why }
}
function record (attempt: Attempt, outcome: string): void {
  attemptRecorders.recordAttempt(attempt.call, attempt.sent, outcome, attempt.selected.why)
}

function isLate (attempt: Attempt): boolean {
  const { call: { ctx, route }, sent: { sentAt } } = attempt
  return route.targetMs > 0 && ctx.now() - sentAt > route.targetMs
}

function toResponseTimeoutMs (call: clientCalls.ClientCall, remainingMs: number): number {
  const timeoutMs = call.route.kind === 'stream' ? STREAM_TIMEOUT_TARGETS * call.route.targetMs : RESPONSE_TIMEOUT_SHARE * remainingMs
  return Math.min(remainingMs, timeoutMs)
}

function toDelayLimitMs (call: clientCalls.ClientCall): number {
  const { route, table } = call
  if (!route.hasPrompt) return Infinity
  return priorities.toQueueShare(table.ranks, call.accountRank, route.rank) * queueDelays.toDelayLimitMs(route.targetMs)
}

/**
 * Returns whether a slow request is still queued at its endpoint. Moving a queued request to another endpoint would process its prompt
 * twice and increase the overload.
 */
function isQueued (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, pending: queueDelays.PendingRequest): boolean {
  return call.route.hasPrompt && endpoint.queueDelay.classify(pending) === 'queued'
}
