/** Event stream of one attempt at the engine stand-in, with numbered events that are kept for a resume, and injected faults. */
import * as events from 'node:events'
import * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'

/** A fault to inject into a stream. */
export type StreamFault = 'stall' | 'gap' | 'cut' | 'cross' | 'duplicate' | 'error' | 'endless' | 'endlessError'

/** Token counts of an attempt. */
export interface Usage { promptTokens: number, cachedTokens: number, words: number }

/** The stream of one attempt. */
export interface AttemptStream {
  /** Sends a word as the next event. */
  emitWord (index: number, word: string): void
  /** Sends the finish reason, the token counts and the end marker. */
  finish (usage: Usage): void
  /** Attaches a response and sends it the events from number `from` on; closes an earlier response of this attempt. */
  attach (res: http.ServerResponse, from: number): void
  /** Sends an SSE comment, unless the stream is done or stalled. */
  keepAlive (): void
  /** Returns whether an unfinished stream has had no response attached for longer than `DETACH_TIMEOUT_MS`. */
  isAbandoned (): boolean
}

/** Options of a stream; `resumeOffset` is the number of words that another engine sent already. */
export interface AttemptStreamOptions { attempt: string, requestId: string, model: string, createdAt: number, resumeOffset: number, fault: StreamFault | undefined }

const DETACH_TIMEOUT_MS = 3000
const END_MARK = 'data: [DONE]\n\n'
/** Number of the first event that each fault affects. */
const FIRST_AFFECTED_EVENT = { stall: 3, gap: 3, cut: 4, cross: 2, endless: 3 }

/** Sends bytes that end no event, until the connection is closed. */
export async function sendEndlessly (res: http.ServerResponse): Promise<void> {
  const chunk = `data: ${'x'.repeat(1000)}\n`
  while (!res.destroyed) {
    if (!res.write(chunk)) await Promise.race([events.EventEmitter.once(res, 'drain'), events.EventEmitter.once(res, 'close')]).catch(() => {})
    await timers.setImmediate()
  }
}

/** Creates a stream without an attached response. */
export function createAttemptStream (opts: AttemptStreamOptions): AttemptStream {
  const base = { id: `chatcmpl-${opts.requestId}`, object: 'chat.completion.chunk', created: Math.floor(opts.createdAt / 1000), model: opts.model }
  // Placeholders for the events that another engine sent already, to keep the numbering.
  const sent = Array.from({ length: opts.resumeOffset }, () => JSON.stringify({ ...base, choices: [{ index: 0, delta: {}, finish_reason: null }] }))
  let { fault } = opts
  let client: http.ServerResponse | undefined
  let detachedAt: number | undefined
  let isDone = false

  const push = (chunk: unknown): void => {
    sent.push(JSON.stringify(chunk))
    send(sent.length - 1)
  }

  const write = (n: number, data = sent[n], attempt = opts.attempt): void => { client?.write(`id: ${attempt}.${n}\ndata: ${data}\n\n`) }

  const send = (n: number): void => {
    switch (fault) {
      case 'stall':
      case 'gap':
        if (n < FIRST_AFFECTED_EVENT[fault]) write(n)
        return
      case 'cut':
        if (n === FIRST_AFFECTED_EVENT.cut) cut()
        else write(n)
        return
      case 'cross':
        // A word of another answer, with another attempt's id.
        if (n === FIRST_AFFECTED_EVENT.cross) write(n, sent[n].replace(/"content":"[^"]*"/, '"content":" foreign"'), 'another-attempt')
        else write(n)
        return
      case 'duplicate':
        write(n)
        write(n)
        return
      case 'endless':
        if (n < FIRST_AFFECTED_EVENT.endless) write(n)
        else if (n === FIRST_AFFECTED_EVENT.endless && client !== undefined) {
          client.write(`id: ${opts.attempt}.${n}\n`)
          void sendEndlessly(client)
        }
        return
      case 'error':
      case 'endlessError':
      case undefined:
        write(n)
    }
  }

  const cut = (): void => {
    const disconnected = client
    fault = undefined
    client = undefined
    detachedAt = performance.now()
    disconnected?.destroy()
  }

  return {
    emitWord (index, word) {
      const delta = { ...(index === 0 ? { role: 'assistant' } : {}), content: index === 0 ? word : ' ' + word }
      push({ ...base, choices: [{ index: 0, delta, finish_reason: null }] })
    },
    finish (usage) {
      push({ ...base, choices: [{ index: 0, delta: {}, finish_reason: 'stop' }] })
      push({ ...base, choices: [], usage: { prompt_tokens: usage.promptTokens, completion_tokens: usage.words, total_tokens: usage.promptTokens + usage.words, prompt_tokens_details: { cached_tokens: usage.cachedTokens } } })
      isDone = true
      if (fault !== 'stall' && fault !== 'endless') client?.end(END_MARK)
    },
    attach (res, from) {
      if (client !== undefined) {
        fault = undefined
        client.destroy()
      }
      client = res
      detachedAt = undefined
      res.writeHead(200, { 'content-type': 'text/event-stream', [contracts.HEADERS.attempt]: opts.attempt })
      res.flushHeaders()
      res.on('close', () => {
        if (client !== res) return
        client = undefined
        detachedAt = performance.now()
      })
      for (let n = from; n < sent.length; n++) send(n)
      if (isDone) res.end(END_MARK)
    },
    keepAlive () {
      const isStalled = (fault === 'stall' || fault === 'endless') && sent.length >= FIRST_AFFECTED_EVENT[fault]
      if (!isStalled && !isDone) client?.write(': wait\n\n')
    },
    isAbandoned: () => !isDone && detachedAt !== undefined && performance.now() - detachedAt > DETACH_TIMEOUT_MS
  }
}
