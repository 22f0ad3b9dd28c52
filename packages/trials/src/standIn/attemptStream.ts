/** The stream of one attempt at the engine stand-in: numbered events that are kept for a resume, and faults on demand. */
import * as http from 'node:http'
import * as contracts from '@kingcupdeck/contracts'

/** A fault that a stream meets. */
export type StreamFault = 'stall' | 'gap' | 'cut' | 'cross' | 'duplicate' | 'error'

/** Token counts for the last event. */
export interface Usage { promptTokens: number, cachedTokens: number, words: number }

/** The stream of one attempt. */
export interface AttemptStream {
  /** Sends a word, as the next event. */
  emitWord (index: number, word: string): void
  /** Sends the finish, the counts and the end mark. */
  finish (usage: Usage): void
  /** Connects a caller, from event `from` on; an earlier connection of the same attempt ends. */
  attach (res: http.ServerResponse, from: number): void
  keepAlive (): void
  /** @returns whether nobody has followed it for a while */
  isAbandoned (): boolean
}

/** What a stream is built from. */
export interface AttemptStreamOptions { attempt: string, requestId: string, model: string, createdAt: number, resumeOffset: number, fault: StreamFault | undefined }

const DETACH_TIMEOUT_MS = 3000
const END_MARK = 'data: [DONE]\n\n'
/** Events that get through before each fault shows. */
const FAULT_AFTER_EVENTS = { stall: 3, gap: 3, cut: 4, cross: 2 }

/**
 * Creates a stream without a caller.
 * @param opts whose it is, and where it begins
 * @returns the stream
 */
export function createAttemptStream (opts: AttemptStreamOptions): AttemptStream {
  const base = { id: `chatcmpl-${opts.requestId}`, object: 'chat.completion.chunk', created: Math.floor(opts.createdAt / 1000), model: opts.model }
  // Events that another engine sent already are there in number only.
  const events = Array.from({ length: opts.resumeOffset }, () => JSON.stringify({ ...base, choices: [{ index: 0, delta: {}, finish_reason: null }] }))
  let { fault } = opts
  let client: http.ServerResponse | undefined
  let detachedAt: number | undefined
  let isDone = false

  const push = (chunk: unknown): void => {
    events.push(JSON.stringify(chunk))
    send(events.length - 1)
  }

  const write = (n: number, data = events[n], attempt = opts.attempt): void => { client?.write(`id: ${attempt}.${n}\ndata: ${data}\n\n`) }

  const send = (n: number): void => {
    switch (fault) {
      case 'stall':
      case 'gap':
        if (n < FAULT_AFTER_EVENTS[fault]) write(n)
        return
      case 'cut':
        if (n === FAULT_AFTER_EVENTS.cut) cut()
        else write(n)
        return
      case 'cross':
        // A word of somebody else's answer, under that one's attempt id.
        if (n === FAULT_AFTER_EVENTS.cross) write(n, events[n].replace(/"content":"[^"]*"/, '"content":" foreign"'), 'another-attempt')
        else write(n)
        return
      case 'duplicate':
        write(n)
        write(n)
        return
      case 'error':
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
      if (fault !== 'stall') client?.end(END_MARK)
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
      for (let n = from; n < events.length; n++) send(n)
      if (isDone) res.end(END_MARK)
    },
    keepAlive () {
      const isStalled = fault === 'stall' && events.length >= FAULT_AFTER_EVENTS.stall
      if (!isStalled && !isDone) client?.write(': wait\n\n')
    },
    isAbandoned: () => !isDone && detachedAt !== undefined && performance.now() - detachedAt > DETACH_TIMEOUT_MS
  }
}
