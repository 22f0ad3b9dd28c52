/**
 * Sends a request to endpoints until one answers or nothing more may be tried, and passes the answer on. What may be tried
 * again follows from what is known of each send: a request that may run only once is never sent again after an endpoint may
 * have begun to run it, and "not run" is said only when no endpoint did.
 */
import * as http from 'node:http'
import * as attempts from './attempt.js'
import * as clientCalls from './clientCall.js'
import * as crashSuspects from './crashSuspects.js'
import * as endpointDelays from './endpointDelay.js'
import * as endpointPools from './endpointPool.js'
import * as endpointProbes from './endpointProbe.js'
import * as forwardHeaders from './forwardHeaders.js'
import * as pickEndpoints from './pickEndpoint.js'
import * as relayStreams from './relayStream.js'
import * as routeTables from './routeTable.js'
import * as silentAttempts from './silentAttempt.js'
import * as urgencies from './urgency.js'

/** A request that no endpoint ran may be offered to this many of them. */
const MAX_OFFERS = 4
/** With less time left than this, no endpoint can answer in time. */
const MIN_LEFT_MS = 10
/** An idempotent request that is not answered within this share of its time is tried elsewhere ... */
const PATIENCE_SHARE = 0.4
/** ... and one that is answered by a stream after this multiple of its target. */
const STREAM_PATIENCE = 2
/** An endpoint that gave no answer for this multiple of the target is held to be silent, also where the client gave up. */
const SILENCE_TARGETS = 2
const BODILESS = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE'])
const MAX_WHOLE_BYTES = 8 * 1024 * 1024

/** An endpoint's answer that is whole, held back while a better one is tried for. */
interface HeldAnswer { res: http.IncomingMessage, body: Buffer }

/**
 * Serves one admitted request.
 * @param call the request
 * @returns the outcome, for the log
 */
export async function forward (call: clientCalls.ClientCall): Promise<string> {
  const { ctx, route } = call
  const fingerprint = crashSuspects.toFingerprint(call.account, call.req.method ?? '', call.req.url ?? '', call.body)
  if (ctx.suspects.isQuarantined(fingerprint, ctx.now())) {
    return refuse(call, { kind: 'unavailable', why: 'this request crashed the endpoints that ran it', cause: { kind: 'quarantined' } })
  }
  const tried = new Set<string>()
  const isRepeatable = routeTables.isRepeatable(route)
  let held: HeldAnswer | undefined
  let offers = 0
  let runs = 0
  ctx.retryWindow(call.service).note(ctx.now())

  while (true) {
    const leftMs = call.endsAt - ctx.now()
    if (call.stop.signal.aborted || leftMs < MIN_LEFT_MS) return giveUp(call, held, 'the time is over')
    const picked = pickEndpoints.pick(call, tried, toDelayLimitMs(call))
    if (picked.kind === 'busy') return giveUp(call, held, `the endpoints begin ${Math.round(picked.delayMs)} ms late`, picked.delayMs)
    if (picked.kind === 'none') return giveUp(call, held, tried.size === 0 ? 'no endpoint of the service is known' : 'no further endpoint can be reached')
    // The first offer is free; each further one is paid for, or an outage of some endpoints would overload the others.
    if (offers > 0 && !ctx.retryWindow(call.service).spend(ctx.now(), ctx.exchange.instances())) return giveUp(call, held, 'the budget of retries is used up')
    const { endpoint } = picked
    tried.add(endpoint.id)
    const mayRunAgain = isRepeatable && runs + 1 < route.maxAttempts
    const sentAt = ctx.now()
    endpoint.inFlight++
    const wait = endpoint.delay.begin(sentAt)
    const down = new AbortController()
    const unwatch = silentAttempts.watchSilence(endpoint, silentAttempts.toSuspicionMs(route.targetMs), why => {
      noteUnreachable(call, endpoint, why)
      // What may run only once stays where it is: the endpoint may take no connections and still answer on this one.
      if (mayRunAgain) down.abort(why)
    })
    try {
      const sent = await attempts.sendAttempt({
        endpoint,
        out: toOutgoing(call, picked, leftMs, undefined),
        names: ctx.names,
        signal: AbortSignal.any([call.stop.signal, down.signal]),
        answerMs: mayRunAgain ? toPatience(call, leftMs) : leftMs,
        mayWait: () => ctx.now() < call.endsAt && isQueued(call, tried, endpoint, wait)
      }).finally(unwatch)
      if (sent.kind === 'answer') endpoint.delay.answered(wait, ctx.now())
      else endpoint.delay.left(wait)
      const note = (outcome: string): void => { noteAttempt(call, endpoint, outcome, sentAt, picked.why) }
      switch (sent.kind) {
        case 'unreachable':
          note(`unreachable: ${sent.why}`)
          if (call.stop.signal.aborted) return giveUp(call, held, 'the client left')
          noteUnreachable(call, endpoint, sent.why)
          break
        case 'notRun':
          offers++
          note(`notRun ${sent.status}`)
          ctx.pool.noteReached(endpoint)
          if (sent.status !== 421) noteOutcome(call, endpoint, true)
          if (sent.status === 421) ctx.pool.noteMisdirected(endpoint)
          break
        case 'lost':
          offers++
          runs++
          note(`lost: ${sent.why}`)
          noteSilence(call, endpoint, sentAt)
          call.mayHaveRun = true
          noteLoss(call, endpoint, fingerprint)
          if (!mayRunAgain) return giveUp(call, held, sent.why)
          break
        case 'answer': {
          offers++
          runs++
          ctx.pool.noteReached(endpoint)
          call.mayHaveRun = true
          const isLate = route.targetMs > 0 && ctx.now() - sentAt > route.targetMs
          if (isEventStream(sent.res)) {
            call.firstByteAt = ctx.now()
            noteOutcome(call, endpoint, isLate)
            const relayed = await relayStreams.relayStream(call, {
              sent,
              resume: async lastId => {
                noteOutcome(call, endpoint, true)
                noteLoss(call, endpoint, fingerprint)
                return await resumeElsewhere(call, tried, lastId, runs++)
              }
            })
            note(relayed.outcome)
            if (relayed.kind === 'unstarted' && mayRunAgain) break
            if (relayed.kind === 'unstarted') return giveUp(call, held, relayed.outcome)
            return relayed.outcome
          }
          const whole = await attempts.readWhole(sent, call.stop.signal, MAX_WHOLE_BYTES)
          if (whole.kind === 'broken') {
            note(`lost: ${whole.why}`)
            noteOutcome(call, endpoint, true)
            noteLoss(call, endpoint, fingerprint)
            if (!mayRunAgain) return giveUp(call, held, whole.why)
            break
          }
          const status = sent.res.statusCode ?? 0
          note(String(status))
          noteOutcome(call, endpoint, isLate || status >= 500)
          // An endpoint's own failure of a request that may run again is worth a second try elsewhere: it came early.
          if (status >= 500 && status !== 504 && mayRunAgain) {
            held = { res: sent.res, body: whole.body }
            break
          }
          return deliver(call, { res: sent.res, body: whole.body })
        }
      }
    } finally {
      endpoint.inFlight--
    }
    if (offers >= MAX_OFFERS) return giveUp(call, held, 'no endpoint had room')
  }
}

/** Tries another endpoint for the rest of a stream. */
async function resumeElsewhere (call: clientCalls.ClientCall, tried: Set<string>, lastEventId: string | undefined, runs: number): Promise<relayStreams.Resumed> {
  const { ctx, route } = call
  let offers = 0
  while (offers < MAX_OFFERS) {
    const leftMs = call.endsAt - ctx.now()
    if (call.stop.signal.aborted || leftMs < MIN_LEFT_MS) return { kind: 'none', why: 'the time is over' }
    if (runs >= route.maxAttempts) return { kind: 'none', why: 'no further attempt is allowed' }
    const picked = pickEndpoints.pick(call, tried, Infinity)
    if (picked.kind !== 'picked') return { kind: 'none', why: 'no further endpoint can be reached' }
    if (!ctx.retryWindow(call.service).spend(ctx.now(), ctx.exchange.instances())) return { kind: 'none', why: 'the budget of retries is used up' }
    const { endpoint } = picked
    tried.add(endpoint.id)
    offers++
    const sentAt = ctx.now()
    endpoint.inFlight++
    const sent = await attempts.sendAttempt({
      endpoint,
      out: toOutgoing(call, picked, leftMs, lastEventId),
      names: ctx.names,
      signal: call.stop.signal,
      answerMs: leftMs
    })
    switch (sent.kind) {
      case 'answer':
        // Its place in the count is given back by the relay when the stream ends.
        if (isEventStream(sent.res) && (sent.res.statusCode ?? 0) < 300) return { kind: 'stream', endpoint, sent }
        noteAttempt(call, endpoint, `no stream ${sent.res.statusCode ?? 0}`, sentAt)
        sent.abort()
        break
      case 'unreachable':
        noteAttempt(call, endpoint, `unreachable: ${sent.why}`, sentAt)
        noteUnreachable(call, endpoint, sent.why)
        break
      case 'notRun':
        noteAttempt(call, endpoint, `notRun ${sent.status}`, sentAt)
        if (sent.status === 421) ctx.pool.noteMisdirected(endpoint)
        break
      case 'lost':
        noteAttempt(call, endpoint, `lost: ${sent.why}`, sentAt)
        endpoint.inFlight--
        return { kind: 'none', why: sent.why }
    }
    endpoint.inFlight--
  }
  return { kind: 'none', why: 'no endpoint had room' }
}

function toOutgoing (call: clientCalls.ClientCall, picked: pickEndpoints.Picked, leftMs: number, lastEventId: string | undefined): attempts.Outgoing {
  const { req, ctx } = call
  // A method with a body needs a length even if the client sent none, or the HTTP library would send chunks.
  const hasBody = call.body.length > 0 || !BODILESS.has(req.method ?? 'GET')
  const add: forwardHeaders.RequestAdditions = { leftMs, endpointId: picked.endpoint.id, account: call.account, bodyBytes: call.body.length, hasBody, lastEventId, fetchFrom: picked.fetchFrom }
  return {
    method: req.method ?? 'GET',
    url: req.url ?? '/',
    headers: forwardHeaders.toRequestHeaders(req.rawHeaders, ctx.names, add),
    body: call.body,
    attemptId: call.attemptId
  }
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

function isEventStream (res: http.IncomingMessage): boolean {
  return res.headers['content-type']?.startsWith('text/event-stream') === true
}

function noteAttempt (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, outcome: string, sentAt: number, why = 'resume'): void {
  call.attempts.push({ endpoint: endpoint.id, why, outcome, ms: Math.round(call.ctx.now() - sentAt) })
  call.ctx.metrics.attempts.inc({ service: call.service, outcome: outcome.split(':')[0] })
}

/** Notes how an attempt went, for the choice of endpoints. */
function noteOutcome (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, isMissed: boolean): void {
  call.ctx.outcomes.note(endpoint.id, isMissed, call.ctx.now())
}

/**
 * Notes an attempt without an answer. Where the client left early that says nothing of the endpoint; where it left after twice
 * the target, it left because of it.
 */
function noteSilence (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, sentAt: number): void {
  const isEarly = call.stop.signal.aborted && call.ctx.now() - sentAt < SILENCE_TARGETS * call.route.targetMs
  if (!isEarly) noteOutcome(call, endpoint, true)
}

function noteUnreachable (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, why: string): void {
  const { ctx } = call
  ctx.pool.noteUnreachable(endpoint, ctx.now(), why)
  const news = ctx.suspects.noteDown(toIncarnation(endpoint), ctx.now())
  if (news.length > 0) ctx.exchange.tellCrashes(news)
}

function noteLoss (call: clientCalls.ClientCall, endpoint: endpointPools.Endpoint, fingerprint: string): void {
  if (call.stop.signal.aborted) return
  // What broke one connection has likely broken the idle ones beside it.
  call.ctx.pool.dropIdle(endpoint)
  call.ctx.suspects.noteLoss(fingerprint, toIncarnation(endpoint), call.ctx.now())
  // Whether the endpoint is down is asked now: after a crash the next request would be the one to find out, and a request
  // that crashes endpoints would not be known for one before others had been sent to each of them.
  void endpointProbes.isDown(endpoint).then(why => {
    if (why !== undefined) noteUnreachable(call, endpoint, why)
  })
}

function toIncarnation (endpoint: endpointPools.Endpoint): string {
  return `${endpoint.id}@${endpoint.record.startedAt}`
}

/** Passes a whole answer on. */
function deliver (call: clientCalls.ClientCall, answer: HeldAnswer): string {
  const { res, ctx } = call
  if (res.destroyed) return 'the client left'
  call.firstByteAt ??= ctx.now()
  const status = answer.res.statusCode ?? 502
  const headers = forwardHeaders.toAnswerHeaders(answer.res.rawHeaders)
  if (call.req.method !== 'HEAD' && status !== 204 && status !== 304) headers.push('Content-Length', String(answer.body.length))
  if (ctx.isStopping()) headers.push('Connection', 'close')
  res.writeHead(status, headers)
  res.end(answer.body)
  return String(status)
}

/** Ends a request for which nothing more can be tried. */
function giveUp (call: clientCalls.ClientCall, held: HeldAnswer | undefined, why: string, delayMs?: number): string {
  if (held !== undefined) return deliver(call, held)
  if (call.res.destroyed) return 'the client left'
  const isLate = call.endsAt - call.ctx.now() < MIN_LEFT_MS
  if (call.mayHaveRun) return refuse(call, isLate ? { kind: 'timeout', why } : { kind: 'lost', why })
  if (delayMs !== undefined) return refuse(call, { kind: 'unavailable', why, cause: { kind: 'busy', delayMs } })
  const isUnreachable = call.ctx.pool.usable(call.service, call.ctx.now()).length === 0
  return refuse(call, { kind: 'unavailable', why, cause: { kind: isUnreachable ? 'noEndpoint' : 'noRoom' } })
}

function refuse (call: clientCalls.ClientCall, refusal: clientCalls.Refusal): string {
  clientCalls.refuse(call, refusal, call.ctx.names.attemptId)
  return `${clientCalls.toStatus(refusal)} ${refusal.why}`
}
