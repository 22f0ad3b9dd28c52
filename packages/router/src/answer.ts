/** The answer to a chat as it grows at the entry instance, and the two ways in which a caller gets it. */
import * as http from 'node:http'
import * as contracts from '@kingcupdeck/contracts'
import type * as helpers from './http.js'

/** How an answer goes to its caller. */
export interface AnswerWriter {
  /** Takes the next event of the stream. */
  write (data: string): void
  /** The answer is whole. */
  finish (): void
}

/** The answer to a chat as it grows. */
export interface PartialAnswer {
  /** Number of the next event that is due. */
  nextEventIndex (): number
  /** Takes an event. @returns `gap` where an earlier one is missing, `old` where it was here before */
  append (n: number, data: string): 'taken' | 'old' | 'gap'
  /** @returns the text so far, for an engine that goes on from it */
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
 * @param writer where events go in their order
 * @returns the answer
 */
export function createPartialAnswer (writer: AnswerWriter): PartialAnswer {
  const events: string[] = []
  return {
    nextEventIndex: () => events.length,
    append (n, data) {
      if (n < events.length) return 'old'
      if (n > events.length) return 'gap'
      events.push(data)
      writer.write(data)
      return 'taken'
    },
    text: () => events.map(data => (JSON.parse(data) as Chunk).choices?.[0]?.delta?.content ?? '').join('')
  }
}

/**
 * Writes an answer as a stream of events, as the caller asked.
 * @param exchange the caller
 * @param isUsageWanted whether the event with the token counts is passed on
 * @param headers further headers
 * @returns the writer
 */
export function createStreamWriter (exchange: helpers.Exchange, isUsageWanted: boolean, headers: () => http.OutgoingHttpHeaders): AnswerWriter {
  const { res } = exchange
  const begin = (): void => {
    if (res.headersSent) return
    res.writeHead(200, { 'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-cache', [contracts.HEADERS.requestId]: exchange.requestId, ...headers() })
  }
  return {
    // Hot path: one call for each token.
    write (data) {
      begin()
      if (!isUsageWanted && data.includes('"choices":[]')) return
      res.write(`data: ${data}\n\n`)
    },
    finish () {
      begin()
      res.end('data: [DONE]\n\n')
    }
  }
}

/**
 * Collects an answer and sends it as one object.
 * @param exchange the caller
 * @param headers further headers
 * @returns the writer
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
