/** The rest of a stream that broke off, from another endpoint. */
import * as attempts from './attempt.js'
import * as answerClients from './answerClient.js'
import * as attemptNotes from './attemptNotes.js'
import * as clientCalls from './clientCall.js'
import * as courses from './course.js'
import * as outgoings from './outgoing.js'
import * as pickEndpoints from './pickEndpoint.js'
import * as relayStreams from './relayStream.js'

/**
 * Asks other endpoints for the rest of a stream. A client that has a part of its answer waits for the rest however long the queue
 * is.
 * @param call the request
 * @param course the endpoints that were tried and that may have run it; those that are asked now are added
 * @param lastEventId the last event that the client has
 * @returns the rest, or why there is none
 */
export async function resumeElsewhere (call: clientCalls.ClientCall, course: courses.Course, lastEventId: string | undefined): Promise<relayStreams.Resumed> {
  const { ctx, route } = call
  let offers = 0
  while (offers < pickEndpoints.MAX_OFFERS) {
    const leftMs = call.endsAt - ctx.now()
    if (call.stop.signal.aborted || leftMs < answerClients.MIN_LEFT_MS) return { kind: 'none', why: 'the time is over' }
    if (!courses.mayRun(route, course.runs)) return { kind: 'none', why: 'no further attempt is allowed' }
    const picked = pickEndpoints.pick(call, course.tried, Infinity)
    if (picked.kind !== 'picked') return { kind: 'none', why: 'no further endpoint can be reached' }
    if (!ctx.retryWindow(call.service).spend(ctx.now(), ctx.exchange.instances())) return { kind: 'none', why: 'the budget of retries is used up' }
    const { endpoint } = picked
    course.tried.add(endpoint.id)
    offers++
    const sentAt = ctx.now()
    endpoint.inFlight++
    const sent = await attempts.sendAttempt({
      endpoint,
      out: outgoings.toOutgoing(call, picked, leftMs, lastEventId),
      names: ctx.names,
      signal: call.stop.signal,
      answerMs: leftMs
    })
    attemptNotes.noteSent(call, course, endpoint, sent, sentAt)
    switch (sent.kind) {
      case 'answer': {
        const status = sent.res.statusCode ?? 0
        // Its place in the count is given back by the relay when the stream ends.
        if (outgoings.isEventStream(sent.res) && status < 300) return { kind: 'stream', endpoint, sent }
        attemptNotes.noteAttempt(call, endpoint, `no stream ${status}`, sentAt)
        attemptNotes.noteOutcome(call, endpoint, true)
        sent.abort()
        break
      }
      case 'unreachable':
        attemptNotes.noteAttempt(call, endpoint, `unreachable: ${sent.why}`, sentAt)
        break
      case 'notRun':
        attemptNotes.noteAttempt(call, endpoint, `notRun ${sent.status}`, sentAt)
        break
      case 'lost':
        attemptNotes.noteAttempt(call, endpoint, `lost: ${sent.why}`, sentAt)
        endpoint.inFlight--
        return { kind: 'none', why: sent.why }
    }
    endpoint.inFlight--
  }
  return { kind: 'none', why: 'no endpoint had room' }
}
