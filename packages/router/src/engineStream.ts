/**
 * Runs a chat completion on an engine and passes its stream on. Guards, each with the failure it is for:
 * - the attempt id in the response and in each event: an answer that belongs to another request;
 * - the numbers of the events: an answer with a part missing or sent twice;
 * - the end mark: an answer that was cut, which a closed connection alone would pass off as whole;
 * - the finish before the end mark: an answer whose last events are missing although its end mark came;
 * - the watch on silence: a connection that something between the two ends has forgotten.
 */
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import type * as session from './session.js'

/** How a stream from an engine ended. */
export type StreamEnd =
  | { kind: 'whole', promptTokens: number, cachedTokens: number, tokens: number }
  | { kind: 'silent' }
  | { kind: 'cut', detail: string }
  | { kind: 'crossed', detail: string }
  | { kind: 'error', status: number, detail: string }
  | { kind: 'aborted' }

/** What running a stream needs. */
export interface StreamOptions {
  lease: links.EndpointConnection
  session: session.Session
  /** Header of the resume: the last event that arrived, as the event-stream standard has it. */
  lastEventId: string | undefined
}

const MAX_ERROR_BYTES = 2048

/**
 * Sends the request over a connection and passes events on until the stream ends one way or another.
 * @param opts the connection and the attempt
 * @returns how it ended; the connection is given back only after a whole answer
 */
export async function runStream (opts: StreamOptions): Promise<StreamEnd> {
  const { lease } = opts
  const watch = createSilenceWatch(opts.session.abort.signal)
  let end: StreamEnd = { kind: 'cut', detail: 'connection ended' }
  try {
    // Raced, because a request that waits inside the client for its connection does not hear of the abort.
    end = await Promise.race([requestAndRead(opts, watch), watch.failed])
  } catch (err) {
    if (opts.session.abort.signal.aborted) end = { kind: 'aborted' }
    else if (watch.isSilent()) end = { kind: 'silent' }
    else end = { kind: 'cut', detail: err instanceof Error ? err.message : String(err) }
  } finally {
    watch.stop()
    if (end.kind === 'whole') lease.release()
    else lease.destroy()
  }
  return end
}

async function requestAndRead (opts: StreamOptions, watch: SilenceWatch): Promise<StreamEnd> {
  const { msg } = opts.session
  const { work } = msg
  if (work.kind !== 'chat') throw new Error('not a chat')
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    accept: 'text/event-stream',
    [contracts.HEADERS.attempt]: msg.attempt,
    [contracts.HEADERS.requestId]: msg.request,
    [contracts.HEADERS.chat]: work.chat,
    [contracts.HEADERS.priority]: String(msg.rank)
  }
  if (opts.lastEventId !== undefined) headers['last-event-id'] = opts.lastEventId
  const res = await opts.lease.client.request({ path: '/v1/chat/completions', method: 'POST', headers, body: Buffer.from(msg.body), signal: watch.signal })
  watch.touch()
  if (res.statusCode !== 200) {
    const detail = (await res.body.text()).slice(0, MAX_ERROR_BYTES)
    return { kind: 'error', status: res.statusCode, detail }
  }
  const echoed = res.headers[contracts.HEADERS.attempt]
  if (echoed !== msg.attempt) return { kind: 'crossed', detail: `asked as ${msg.attempt}, answered as ${String(echoed)}` }
  return await readEvents(opts, watch, res.body)
}

async function readEvents (opts: StreamOptions, watch: SilenceWatch, body: AsyncIterable<Uint8Array>): Promise<StreamEnd> {
  const { session } = opts
  let isWhole = false
  const decoder = new TextDecoder()
  let text = ''
  let usage: Usage = { promptTokens: 0, cachedTokens: 0, tokens: 0 }
  for await (const bytes of body) {
    watch.touch()
    text += decoder.decode(bytes, { stream: true })
    let at = text.indexOf('\n\n')
    while (at >= 0) {
      const event = parseEvent(text.slice(0, at))
      text = text.slice(at + 2)
      at = text.indexOf('\n\n')
      if (event === undefined) continue
      if (event.data === '[DONE]') isWhole = true
      if (isWhole) continue
      if (isFinish(event.data)) session.isFinished = true
      const problem = checkEvent(session, event)
      if (problem !== undefined) return problem
      if (event.n < session.nextChunk) continue
      session.nextChunk = event.n + 1
      usage = toUsage(event.data) ?? usage
      session.emit({ t: 'chunk', attempt: session.msg.attempt, n: event.n, data: event.data })
    }
    await session.drained()
  }
  // Read to its end also after the end mark: a connection with a rest in it cannot be used again.
  if (isWhole && session.isFinished) return { kind: 'whole', ...usage }
  return { kind: 'cut', detail: isWhole ? 'the end mark came before the finish' : 'the stream ended without its end mark' }
}

interface StreamEvent { attempt: string, n: number, data: string }
interface Usage { promptTokens: number, cachedTokens: number, tokens: number }

/** Hot path: one call for each token of an answer. */
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

function checkEvent (session: session.Session, event: StreamEvent): StreamEnd | undefined {
  if (event.attempt !== session.msg.attempt) return { kind: 'crossed', detail: `event of ${event.attempt} in ${session.msg.attempt}` }
  if (!(event.n <= session.nextChunk)) return { kind: 'cut', detail: `event ${event.n} where ${session.nextChunk} was due` }
  return undefined
}

/** The last events of an answer: the one that gives the reason of its finish, and the one with the token counts. */
function isFinish (data: string): boolean {
  return data.includes('"finish_reason":"') || data.includes('"usage":{')
}

function toUsage (data: string): Usage | undefined {
  if (!data.includes('"usage":{')) return undefined
  const usage = (JSON.parse(data) as { usage?: { prompt_tokens?: number, completion_tokens?: number, prompt_tokens_details?: { cached_tokens?: number } } }).usage
  if (usage === undefined) return undefined
  return { promptTokens: usage.prompt_tokens ?? 0, cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0, tokens: usage.completion_tokens ?? 0 }
}

interface SilenceWatch {
  signal: AbortSignal
  /** Rejects when the stream fell silent or the attempt was given up. */
  failed: Promise<never>
  touch (): void
  isSilent (): boolean
  stop (): void
}

function createSilenceWatch (outer: AbortSignal): SilenceWatch {
  const inner = new AbortController()
  let isSilent = false
  let touchedAt = performance.now()
  const timer = setInterval(() => {
    if (performance.now() - touchedAt < contracts.STREAM_IDLE_TIMEOUT_MS) return
    isSilent = true
    inner.abort()
  }, contracts.STREAM_IDLE_TIMEOUT_MS / 5)
  const onAbort = (): void => { inner.abort() }
  if (outer.aborted) inner.abort()
  outer.addEventListener('abort', onAbort, { once: true })
  const failed = new Promise<never>((resolve, reject) => { inner.signal.addEventListener('abort', () => { reject(new Error('given up')) }, { once: true }) })
  failed.catch(() => {})
  return {
    failed,
    signal: inner.signal,
    touch: () => { touchedAt = performance.now() },
    isSilent: () => isSilent,
    stop: () => {
      clearInterval(timer)
      outer.removeEventListener('abort', onAbort)
    }
  }
}
