/**
 * Runs a chat completion on an engine and forwards its event stream. Checks against corrupt answers:
 * - attempt id in the response and in each event: detects an answer to another request;
 * - event numbers: detects missing and repeated events;
 * - `[DONE]`, preceded by the final event: detects a truncated answer;
 * - idle timeout: detects a connection that was dropped without being closed.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as boundedBodies from './boundedBody.js'
import type * as session from './session.js'

/** Result of an engine's stream. */
export type StreamEnd =
  | { kind: 'whole', promptTokens: number, cachedTokens: number, tokens: number }
  | { kind: 'silent' }
  | { kind: 'cut', detail: string }
  | { kind: 'crossed', detail: string }
  | { kind: 'error', status: number, detail: string }
  | { kind: 'aborted' }

/** Inputs of {@link runStream}. */
export interface StreamOptions {
  lease: links.EndpointConnection
  session: session.Session
  /** Value of the `Last-Event-ID` header, from which the engine resumes. */
  lastEventId: string | undefined
}

const MAX_ERROR_BYTES = 2048
/** Size of an incomplete event from which on the stream is broken off. */
const MAX_EVENT_BYTES = 1024 * 1024

/**
 * Sends the request over a connection and forwards events until the stream ends.
 * @returns how the stream ended; the connection is reused only after a complete answer
 */
export async function runStream (opts: StreamOptions): Promise<StreamEnd> {
  const { lease } = opts
  const idleTimer = createIdleTimer(opts.session.abort.signal)
  let end: StreamEnd = { kind: 'cut', detail: 'the connection closed' }
  try {
    // Raced, because the client does not abort a request that is still waiting for its connection.
    end = await Promise.race([requestAndRead(opts, idleTimer), idleTimer.expired])
  } catch (err) {
    if (opts.session.abort.signal.aborted) end = { kind: 'aborted' }
    else if (idleTimer.isExpired()) end = { kind: 'silent' }
    else end = { kind: 'cut', detail: err instanceof Error ? err.message : String(err) }
  } finally {
    idleTimer.stop()
    if (end.kind === 'whole') lease.release()
    else lease.destroy()
  }
  return end
}

async function requestAndRead (opts: StreamOptions, idleTimer: IdleTimer): Promise<StreamEnd> {
  const { msg } = opts.session
  const { work } = msg
  if (work.kind !== 'chat') throw new Error(`expected work of kind chat, got ${work.kind}`)
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    accept: 'text/event-stream',
    [contracts.HEADERS.attempt]: msg.attempt,
    [contracts.HEADERS.requestId]: msg.request,
    [contracts.HEADERS.chat]: work.chat,
    [contracts.HEADERS.priority]: String(msg.rank)
  }
  if (opts.lastEventId !== undefined) headers['last-event-id'] = opts.lastEventId
  const res = await opts.lease.client.request({ path: '/v1/chat/completions', method: 'POST', headers, body: Buffer.from(msg.body), signal: idleTimer.signal })
  idleTimer.reset()
  if (res.statusCode !== 200) {
    return { kind: 'error', status: res.statusCode, detail: await boundedBodies.readBeginning(res.body, MAX_ERROR_BYTES) }
  }
  const echoed = res.headers[contracts.HEADERS.attempt]
  if (echoed !== msg.attempt) return { kind: 'crossed', detail: `response has attempt id ${String(echoed)}, expected ${msg.attempt}` }
  return await readEvents(opts, idleTimer, res.body)
}

async function readEvents (opts: StreamOptions, idleTimer: IdleTimer, body: AsyncIterable<Uint8Array>): Promise<StreamEnd> {
  const { session } = opts
  let hasTerminator = false
  const splitter = links.createEventSplitter()
  let usage: Usage = { promptTokens: 0, cachedTokens: 0, tokens: 0 }
  for await (const bytes of body) {
    idleTimer.reset()
    for (const { bytes: block } of splitter.push(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength))) {
      const event = parseEvent(block.toString())
      if (event === undefined) continue
      if (event.data === '[DONE]') hasTerminator = true
      if (hasTerminator) continue
      if (isFinalEvent(event.data)) session.isFinished = true
      const invalid = validateEvent(session, event)
      if (invalid !== undefined) return invalid
      if (event.n < session.nextChunk) continue
      session.nextChunk = event.n + 1
      usage = toUsage(event.data) ?? usage
      session.emit({ t: 'chunk', attempt: session.msg.attempt, n: event.n, data: event.data })
    }
    if (splitter.pendingBytes() > MAX_EVENT_BYTES) return { kind: 'cut', detail: `an event is larger than ${MAX_EVENT_BYTES} bytes` }
    await session.drained()
  }
  // The body is read to its end even after [DONE], so that the connection can be reused.
  if (hasTerminator && session.isFinished) return { kind: 'whole', ...usage }
  return { kind: 'cut', detail: hasTerminator ? 'the stream ended with [DONE] but without a final event' : 'the stream ended without [DONE]' }
}

interface StreamEvent { attempt: string, n: number, data: string }
interface Usage { promptTokens: number, cachedTokens: number, tokens: number }

/** Hot path: called once per token. */
function parseEvent (block: string): StreamEvent | undefined {
  let id = ''
  let data: string | undefined
  for (const line of block.split('\n')) {
    if (line.startsWith('data: ')) data = line.slice(6)
    else if (line.startsWith('id: ')) id = line.slice(4)
  }
  if (data === undefined) return undefined
  const dot = id.lastIndexOf('.')
  return { attempt: id.slice(0, dot), n: Number(id.slice(dot + 1)), data }
}

function validateEvent (session: session.Session, event: StreamEvent): StreamEnd | undefined {
  if (event.attempt !== session.msg.attempt) return { kind: 'crossed', detail: `received event of attempt ${event.attempt}, expected ${session.msg.attempt}` }
  if (!(event.n <= session.nextChunk)) return { kind: 'cut', detail: `received event ${event.n}, expected ${session.nextChunk}` }
  return undefined
}

/** Whether an event has the finish reason or the token counts, which only the last events of an answer do. */
function isFinalEvent (data: string): boolean {
  return data.includes('"finish_reason":"') || data.includes('"usage":{')
}

function toUsage (data: string): Usage | undefined {
  if (!data.includes('"usage":{')) return undefined
  const usage = (JSON.parse(data) as { usage?: { prompt_tokens?: number, completion_tokens?: number, prompt_tokens_details?: { cached_tokens?: number } } }).usage
  if (usage === undefined) return undefined
  return { promptTokens: usage.prompt_tokens ?? 0, cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0, tokens: usage.completion_tokens ?? 0 }
}

interface IdleTimer {
  signal: AbortSignal
  /** Rejects when the stream is idle for too long or the attempt is aborted. */
  expired: Promise<never>
  reset (): void
  isExpired (): boolean
  stop (): void
}

function createIdleTimer (abortSignal: AbortSignal): IdleTimer {
  const controller = new AbortController()
  let isExpired = false
  let lastActivityAt = performance.now()
  const timer = setInterval(() => {
    if (performance.now() - lastActivityAt < contracts.STREAM_IDLE_TIMEOUT_MS) return
    isExpired = true
    controller.abort()
  }, contracts.STREAM_IDLE_TIMEOUT_MS / 5)
  const onAbort = (): void => { controller.abort() }
  if (abortSignal.aborted) controller.abort()
  abortSignal.addEventListener('abort', onAbort, { once: true })
  const expired = new Promise<never>((resolve, reject) => { controller.signal.addEventListener('abort', () => { reject(new Error('stream aborted')) }, { once: true }) })
  expired.catch(() => {})
  return {
    expired,
    signal: controller.signal,
    reset: () => { lastActivityAt = performance.now() },
    isExpired: () => isExpired,
    stop: () => {
      clearInterval(timer)
      abortSignal.removeEventListener('abort', onAbort)
    }
  }
}
