/**
 * Relays an event stream to the client, and resumes it at another endpoint if it breaks off and the route is resumable. Only complete
 * events are relayed, so that the stream can be resumed after the last one.
 *
 * A silent source is not given up: it is resumed elsewhere while it stays open, and whichever endpoint sends the next event first
 * continues the stream. The other one is aborted then.
 */
import * as http from 'node:http'
import * as links from '@kingcupdeck/links'
import * as abortResponses from './abortResponse.js'
import * as attemptRecorders from '../attempts/attemptRecorder.js'
import * as clientCalls from '../attempts/clientCall.js'
import * as clientResponses from '../attempts/clientResponse.js'
import type * as endpointProbes from '../endpoints/endpointProbe.js'
import * as brokenResponses from '../instance/brokenResponses.js'
import * as eventBatchers from './eventBatcher.js'
import * as forwardHeaders from '../attempts/forwardHeaders.js'
import type * as openAttempts from '../attempts/openAttempt.js'
import * as silenceTimers from './silenceTimer.js'
import type * as streamReaders from './streamReader.js'
import * as unframedEnds from '../attempts/unframedEnd.js'

/** Result of resuming a stream at another endpoint. */
export type ResumeResult =
  | { kind: 'stream', source: openAttempts.StreamSource }
  | { kind: 'none', why: string }

/** Options of a resumption. */
export interface ResumeOptions {
  /** Last event that the client has, undefined if none. */
  lastEventId: string | undefined
  /** Aborts the resumption. */
  signal: AbortSignal
  /** Returns whether the present source is open, and only silent. */
  isSourceOpen: () => boolean
}

/** Options of {@link relayStream}. */
export interface RelayOptions {
  source: openAttempts.StreamSource
  /** Requests the rest of the stream from another endpoint. */
  resume: (opts: ResumeOptions) => Promise<ResumeResult>
}

/** Events that a relay waits for. */
type RelayEvent =
  | { kind: 'part', source: openAttempts.StreamSource, part: streamReaders.StreamPart }
  /** The source is silent; repeated while it is. */
  | { kind: 'silent' }
  | { kind: 'resumed', resumption: AbortController, result: ResumeResult }
  /** The client left or the deadline passed. */
  | { kind: 'stopped' }
  /** A resumption threw an error. */
  | { kind: 'failed', err: unknown }

/** Passes a stream on to its end. @returns the outcome for the log */
export async function relayStream (call: clientCalls.ClientCall, opts: RelayOptions): Promise<string> {
  const { res, route, ctx } = call
  const mailbox = links.createMailbox<RelayEvent>()
  const first = opts.source.response.res
  let isStarted = false
  let lastId: string | undefined
  let { source } = opts
  let hasResumed = false
  /** The resumption in progress. */
  let resumption: AbortController | undefined
  /** Why the source broke off, undefined while it is open. */
  let brokenWhy: string | undefined
  const silence = silenceTimers.startSilenceTimer(() => { mailbox.put({ kind: 'silent' }) }, ctx.now)
  source.sent.isSilent = false

  const start = (): void => {
    isStarted = true
    const headers = forwardHeaders.toResponseHeaders(first.rawHeaders, names => { clientResponses.logInvalidHeaders(call, names) })
    if (ctx.isDraining()) headers.push('Connection', 'close')
    res.writeHead(first.statusCode ?? 200, headers)
  }

  const batcher = eventBatchers.createEventBatcher({
    write (bytes) { res.write(bytes) },
    schedule (run, ms) {
      const timer = setTimeout(run, ms)
      return () => { clearTimeout(timer) }
    },
    now: ctx.now
  })

  const relayEvent = (event: links.StreamEvent): void => {
    if (!isStarted) start()
    if (event.id !== undefined) lastId = event.id
    batcher.push(event.bytes)
  }

  /** Waits for a client that reads slowly. Its endpoint is not silent meanwhile. */
  const drain = async (): Promise<void> => {
    silence.stop()
    source.reader.pause()
    if (!res.destroyed) await waitForDrain(res, call.aborter.signal)
    source.reader.resume()
    silence.restart()
  }

  /** Records that the source sends events. */
  const noteProgress = (): void => {
    const { sent } = source
    if (sent.isSilent) {
      ctx.log.event('responseContinued', { request: call.attemptId, endpoint: sent.endpoint.id, ms: silence.silentMs(), isResuming: resumption !== undefined })
      ctx.metrics.silences.inc({ outcome: 'continued' })
      sent.isSilent = false
    }
    silence.restart()
    resumption?.abort('the endpoint sends events again')
    resumption = undefined
  }

  const noteSilence = (): void => {
    const { sent } = source
    if (sent.isSilent) return
    sent.isSilent = true
    ctx.log.event('responseSilent', { request: call.attemptId, endpoint: sent.endpoint.id, via: sent.via, ms: silence.silentMs(), lastEventId: lastId })
    // Requests that come next must not wait for an endpoint that is lost.
    void attemptRecorders.probeAndRecord(ctx, sent.endpoint)
  }

  /** Without an id of the last event that can be sent, the client would get the same events again. */
  const mayResume = (): boolean => route.isResumable && (lastId !== undefined ? forwardHeaders.isValue(lastId) : !isStarted)

  const startResumption = (): void => {
    if (resumption !== undefined || !mayResume()) return
    const started = new AbortController()
    resumption = started
    const isSourceOpen = (): boolean => brokenWhy === undefined
    void opts.resume({ lastEventId: lastId, signal: started.signal, isSourceOpen }).then(result => {
      if (result.kind === 'stream') discardOnAbort(call, result.source, started.signal)
      mailbox.put({ kind: 'resumed', resumption: started, result })
    }, err => { mailbox.put({ kind: 'failed', err }) })
  }

  const onEndpointDown = (failure: endpointProbes.ProbeFailure): void => {
    if (!failure.isSilent) mailbox.put({ kind: 'part', source, part: { kind: 'broken', why: failure.why } })
  }

  const listen = (): void => {
    const current = source
    current.sent.endpoint.downListeners.add(onEndpointDown)
    current.reader.start(part => { mailbox.put({ kind: 'part', source: current, part }) })
  }

  /** Ends the present source. */
  const release = (why: string): void => {
    source.sent.endpoint.downListeners.delete(onEndpointDown)
    source.reader.abort(why)
    source.sent.release()
  }

  /** Continues the stream with another source. */
  const moveTo = (next: openAttempts.StreamSource): void => {
    const cause = brokenWhy ?? `silent for ${silence.silentMs()} ms`
    if (brokenWhy === undefined) {
      attemptRecorders.recordAbandoned(call, source.sent)
      ctx.metrics.silences.inc({ outcome: 'moved' })
    }
    release('another endpoint continues the stream')
    call.attempts.push({ endpoint: next.sent.endpoint.id, why: 'resume', outcome: `resumed after ${lastId ?? 'nothing'}: ${cause}`, ms: 0 })
    source = next
    hasResumed = true
    brokenWhy = undefined
    silence.restart()
    listen()
  }

  const breakOff = (why: string, cause: brokenResponses.BrokenCause): string => {
    if (!isStarted) return clientResponses.sendFailure(call, undefined, why)
    brokenResponses.noteCause(res, cause)
    batcher.flush()
    abortResponses.abortResponse(res)
    return why
  }

  /** @returns the outcome if the stream has ended */
  const relayPart = async (part: streamReaders.StreamPart): Promise<string | undefined> => {
    if (part.kind === 'events') {
      noteProgress()
      for (const item of part.events) relayEvent(item)
      if (res.writableNeedDrain) await drain()
      return undefined
    }
    batcher.flush()
    const why = part.kind === 'broken' ? part.why : await unframedEnds.findCut(call, source.sent, source.response)
    if (why === undefined) {
      attemptRecorders.recordCompleteResponse(call, source.sent, source.response.res.statusCode ?? 0)
      if (!isStarted) start()
      res.end()
      return hasResumed ? '200 resumed' : '200'
    }
    // The loop ends with the reason.
    if (call.aborter.signal.aborted) return undefined
    brokenWhy = why
    source.reader.abort(why)
    await attemptRecorders.recordLoss(call, source.sent)
    if (!mayResume()) return breakOff(`broken: ${why}; the stream is not resumable`, 'endpoint')
    startResumption()
    return undefined
  }

  const onStop = (): void => { mailbox.put({ kind: 'stopped' }) }
  call.aborter.signal.addEventListener('abort', onStop)
  if (call.aborter.signal.aborted) onStop()
  listen()
  try {
    while (true) {
      const event = await mailbox.take()
      switch (event.kind) {
        case 'silent':
          if (brokenWhy !== undefined) break
          noteSilence()
          startResumption()
          break
        case 'stopped': {
          const why = String(call.aborter.signal.reason)
          return breakOff(`stopped: ${why}`, why === clientCalls.CLIENT_LEFT ? 'client' : 'deadline')
        }
        case 'resumed':
          if (event.resumption !== resumption) break
          resumption = undefined
          if (event.result.kind === 'stream') moveTo(event.result.source)
          else if (brokenWhy !== undefined) return breakOff(`broken: ${brokenWhy}; ${event.result.why}`, 'endpoint')
          break
        case 'part': {
          if (event.source !== source || brokenWhy !== undefined) break
          const outcome = await relayPart(event.part)
          if (outcome !== undefined) return outcome
          break
        }
        case 'failed': throw event.err
      }
    }
  } finally {
    silence.stop()
    call.aborter.signal.removeEventListener('abort', onStop)
    resumption?.abort('the stream has ended')
    release('the stream has ended')
  }
}

/** Aborts the stream of a resumption when that is aborted. */
function discardOnAbort (call: clientCalls.ClientCall, source: openAttempts.StreamSource, signal: AbortSignal): void {
  const discard = (): void => {
    source.reader.abort(String(signal.reason))
    attemptRecorders.recordAbandoned(call, source.sent)
    source.sent.release()
  }
  if (signal.aborted) discard()
  else signal.addEventListener('abort', discard)
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
