/** Accumulates a chat answer at the entry instance and writes it to the caller as an event stream or as one JSON body. */
import * as http from 'node:http'
import * as contracts from '@kingcupdeck/contracts'
import type * as helpers from './http.js'

/** Writes an answer to the caller. */
export interface AnswerWriter {
  write (data: string): void
  /** Ends the response once the answer is complete. */
  finish (): void
}

/** The events of an answer received so far. */
export interface PartialAnswer {
  /** Returns the index of the next expected event. */
  nextEventIndex (): number
  /** Appends and writes event `n`. @returns `gap` if an earlier event is missing, `duplicate` if it was appended before */
  append (n: number, data: string): 'appended' | 'duplicate' | 'gap'
  /** @returns the text generated so far, from which another engine can resume */
  text (): string
}

interface Chunk {
  id?: string
  model?: string
  created?: number
  choices?: Array<{ index?: number, delta?: { content?: string | null, role?: string }, finish_reason?: string | null }>
  usage?: unknown
}

/**
 * Creates an empty answer.
 * @param writer receives each event once, in order
 */
export function createPartialAnswer (writer: AnswerWriter): PartialAnswer {
  const events: string[] = []
  return {
    nextEventIndex: () => events.length,
    append (n, data) {
      if (n < events.length) return 'duplicate'
      if (n > events.length) return 'gap'
      events.push(data)
      writer.write(data)
      return 'appended'
    },
    text: () => events.map(data => (JSON.parse(data) as Chunk).choices?.[0]?.delta?.content ?? '').join('')
  }
}

/**
 * Creates a writer that sends an answer as server-sent events.
 * @param isUsageWanted whether the event with the token counts is forwarded
 * @param headers additional headers, evaluated at the first write
 */
export function createStreamWriter (exchange: helpers.Exchange, isUsageWanted: boolean, headers: () => http.OutgoingHttpHeaders): AnswerWriter {
  const { res } = exchange
  const writeHead = (): void => {
    if (res.headersSent) return
    res.writeHead(200, { 'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-cache', [contracts.HEADERS.requestId]: exchange.requestId, ...headers() })
  }
  return {
    // Hot path: called once per token.
    write (data) {
      writeHead()
      if (!isUsageWanted && data.includes('"choices":[]')) return
      res.write(`data: ${data}\n\n`)
    },
    finish () {
      writeHead()
      res.end('data: [DONE]\n\n')
    }
  }
}

/**
 * Creates a writer that buffers an answer and sends it as one JSON body.
 * @param headers additional headers, evaluated at the end
 */
export function createJsonWriter (exchange: helpers.Exchange, headers: () => http.OutgoingHttpHeaders): AnswerWriter {
  const events: string[] = []
  return {
    write (data) { events.push(data) },
    finish () {
      const body = JSON.stringify(toCompletion(events.map(data => JSON.parse(data) as Chunk)))
      exchange.res.writeHead(200, { 'content-type': 'application/json', [contracts.HEADERS.requestId]: exchange.requestId, ...headers() })
      exchange.res.end(body)
    }
  }
}

function toCompletion (chunks: Chunk[]): unknown {
  const first = chunks[0] ?? {}
  const choices = chunks.flatMap(chunk => chunk.choices ?? [])
  return {
    id: first.id,
    object: 'chat.completion',
    created: first.created,
    model: first.model,
    choices: [{
      index: 0,
      message: { role: 'assistant', content: choices.map(choice => choice.delta?.content ?? '').join(''), refusal: null },
      logprobs: null,
      finish_reason: choices.map(choice => choice.finish_reason).findLast(reason => reason != null) ?? 'stop'
    }],
    usage: chunks.map(chunk => chunk.usage).findLast(usage => usage != null)
  }
}
