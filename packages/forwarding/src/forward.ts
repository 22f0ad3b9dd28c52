/**
 * Sends a request to endpoints until one answers or nothing more may be tried, and passes the answer on. What may be tried
 * again follows from what is known of each send: a request that may run only once is never sent again after an endpoint may
 * have begun to run it, and "not run" is said only when no endpoint did.
 */
import * as answerClients from './answerClient.js'
import * as attempts from './attempt.js'
import * as attemptNotes from './attemptNotes.js'
import * as clientCalls from './clientCall.js'
import * as courses from './course.js'
import * as crashSuspects from './crashSuspects.js'
import * as endpointDelays from './endpointDelay.js'
import * as endpointPools from './endpointPool.js'
import * as outgoings from './outgoing.js'
import * as pickEndpoints from './pickEndpoint.js'
import * as relayStreams from './relayStream.js'
import * as resumes from './resumeElsewhere.js'
import * as silentAttempts from './silentAttempt.js'
import * as urgencies from './urgency.js'

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
  course: courses.Course
  picked: pickEndpoints.Picked
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
  const fingerprint = crashSuspects.toFingerprint(call.account, call.req.method ?? '', call.req.url ?? '', call.body)
  if (ctx.suspects.isQuarantined(fingerprint, ctx.now())) {
    return answerClients.refuse(call, { kind: 'unavailable', why: 'this request crashed the endpoints that ran it', cause: { kind: 'quarantined' } })
  }
  ctx.retryWindow(call.service).note(ctx.now())
  const course = courses.createCourse(fingerprint)
  while (true) {
    const next = await tryOne(call, course)
    switch (next.kind) {
      case 'ended': return next.outcome
      case 'giveUp': return answerClients.giveUp(call, course.held, next.why, next.delayMs)
      case 'another':
        if (course.offers >= pickEndpoints.MAX_OFFERS) return answerClients.giveUp(call, course.held, 'no endpoint had room')
    }
  }
}

/** Chooses an endpoint and sends the request there. */
async function tryOne (call: clientCalls.ClientCall, course: courses.Course): Promise<Next> {
  const { ctx, route } = call
  if (!courses.mayRun(route, course.runs)) return { kind: 'giveUp', why: 'no further attempt is allowed' }
  const leftMs = call.endsAt - ctx.now()
  if (call.stop.signal.aborted || leftMs < answerClients.MIN_LEFT_MS) return { kind: 'giveUp', why: 'the time is over' }
  const picked = pickEndpoints.pick(call, course.tried, toDelayLimitMs(call))
  if (picked.kind === 'busy') return { kind: 'giveUp', why: `the endpoints begin ${Math.round(picked.delayMs)} ms late`, delayMs: picked.delayMs }
  if (picked.kind === 'none') return { kind: 'giveUp', why: course.tried.size === 0 ? 'no endpoint of the service is known' : 'no further endpoint can be reached' }
  // The first offer is free; each further one is paid for, or an outage of some endpoints would overload the others.
  if (course.offers > 0 && !ctx.retryWindow(call.service).spend(ctx.now(), ctx.exchange.instances())) return { kind: 'giveUp', why: 'the budget of retries is used up' }
  const { endpoint } = picked
  course.tried.add(endpoint.id)
  endpoint.inFlight++
  try {
    return await runAttempt({ call, course, picked, leftMs, sentAt: ctx.now(), mayRunAgain: courses.mayRun(route, course.runs + 1) })
  } finally {
    endpoint.inFlight--
  }
}

async function runAttempt (attempt: Attempt): Promise<Next> {
  const { call, course, picked: { endpoint } } = attempt
  const sent = await send(attempt)
  attemptNotes.noteSent(call, course, endpoint, sent, attempt.sentAt)
  switch (sent.kind) {
    case 'unreachable':
      note(attempt, `unreachable: ${sent.why}`)
      return call.stop.signal.aborted ? { kind: 'giveUp', why: 'the client left' } : { kind: 'another' }
    case 'notRun':
      note(attempt, `notRun ${sent.status}`)
      return { kind: 'another' }
    case 'lost':
      note(attempt, `lost: ${sent.why}`)
      return afterLoss(attempt, sent.why)
    case 'answer':
      return outgoings.isEventStream(sent.res) ? await passStream(attempt, sent) : await passWhole(attempt, sent)
  }
}

/** Sends the request and waits for the head of an answer, as long as that is worth it. */
async function send (attempt: Attempt): Promise<attempts.Sent> {
  const { call, course, picked, leftMs, sentAt, mayRunAgain } = attempt
  const { ctx, route } = call
  const { endpoint } = picked
  const wait = endpoint.delay.begin(sentAt)
  const down = new AbortController()
  const unwatch = silentAttempts.watchSilence(endpoint, silentAttempts.toSuspicionMs(route.targetMs), why => {
    attemptNotes.noteUnreachable(call, endpoint, why)
    // What may run only once stays where it is: the endpoint may take no connections and still answer on this one.
    if (mayRunAgain) down.abort(why)
  })
  const sent = await attempts.sendAttempt({
    endpoint,
    out: outgoings.toOutgoing(call, picked, leftMs, undefined),
    names: ctx.names,
    signal: AbortSignal.any([call.stop.signal, down.signal]),
    answerMs: mayRunAgain ? toPatience(call, leftMs) : leftMs,
    mayWait: () => ctx.now() < call.endsAt && isQueued(call, course.tried, endpoint, wait)
  }).finally(unwatch)
  if (sent.kind === 'answer') endpoint.delay.answered(wait, ctx.now())
  else endpoint.delay.left(wait)
  return sent
}

/** Passes a stream on, and its rest from elsewhere if it breaks off. */
async function passStream (attempt: Attempt, sent: relayStreams.OpenAnswer): Promise<Next> {
  const { call, course, picked: { endpoint } } = attempt
  call.firstByteAt = call.ctx.now()
  attemptNotes.noteOutcome(call, endpoint, isLate(attempt))
  const relayed = await relayStreams.relayStream(call, {
    sent,
    endpoint,
    resume: async (lastId, broken) => {
      attemptNotes.noteBreak(call, broken, course.fingerprint)
      return await resumes.resumeElsewhere(call, course, lastId)
    }
  })
  note(attempt, relayed.outcome)
  return relayed.kind === 'unstarted' ? afterLoss(attempt, relayed.outcome) : { kind: 'ended', outcome: relayed.outcome }
}

/** Reads an answer that is no stream and passes it on once it is whole. */
async function passWhole (attempt: Attempt, sent: relayStreams.OpenAnswer): Promise<Next> {
  const { call, course, picked: { endpoint } } = attempt
  const whole = await attempts.readWhole(sent, call.stop.signal, MAX_WHOLE_BYTES)
  if (whole.kind === 'broken') {
    note(attempt, `lost: ${whole.why}`)
    attemptNotes.noteBreak(call, endpoint, course.fingerprint)
    return afterLoss(attempt, whole.why)
  }
  const status = sent.res.statusCode ?? 0
  note(attempt, String(status))
  attemptNotes.noteOutcome(call, endpoint, isLate(attempt) || status >= 500)
  const answer = { res: sent.res, body: whole.body }
  // An endpoint's own failure of a request that may run again is worth a second try elsewhere: it came early.
  if (status >= 500 && status !== 504 && attempt.mayRunAgain) {
    course.held = answer
    return { kind: 'another' }
  }
  return { kind: 'ended', outcome: answerClients.deliver(call, answer) }
}

function afterLoss (attempt: Attempt, why: string): Next {
  return attempt.mayRunAgain ? { kind: 'another' } : { kind: 'giveUp', why }
}

function note (attempt: Attempt, outcome: string): void {
  attemptNotes.noteAttempt(attempt.call, attempt.picked.endpoint, outcome, attempt.sentAt, attempt.picked.why)
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
  return urgencies.toQueueShare(table.ranks, call.accountRank, route.rank) * endpointDelays.toDelayLimitMs(route.targetMs)
}

/**
 * Tells whether a request that waits long keeps its place in an endpoint's queue.
 *
 * Load pattern: endpoints have more prompts to read than they can begin in time. A request that is taken from one queue to the
 * end of another one has its prompt read twice, so that all queues grow, and more requests are taken from one to the next.
 */
function isQueued (call: clientCalls.ClientCall, tried: ReadonlySet<string>, endpoint: endpointPools.Endpoint, wait: endpointDelays.Wait): boolean {
  if (!call.route.hasPrompt) return false
  const known = endpoint.delay.judge(wait)
  switch (known) {
    case 'overtaken': return false
    case 'queued': return true
    case 'silent': return pickEndpoints.pick(call, tried, toDelayLimitMs(call)).kind !== 'picked'
  }
}
