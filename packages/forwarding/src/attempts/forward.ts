/**
 * Sends a request to endpoints until one responds or no further attempt is allowed, and relays the response. A request that may run
 * only once is never retried after an endpoint may have started to run it, and is reported as not run only if no endpoint ran it.
 *
 * While an endpoint is silent, a repeatable request is sent to a responsive one too. The first attempt stays open until another one has
 * a response for the client; then the others are aborted.
 */
import * as links from '@kingcupdeck/links'
import * as attemptOutcomes from './attemptOutcome.js'
import * as attemptRecorders from './attemptRecorder.js'
import * as attemptWatchdogs from './attemptWatchdog.js'
import * as clientCalls from './clientCall.js'
import * as clientResponses from './clientResponse.js'
import * as crashEvidences from '../quarantine/crashEvidence.js'
import * as openAttempts from './openAttempt.js'
import * as priorities from '../admission/priority.js'
import * as queueDelays from '../placement/queueDelay.js'
import * as quarantineReasons from '../quarantine/quarantineReason.js'
import * as requestStates from './requestState.js'
import * as retryBudgets from './retryBudget.js'
import * as selectEndpoints from '../placement/selectEndpoint.js'
import * as silenceTimers from '../streams/silenceTimer.js'

/** Time after which the response to a retryable request is overdue, as a share of the remaining time. */
const RESPONSE_TIMEOUT_SHARE = 0.4
/** Time after which a retryable stream is overdue, as a multiple of the target latency. */
const STREAM_TIMEOUT_TARGETS = 2

/** Events of the open attempts of a request. */
type AttemptEvent =
  | { kind: 'ended', attempt: attemptOutcomes.Attempt, result: openAttempts.OpenResult }
  /** The endpoint of an attempt is silent; repeated while it is. */
  | { kind: 'silent', attempt: attemptOutcomes.Attempt }
  /** An attempt threw an error. */
  | { kind: 'failed', attempt: attemptOutcomes.Attempt, err: unknown }

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
        if (state.sends + state.unsendable >= selectEndpoints.MAX_SENDS) return clientResponses.sendFailure(call, state.fallback, 'no endpoint accepted the request')
    }
  }
}

/** Selects an endpoint and begins an attempt. Nothing is waited for in between: the limits of the endpoint count the attempts that have begun. */
async function beginAttempt (call: clientCalls.ClientCall, state: requestStates.RequestState): Promise<attemptOutcomes.Attempt | attemptOutcomes.Next> {
  const { ctx, route } = call
  if (!requestStates.mayRun(route, state.runs)) return { kind: 'fail', why: 'no further attempt is allowed' }
  // Also before a retry: the request may have crashed further endpoints meanwhile, here or at another instance.
  if (!state.holdsTrialPermit && ctx.quarantine.isQuarantined(call.suspects, ctx.now())) return failQuarantined(call)
  if (requestStates.isOver(call)) return { kind: 'fail', why: call.res.destroyed ? clientCalls.CLIENT_LEFT : 'the deadline has passed' }
  const selected = selectEndpoints.selectEndpoint(call, state.tried, toDelayLimitMs(call))
  if (selected.kind === 'busy') return { kind: 'fail', why: `the endpoints are overloaded, the queue delay is ${Math.round(selected.delayMs)} ms`, delayMs: selected.delayMs }
  if (selected.kind === 'none') return await requestStates.awaitVerdicts(call, state) ? { kind: 'retry' } : { kind: 'fail', why: toUnavailableReason(call, state) }
  // The permit is waited for, and limits and loads change meanwhile: the endpoint is selected again.
  if (requestStates.needsTrialPermit(call, state)) return await requestStates.requestTrialPermit(call, state) ? { kind: 'retry' } : failQuarantined(call)
  // Every send after the first one is charged to the retry budget: retries during an outage must not overload the other endpoints.
  if (state.sends > 0 && !requestStates.trySpendRetry(call)) return { kind: 'fail', why: 'the retry budget is exhausted' }
  return createAttempt(call, state, selected)
}

/**
 * Begins an attempt at a responsive endpoint beside those whose endpoints are silent, if that is allowed and there is one.
 * @param open number of attempts whose result is not known yet
 */
function beginHedge (call: clientCalls.ClientCall, state: requestStates.RequestState, open: number): attemptOutcomes.Attempt | undefined {
  const { ctx, route } = call
  if (requestStates.isOver(call) || state.sends + open >= selectEndpoints.MAX_SENDS || !requestStates.mayRun(route, state.runs + open)) return undefined
  // The silent endpoint may have crashed because of the request.
  if (ctx.quarantine.isSuspected(call.suspects) || ctx.quarantine.isQuarantined(call.suspects, ctx.now())) return undefined
  const selected = selectEndpoints.selectResponsive(call, state.tried, toDelayLimitMs(call))
  if (selected === undefined || !requestStates.trySpendRetry(call, retryBudgets.HEDGE_SHARE)) return undefined
  return createAttempt(call, state, selected)
}

function createAttempt (call: clientCalls.ClientCall, state: requestStates.RequestState, selected: selectEndpoints.SelectedEndpoint): attemptOutcomes.Attempt {
  return { call, state, selected, sent: selectEndpoints.recordSend(call, state.tried, selected) }
}

function toUnavailableReason (call: clientCalls.ClientCall, state: requestStates.RequestState): string {
  const { pool, now } = call.ctx
  if (state.tried.size > 0) return 'no further endpoint is available'
  if (pool.usable(call.service, now()).length > 0) return 'the endpoints accept no further requests of this instance'
  const isKnown = pool.all().some(item => item.record.service === call.service)
  return isKnown ? 'no endpoint of the service is reachable' : 'the service has no known endpoint'
}

function failQuarantined (call: clientCalls.ClientCall): attemptOutcomes.Next {
  const now = call.ctx.now()
  const verdict = call.ctx.quarantine.judge(call.suspects, now)
  const why = quarantineReasons.toQuarantineReason(verdict)
  if (call.mayHaveRun) return { kind: 'fail', why }
  const delayMs = verdict.kind === 'quarantined' ? verdict.until - now : crashEvidences.TRIAL_INTERVAL_MS
  return { kind: 'done', outcome: clientResponses.sendRefusal(call, { kind: 'unavailable', why, cause: { kind: 'quarantined', delayMs } }) }
}

/** Waits for the response of an attempt, or of one that is begun while its endpoint is silent, and sends it to the client. */
async function awaitResponse (first: attemptOutcomes.Attempt): Promise<attemptOutcomes.Next> {
  const { call, state } = first
  const mailbox = links.createMailbox<AttemptEvent>()
  const open = new Set<attemptOutcomes.Attempt>()

  const start = (attempt: attemptOutcomes.Attempt): void => {
    open.add(attempt)
    const onSilent = (): void => { mailbox.put({ kind: 'silent', attempt }) }
    // An attempt that is not the first one is aborted rather than working beside the others.
    void send(attempt, onSilent, () => attempt !== first && open.size > 1).then(
      result => { mailbox.put({ kind: 'ended', attempt, result }) },
      err => { mailbox.put({ kind: 'failed', attempt, err }) }
    )
  }

  const startHedge = (silent: attemptOutcomes.Attempt): void => {
    const hedge = beginHedge(call, state, open.size)
    if (hedge === undefined) return
    logHedge(silent, hedge)
    start(hedge)
  }

  const abandonOpen = (): void => {
    for (const attempt of open) abandon(attempt)
    open.clear()
  }

  start(first)
  try {
    let next: attemptOutcomes.Next = { kind: 'retry' }
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
              return await attemptOutcomes.forwardStream(attempt, event.result.source)
            }
            next = attemptOutcomes.handleResult(attempt, event.result)
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
function abandon (attempt: attemptOutcomes.Attempt): void {
  attemptOutcomes.record(attempt, 'abandoned')
  attempt.sent.abort('another endpoint responded first')
  attempt.sent.release()
}

function logHedge ({ call, sent }: attemptOutcomes.Attempt, hedge: attemptOutcomes.Attempt): void {
  const { ctx } = call
  ctx.log.event('responseSilent', { request: call.attemptId, endpoint: sent.endpoint.id, via: sent.via, ms: Math.round(ctx.now() - sent.sentAt), hedge: hedge.selected.endpoint.id })
}

/** Makes an attempt, and reports while its endpoint is silent. */
async function send (attempt: attemptOutcomes.Attempt, onSilent: () => void, isOtherOpen: () => boolean): Promise<openAttempts.OpenResult> {
  const { call, state, selected, sent } = attempt
  const { endpoint, sentAt } = sent
  const { ctx, route } = call
  const queueDelay = endpoint.queueDelay ??= queueDelays.createQueueDelayEstimator()
  const pending = queueDelay.onSent(sentAt)
  const timeoutMs = toResponseTimeoutMs(call, call.deadlineAt - sentAt)
  let headersAt: number | undefined
  const isOverdue = (): boolean => {
    if (headersAt !== undefined) return ctx.now() - headersAt >= silenceTimers.STALL_TIMEOUT_MS
    return ctx.now() - sentAt >= timeoutMs && !isQueued(call, queueDelay, pending)
  }
  const stopWatchdog = attemptWatchdogs.startWatchdog({
    sent,
    probeDelayMs: attemptWatchdogs.toProbeDelayMs(route.targetMs),
    isOverdue,
    probe: async () => await attemptRecorders.probeAndRecord(ctx, endpoint),
    onSilent,
    onEnded: sent.abort,
    now: ctx.now
  })
  try {
    return await openAttempts.openAttempt({
      call,
      state,
      selected,
      sent,
      isOtherOpen,
      onHeaders () {
        headersAt = ctx.now()
        queueDelay.onResponse(pending, headersAt)
      },
      onBody: stopWatchdog
    })
  } finally {
    stopWatchdog()
    if (headersAt === undefined) queueDelay.onAbandoned(pending)
  }
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
function isQueued (call: clientCalls.ClientCall, queueDelay: queueDelays.QueueDelayEstimator, pending: queueDelays.PendingRequest): boolean {
  return call.route.hasPrompt && queueDelay.classify(pending) === 'queued'
}
