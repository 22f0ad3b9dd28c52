/**
 * Passes an event stream on, event by event, and goes on at another endpoint when the first one breaks off and the route
 * allows that. Only whole events are passed on, so that the rest can be asked for behind the last one.
 */
import * as http from 'node:http'
import * as attempts from './attempt.js'
import * as abortResponses from './abortResponse.js'
import * as clientCalls from './clientCall.js'
import * as endpointPools from './endpointPool.js'
import * as eventBatchers from './eventBatcher.js'
import * as eventStreams from './eventStream.js'
import * as forwardHeaders from './forwardHeaders.js'

/** An answer whose body is still to come. */
export type OpenResponse = Extract<attempts.AttemptResult, { kind: 'answer' }>

/** What came of asking another endpoint for the rest. */
export type ResumeResult =
  | { kind: 'stream', endpoint: endpointPools.Endpoint, sent: OpenResponse }
  | { kind: 'none', why: string }

/** What a relay needs beside the request. */
export interface RelayOptions {
  response: OpenResponse
  /** The endpoint that gives this answer. */
  endpoint: endpointPools.Endpoint
  /** Asks another endpoint for what follows an event, after one broke off. */
  resume: (lastEventId: string | undefined, broken: endpointPools.Endpoint) => Promise<ResumeResult>
}

/** How a relay ended: with its end passed on, broken off, or before anything was passed on. */
export interface RelayResult { kind: 'done' | 'broken' | 'unstarted', outcome: string }

/** How one endpoint's part of a stream ended. */
type PartEnd = { kind: 'end' } | { kind: 'broken', why: string } | { kind: 'stopped', why: string }

/**
 * A stream that may be resumed is taken elsewhere when its endpoint is silent for this long mid-stream: several times the
 * longest pause of a sound one, and half of what clients bear before they leave.
 */
const STALL_MS = 1000

/**
 * Passes a stream on to its end.
 * @param call the request
 * @param opts the endpoint's answer and the way to another one
 * @returns how it ended
 */
export async function relayStream (call: clientCalls.ClientCall, opts: RelayOptions): Promise<RelayResult> {
  const { res, route, ctx } = call
  const canResume = route.isResumable
  const first = opts.response.res
  let isStarted = false
  let lastId: string | undefined
  let source = opts.response
  let restEndpoint: endpointPools.Endpoint | undefined
  let resumedFrom: string | undefined

  const start = (): void => {
    isStarted = true
    const headers = forwardHeaders.toResponseHeaders(first.rawHeaders)
    if (ctx.isDraining()) headers.push('Connection', 'close')
    res.writeHead(first.statusCode ?? 200, headers)
  }

  let isBackedUp = false
  const joiner = eventBatchers.createEventBatcher({
    write (bytes) { isBackedUp = !res.write(bytes) },
    schedule (run, ms) {
      const timer = setTimeout(run, ms)
      return () => { clearTimeout(timer) }
    }
  })

  const pass = async (event: eventStreams.StreamEvent): Promise<void> => {
    // An endpoint that goes on too early would send events twice.
    if (resumedFrom !== undefined && event.id !== undefined && !isBehind(event.id, lastId)) return
    if (!isStarted) start()
    if (event.id !== undefined) lastId = event.id
    joiner.push(event.bytes)
    if (isBackedUp && !res.destroyed) {
      await drained(res, call.aborter.signal)
      isBackedUp = false
    }
  }

  const runPart = async (answer: OpenResponse): Promise<PartEnd> => {
    const part = answer.res
    const splitter = eventStreams.createEventSplitter()
    try {
      for await (const chunk of withStall(part, canResume ? STALL_MS : undefined)) {
        for (const event of splitter.push(chunk)) await pass(event)
        if (call.aborter.signal.aborted) return { kind: 'stopped', why: String(call.aborter.signal.reason) }
      }
    } catch (err) {
      if (call.aborter.signal.aborted) return { kind: 'stopped', why: String(call.aborter.signal.reason) }
      return { kind: 'broken', why: err instanceof Error ? err.message : String(err) }
    }
    if (!attempts.isComplete(answer)) return { kind: 'broken', why: 'the connection closed' }
    if (splitter.pendingBytes() > 0) return { kind: 'broken', why: 'the stream ended within an event' }
    return { kind: 'end' }
  }

  const onStop = (): void => { source.abort() }
  call.aborter.signal.addEventListener('abort', onStop)
  try {
    while (true) {
      const end = await runPart(source)
      joiner.flush()
      if (end.kind !== 'end') source.abort()
      switch (end.kind) {
        case 'end':
          if (!isStarted) start()
          res.end()
          return { kind: 'done', outcome: resumedFrom === undefined ? '200' : '200 resumed' }
        case 'stopped':
          abortResponses.abortResponse(res)
          return { kind: 'broken', outcome: `stopped: ${end.why}` }
        case 'broken': {
          if (!isStarted && resumedFrom === undefined) return { kind: 'unstarted', outcome: `lost: ${end.why}` }
          const resumed: ResumeResult = canResume ? await opts.resume(lastId, restEndpoint ?? opts.endpoint) : { kind: 'none', why: 'the route does not allow to resume' }
          if (resumed.kind === 'none') {
            abortResponses.abortResponse(res)
            return { kind: 'broken', outcome: `broken: ${end.why}; ${resumed.why}` }
          }
          if (restEndpoint !== undefined) restEndpoint.inFlight--
          restEndpoint = resumed.endpoint
          source = resumed.sent
          resumedFrom = lastId ?? ''
          call.attempts.push({ endpoint: restEndpoint.id, why: 'resume', outcome: `resumed after ${lastId ?? 'nothing'}: ${end.why}`, ms: 0 })
        }
      }
    }
  } finally {
    if (restEndpoint !== undefined) restEndpoint.inFlight--
    call.aborter.signal.removeEventListener('abort', onStop)
  }
}

/** Event ids are numbers that grow. */
function isBehind (id: string, last: string | undefined): boolean {
  return last === undefined || Number(id) > Number(last)
}

async function drained (res: http.ServerResponse, signal: AbortSignal): Promise<void> {
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

/** Reads a body and gives up when nothing comes for too long. */
async function * withStall (part: http.IncomingMessage, stallMs: number | undefined): AsyncGenerator<Buffer> {
  let timer: NodeJS.Timeout | undefined
  const arm = (): void => {
    if (stallMs === undefined) return
    clearTimeout(timer)
    timer = setTimeout(() => { part.destroy(new Error(`nothing came for ${stallMs} ms`)) }, stallMs)
  }
  arm()
  try {
    for await (const chunk of part) {
      arm()
      yield chunk as Buffer
    }
  } finally {
    clearTimeout(timer)
  }
}
