/**
 * Sends a request to endpoints until one answers or nothing more may be tried, and passes the answer on. What may be tried
 * again follows from what is known of each send: a request that may run only once is never sent again after an endpoint may
 * have begun to run it, and "not run" is said only when no endpoint did.
 */
import * as clientResponses from './clientResponse.js'
import * as attempts from './attempt.js'
import * as attemptRecorders from './attemptRecorder.js'
import * as clientCalls from './clientCall.js'
import * as requestStates from './requestState.js'
import * as crashQuarantines from './crashQuarantine.js'
import * as queueDelays from './queueDelay.js'
import * as endpointPools from './endpointPool.js'
import * as outgoingRequests from './outgoingRequest.js'
import * as selectEndpoints from './selectEndpoint.js'
import * as relayStreams from './relayStream.js'
import * as resumeStreams from './resumeStream.js'
import * as attemptWatchdogs from './attemptWatchdog.js'
import * as priorities from './priority.js'

/** An idempotent request that is not answered within this share of its time is tried elsewhere ... */
const PATIENCE_SHARE = 0.4
/** ... and one that is answered by a stream after this multiple of its target. */
const STREAM_PATIENCE = 2
const MAX_WHOLE_BYTES = 8 * 1024 * 1024

/** What follows an attempt. */
type Next =
  /** Another endpoint may be tried. */
  | { kind: 'another' }
  /** Nothing more may be tried; where the endpoints begin late, by how much. */
  | { kind: 'giveUp', why: string, delayMs?: number }
  /** The client has its answer, or has left. */
  | { kind: 'ended', outcome: string }

/** One attempt at an endpoint. */
interface Attempt {
  call: clientCalls.ClientCall
  course: requestStates.RequestState
  picked: selectEndpoints.SelectedEndpoint
  sentAt: number
  leftMs: number
  /** Whether another endpoint may run the request if this one fails. */
  mayRunAgain: boolean
}

/**
 * Serves one admitted request.
 * @param call the request
 * @returns the outcome, for the log
 */
export async function forward (call: clientCalls.ClientCall): Promise<string> {
  const { ctx } = call
  const fingerprint = crashQuarantines.toFingerprint(call.account, call.req.method ?? '', call.req.url ?? '', call.body)
  if (ctx.quarantine.isQuarantined(fingerprint, ctx.now())) {
    return clientResponses.sendRefusal(call, { kind: 'unavailable', why: 'this request crashed the endpoints that ran it', cause: { kind: 'quarantined' } })
  }
  ctx.retryBudget(call.service).recordRequest(ctx.now())
  const course = requestStates.createRequestState(fingerprint)
  while (true) {
    const next = await tryOne(call, course)
    switch (next.kind) {
      case 'ended': return next.outcome
      case 'giveUp': return clientResponses.sendFailure(call, course.fallback, next.why, next.delayMs)
      case 'another':
        if (course.sends >= selectEndpoints.MAX_SENDS) return clientResponses.sendFailure(call, course.fallback, 'no endpoint had room')
    }
  }
}

/** Chooses an endpoint and sends the request there. */
async function tryOne (call: clientCalls.ClientCall, course: requestStates.RequestState): Promise<Next> {
  const { ctx, route } = call
  if (!requestStates.mayRun(route, course.runs)) return { kind: 'giveUp', why: 'no further attempt is allowed' }
  const leftMs = call.deadlineAt - ctx.now()
  if (call.aborter.signal.aborted || leftMs < clientResponses.MIN_REMAINING_MS) return { kind: 'giveUp', why: 'the time is over' }
  const picked = selectEndpoints.selectEndpoint(call, course.tried, toDelayLimitMs(call))
  if (picked.kind === 'busy') return { kind: 'giveUp', why: `the endpoints begin ${Math.round(picked.delayMs)} ms late`, delayMs: picked.delayMs }
  if (picked.kind === 'none') return { kind: 'giveUp', why: course.tried.size === 0 ? 'no endpoint of the service is known' : 'no further endpoint can be reached' }
  // The first offer is free; each further one is paid for, or an outage of some endpoints would overload the others.
  if (course.sends > 0 && !ctx.retryBudget(call.service).trySpend(ctx.now(), ctx.gossip.instanceCount())) return { kind: 'giveUp', why: 'the budget of retries is used up' }
  const { endpoint } = picked
  course.tried.add(endpoint.id)
  endpoint.inFlight++
  try {
    return await runAttempt({ call, course, picked, leftMs, sentAt: ctx.now(), mayRunAgain: requestStates.mayRun(route, course.runs + 1) })
  } finally {
    endpoint.inFlight--
  }
}

async function runAttempt (attempt: Attempt): Promise<Next> {
  const { call, course, picked: { endpoint } } = attempt
  const sent = await send(attempt)
  attemptRecorders.recordResult(call, course, endpoint, sent, attempt.sentAt)
  switch (sent.kind) {
    case 'unreachable':
      note(attempt, `unreachable: ${sent.why}`)
      return call.aborter.signal.aborted ? { kind: 'giveUp', why: 'the client left' } : { kind: 'another' }
    case 'notRun':
      note(attempt, `notRun ${sent.status}`)
      return { kind: 'another' }
    case 'lost':
      note(attempt, `lost: ${sent.why}`)
      return afterLoss(attempt, sent.why)
    case 'answer':
      return outgoingRequests.isEventStream(sent.res) ? await passStream(attempt, sent) : await passWhole(attempt, sent)
  }
}

/** Sends the request and waits for the head of an answer, as long as that is worth it. */
async function send (attempt: Attempt): Promise<attempts.AttemptResult> {
  const { call, course, picked, leftMs, sentAt, mayRunAgain } = attempt
  const { ctx, route } = call
  const { endpoint } = picked
  const wait = endpoint.queueDelay.onSent(sentAt)
  const down = new AbortController()
  const unwatch = attemptWatchdogs.startWatchdog(endpoint, attemptWatchdogs.toProbeDelayMs(route.targetMs), why => {
    attemptRecorders.recordUnreachable(call, endpoint, why)
    // What may run only once stays where it is: the endpoint may take no connections and still answer on this one.
    if (mayRunAgain) down.abort(why)
  })
  const sent = await attempts.sendAttempt({
    endpoint,
    request: outgoingRequests.toOutgoingRequest(call, picked, leftMs, undefined),
    names: ctx.names,
    signal: AbortSignal.any([call.aborter.signal, down.signal]),
    responseTimeoutMs: mayRunAgain ? toPatience(call, leftMs) : leftMs,
    mayKeepWaiting: () => ctx.now() < call.deadlineAt && isQueued(call, course.tried, endpoint, wait)
  }).finally(unwatch)
  if (sent.kind === 'answer') endpoint.queueDelay.onResponse(wait, ctx.now())
  else endpoint.queueDelay.onAbandoned(wait)
  return sent
}

/** Passes a stream on, and its rest from elsewhere if it breaks off. */
async function passStream (attempt: Attempt, sent: relayStreams.OpenResponse): Promise<Next> {
  const { call, course, picked: { endpoint } } = attempt
  call.firstByteAt = call.ctx.now()
  attemptRecorders.recordOutcome(call, endpoint, isLate(attempt))
  const relayed = await relayStreams.relayStream(call, {
    response: sent,
    endpoint,
    resume: async (lastId, broken) => {
      attemptRecorders.recordBrokenResponse(call, broken, course.fingerprint)
      return await resumeStreams.resumeStream(call, course, lastId)
    }
  })
  note(attempt, relayed.outcome)
  return relayed.kind === 'unstarted' ? afterLoss(attempt, relayed.outcome) : { kind: 'ended', outcome: relayed.outcome }
}

/** Reads an answer that is no stream and passes it on once it is whole. */
async function passWhole (attempt: Attempt, sent: relayStreams.OpenResponse): Promise<Next> {
  const { call, course, picked: { endpoint } } = attempt
  const whole = await attempts.readBody(sent, call.aborter.signal, MAX_WHOLE_BYTES)
  if (whole.kind === 'broken') {
    note(attempt, `lost: ${whole.why}`)
    attemptRecorders.recordBrokenResponse(call, endpoint, course.fingerprint)
    return afterLoss(attempt, whole.why)
  }
  const status = sent.res.statusCode ?? 0
  note(attempt, String(status))
  attemptRecorders.recordOutcome(call, endpoint, isLate(attempt) || status >= 500)
  const answer = { res: sent.res, body: whole.body }
  // An endpoint's own failure of a request that may run again is worth a second try elsewhere: it came early.
  if (status >= 500 && status !== 504 && attempt.mayRunAgain) {
    course.fallback = answer
    return { kind: 'another' }
  }
  return { kind: 'ended', outcome: clientResponses.sendResponse(call, answer) }
}

function afterLoss (attempt: Attempt, why: string): Next {
  return attempt.mayRunAgain ? { kind: 'another' } : { kind: 'giveUp', why }
}

function note (attempt: Attempt, outcome: string): void {
  attemptRecorders.recordAttempt(attempt.call, attempt.picked.endpoint, outcome, attempt.sentAt, attempt.picked.why)
}

function isLate (attempt: Attempt): boolean {
  const { call: { ctx, route }, sentAt } = attempt
  return route.targetMs > 0 && ctx.now() - sentAt > route.targetMs
}

function toPatience (call: clientCalls.ClientCall, leftMs: number): number {
  const patienceMs = call.route.kind === 'stream' ? STREAM_PATIENCE * call.route.targetMs : PATIENCE_SHARE * leftMs
  return Math.min(leftMs, patienceMs)
}

function toDelayLimitMs (call: clientCalls.ClientCall): number {
  const { route, table } = call
  if (!route.hasPrompt) return Infinity
  return priorities.toQueueShare(table.ranks, call.accountRank, route.rank) * queueDelays.toDelayLimitMs(route.targetMs)
}

/**
 * Tells whether a request that waits long keeps its place in an endpoint's queue.
 *
 * Load pattern: endpoints have more prompts to read than they can begin in time. A request that is taken from one queue to the
 * end of another one has its prompt read twice, so that all queues grow, and more requests are taken from one to the next.
 */
function isQueued (call: clientCalls.ClientCall, tried: ReadonlySet<string>, endpoint: endpointPools.Endpoint, wait: queueDelays.PendingRequest): boolean {
  if (!call.route.hasPrompt) return false
  const known = endpoint.queueDelay.classify(wait)
  switch (known) {
    case 'overtaken': return false
    case 'queued': return true
    case 'silent': return selectEndpoints.selectEndpoint(call, tried, toDelayLimitMs(call)).kind !== 'picked'
  }
}
