/**
 * Makes an attempt up to the point at which its response can be passed on: the first event of a stream, or a complete body. Until then
 * another endpoint can take over without the client noticing.
 */
import * as attempts from './attempt.js'
import * as attemptRecorders from './attemptRecorder.js'
import type * as clientCalls from './clientCall.js'
import * as clientResponses from './clientResponse.js'
import * as endpointDialers from '../paths/endpointDialer.js'
import * as outgoingRequests from './outgoingRequest.js'
import type * as requestStates from './requestState.js'
import type * as selectEndpoints from '../placement/selectEndpoint.js'
import * as unframedEnds from './unframedEnd.js'
import * as streamReaders from '../streams/streamReader.js'

/** Maximum size of a response that is not a stream. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024

/** An endpoint that sends a stream. */
export interface StreamSource { sent: attemptRecorders.SentRequest, response: attempts.OpenResponse, reader: streamReaders.StreamReader }

/** Result of {@link openAttempt}. */
export type OpenResult =
  | Exclude<attempts.AttemptResult, attempts.OpenResponse>
  | { kind: 'complete', source: attempts.OpenResponse, response: clientResponses.BufferedResponse }
  | { kind: 'stream', source: StreamSource }

/** Options of {@link openAttempt}. */
export interface OpenAttemptOptions {
  call: clientCalls.ClientCall
  state: requestStates.RequestState
  selected: selectEndpoints.SelectedEndpoint
  sent: attemptRecorders.SentRequest
  /** Last event that the client has, if a stream is resumed. */
  lastEventId?: string
  /** Returns whether another endpoint is connected that may send the response too. */
  isOtherOpen: () => boolean
  /** Called when the response headers were received. */
  onHeaders?: () => void
  /** Called when the body of a response that is no stream was received: nothing more is awaited from the endpoint. */
  onBody?: () => void
}

/** Maximum time for which an endpoint may have begun to respond without an event while another one is connected. */
const MAX_OVERLAP_MS = 300

/** Makes an attempt and records its result. */
export async function openAttempt (opts: OpenAttemptOptions): Promise<OpenResult> {
  const { call, state, sent } = opts
  const { endpoint } = sent
  const onExcess = (what: string): void => {
    call.ctx.log.event('responseOversized', { request: call.attemptId, endpoint: endpoint.id, what })
    call.ctx.pool.recordExcess(endpoint, call.ctx.now())
  }
  const result = await send(opts, onExcess)
  if (result.kind === 'response') opts.onHeaders?.()
  await attemptRecorders.recordResult(call, state, sent, result)
  if (result.kind !== 'response') return result
  return outgoingRequests.isEventStream(result.res) ? await openStream(opts, result, onExcess) : await readComplete(opts, result, onExcess)
}

/** Sends the request. An exception before anything was sent concerns this attempt alone. */
async function send ({ call, selected, sent, lastEventId }: OpenAttemptOptions, onExcess: (what: string) => void): Promise<attempts.AttemptResult> {
  let isConnected = false
  try {
    return await attempts.sendAttempt({
      endpoint: selected.endpoint,
      request: outgoingRequests.toOutgoingRequest(call, selected, call.deadlineAt - call.ctx.now(), lastEventId),
      names: call.ctx.names,
      signal: sent.signal,
      onConnection (socket) {
        isConnected = true
        call.isSent = true
        sent.via = endpointDialers.findHelper(socket)
      },
      onExcess
    })
  } catch (err) {
    if (isConnected) throw err
    const why = err instanceof Error ? err.message : String(err)
    call.ctx.log.event('requestUnsendable', { request: call.attemptId, endpoint: selected.endpoint.id, why })
    return { kind: 'unsendable', why }
  }
}

/** Waits for the first event of a stream. */
async function openStream ({ call, sent, lastEventId, isOtherOpen }: OpenAttemptOptions, response: attempts.OpenResponse, onExcess: (what: string) => void): Promise<OpenResult> {
  const { endpoint, signal } = sent
  const reader = streamReaders.createStreamReader({
    response,
    lastEventId,
    pace: call.ctx.readPacer.open(),
    holder: call.ctx.heldBytes.open(),
    onData () { endpoint.answeredAt = call.ctx.now() },
    onExcess
  })
  const onAbort = (): void => { reader.abort(String(signal.reason)) }
  signal.addEventListener('abort', onAbort)
  if (signal.aborted) onAbort()
  const timer = setTimeout(() => { if (isOtherOpen()) sent.abort(`no event within ${MAX_OVERLAP_MS} ms of the response headers`) }, MAX_OVERLAP_MS)
  const first = await reader.first
  clearTimeout(timer)
  if (first.kind !== 'broken') {
    sent.run.begin(call.ctx.now())
    return { kind: 'stream', source: { sent, response, reader } }
  }
  return await recordBroken(call, sent, first.why)
}

async function readComplete ({ call, sent, onBody }: OpenAttemptOptions, response: attempts.OpenResponse, onExcess: (what: string) => void): Promise<OpenResult> {
  const { ctx } = call
  sent.run.begin(ctx.now())
  const holder = ctx.heldBytes.open()
  const buffered = await attempts.readBody(response, { signal: sent.signal, maxBytes: MAX_BUFFERED_BYTES, pace: ctx.readPacer.open(), holder, onExcess })
  if (buffered.kind === 'broken') {
    holder.release()
    return await recordBroken(call, sent, buffered.why)
  }
  clientResponses.holdUntilSent(call, holder, buffered.body.length)
  onBody?.()
  const why = await unframedEnds.findCut(call, sent, response)
  if (why !== undefined) return await recordBroken(call, sent, why)
  return { kind: 'complete', source: response, response: { res: response.res, body: buffered.body } }
}

async function recordBroken (call: clientCalls.ClientCall, sent: attemptRecorders.SentRequest, why: string): Promise<OpenResult> {
  if (sent.signal.aborted) {
    attemptRecorders.recordAbandoned(call, sent)
    return { kind: 'aborted', isSent: true, why }
  }
  await attemptRecorders.recordLoss(call, sent)
  return { kind: 'lost', why }
}
