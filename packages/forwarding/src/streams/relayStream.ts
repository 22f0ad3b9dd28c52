/**
 * Relays an event stream to the client, and resumes it at another endpoint if it breaks off and the route is resumable. Only complete
 * events are relayed, so that the stream can be resumed after the last one.
 */
import * as http from 'node:http'
import * as abortResponses from './abortResponse.js'
import * as attempts from '../attempts/attempt.js'
import * as attemptRecorders from '../attempts/attemptRecorder.js'
import * as clientCalls from '../attempts/clientCall.js'
import * as eventBatchers from './eventBatcher.js'
import * as eventStreams from './eventStream.js'
import type * as entryMetrics from '../instance/entryMetrics.js'
import * as forwardHeaders from '../attempts/forwardHeaders.js'

/** A response whose body was not read yet. */
export type OpenResponse = Extract<attempts.AttemptResult, { kind: 'response' }>

/** An endpoint that sends a stream. */
export interface StreamSource { sent: attemptRecorders.SentRequest, response: OpenResponse }

/** Result of resuming a stream at another endpoint. */
export type ResumeResult =
  | { kind: 'stream', source: StreamSource }
  | { kind: 'none', why: string }

/** Options of {@link relayStream}. */
export interface RelayOptions {
  source: StreamSource
  /** Requests the events after `lastEventId` from another endpoint. */
  resume: (lastEventId: string | undefined) => Promise<ResumeResult>
}

/** Result of a relay: completed, broken off, or broken before anything was sent to the client. */
export interface RelayResult { kind: 'done' | 'broken' | 'unstarted', outcome: string }

/** How the part of a stream from one endpoint ended. */
type PartEnd = { kind: 'end' } | { kind: 'broken', why: string } | { kind: 'stopped', why: string }

/**
 * A resumable stream without an event for this time is resumed at another endpoint: several times the longest pause of a healthy one,
 * and half of what clients wait before they leave.
 */
const STALL_TIMEOUT_MS = 1000

/** Passes a stream on to its end. */
export async function relayStream (call: clientCalls.ClientCall, opts: RelayOptions): Promise<RelayResult> {
  const { res, route, ctx } = call
  const isResumable = route.isResumable
  const first = opts.source.response.res
  let isStarted = false
  let lastId: string | undefined
  let source = opts.source
  let resumedAfter: string | undefined
  let isSilent = false

  const start = (): void => {
    isStarted = true
    const headers = forwardHeaders.toResponseHeaders(first.rawHeaders)
    if (ctx.isDraining()) headers.push('Connection', 'close')
    res.writeHead(first.statusCode ?? 200, headers)
  }

  let needsDrain = false
  const batcher = eventBatchers.createEventBatcher({
    write (bytes) { needsDrain = !res.write(bytes) },
    schedule (run, ms) {
      const timer = setTimeout(run, ms)
      return () => { clearTimeout(timer) }
    },
    now: ctx.now
  })

  const relayEvent = (event: eventStreams.StreamEvent): void => {
    // Skips events that the client already has, if the endpoint resumes too early.
    if (resumedAfter !== undefined && event.id !== undefined && !isAfter(event.id, lastId)) return
    if (!isStarted) start()
    if (event.id !== undefined) lastId = event.id
    batcher.push(event.bytes)
  }

  const drain = async (): Promise<void> => {
    if (!res.destroyed) await waitForDrain(res, call.aborter.signal)
    needsDrain = false
  }

  const relayPart = async (response: OpenResponse): Promise<PartEnd> => {
    const body = response.res
    const splitter = eventStreams.createEventSplitter()
    const onStall = (): void => {
      isSilent = true
      ctx.log.event('responseSilent', { request: call.attemptId, endpoint: source.sent.endpoint.id, via: source.sent.via, ms: STALL_TIMEOUT_MS, isOpen: !body.socket.destroyed, lastEventId: lastId })
      body.destroy(new Error(`no data within ${STALL_TIMEOUT_MS} ms`))
    }
    const stallTimer = isResumable ? setTimeout(onStall, STALL_TIMEOUT_MS) : undefined
    try {
      for await (const chunk of body) {
        stallTimer?.refresh()
        for (const event of splitter.push(chunk as Buffer)) {
          relayEvent(event)
          if (needsDrain) await drain()
        }
        if (call.aborter.signal.aborted) return { kind: 'stopped', why: String(call.aborter.signal.reason) }
      }
    } catch (err) {
      if (call.aborter.signal.aborted) return { kind: 'stopped', why: String(call.aborter.signal.reason) }
      return { kind: 'broken', why: err instanceof Error ? err.message : String(err) }
    } finally {
      clearTimeout(stallTimer)
    }
    if (!attempts.isComplete(response)) return { kind: 'broken', why: 'the connection closed' }
    if (splitter.pendingBytes() > 0) return { kind: 'broken', why: 'the stream ended with an incomplete event' }
    return { kind: 'end' }
  }

  const countBroken = (cause: entryMetrics.BrokenCause): void => { ctx.metrics.broken.inc({ route: ctx.metrics.toRouteLabel(route.name), cause }) }

  /** Ends the accounting of a source that the relay has resumed the stream at. */
  const endResumed = (): void => {
    if (source === opts.source) return
    source.sent.endpoint.inFlight--
    source.sent.run.end('abandoned', ctx.now())
  }

  const onAbort = (): void => { source.response.abort() }
  call.aborter.signal.addEventListener('abort', onAbort)
  try {
    while (true) {
      const end = await relayPart(source.response)
      batcher.flush()
      if (end.kind !== 'end') source.response.abort()
      switch (end.kind) {
        case 'end':
          attemptRecorders.recordCompleteResponse(call, source.sent, source.response.res.statusCode ?? 0)
          if (!isStarted) start()
          res.end()
          return { kind: 'done', outcome: resumedAfter === undefined ? '200' : '200 resumed' }
        case 'stopped':
          countBroken(end.why === clientCalls.CLIENT_LEFT ? 'client' : 'deadline')
          abortResponses.abortResponse(res)
          return { kind: 'broken', outcome: `stopped: ${end.why}` }
        case 'broken': {
          await attemptRecorders.recordBrokenResponse(call, source.sent)
          if (!isStarted && resumedAfter === undefined) return { kind: 'unstarted', outcome: `lost: ${end.why}` }
          const resumed: ResumeResult = isResumable ? await opts.resume(lastId) : { kind: 'none', why: 'the route is not resumable' }
          if (resumed.kind === 'none') {
            countBroken(isSilent ? 'silence' : 'endpoint')
            abortResponses.abortResponse(res)
            return { kind: 'broken', outcome: `broken: ${end.why}; ${resumed.why}` }
          }
          endResumed()
          source = resumed.source
          resumedAfter = lastId ?? ''
          call.attempts.push({ endpoint: source.sent.endpoint.id, why: 'resume', outcome: `resumed after ${lastId ?? 'nothing'}: ${end.why}`, ms: 0 })
        }
      }
    }
  } finally {
    endResumed()
    call.aborter.signal.removeEventListener('abort', onAbort)
  }
}

/** Event ids are increasing numbers. */
function isAfter (id: string, last: string | undefined): boolean {
  return last === undefined || Number(id) > Number(last)
}

async function waitForDrain (res: http.ServerResponse, signal: AbortSignal): Promise<void> {
  await new Promise<void>(resolve => {
    const settle = (): void => {
      res.off('drain', settle)
      res.off('close', settle)
      signal.removeEventListener('abort', settle)
      resolve()
    }
    res.on('drain', settle)
    res.on('close', settle)
    signal.addEventListener('abort', settle)
  })
}
