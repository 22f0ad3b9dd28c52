/** Clients of a test run: they resolve and cache instance addresses, send requests, check the content of answers, and count results. */
import * as undici from 'undici'
import * as uuid from 'uuid'
import * as contracts from '@kingcupdeck/contracts'
import * as answers from './standIn/answers.js'

/** Counters of the callers of a test run. */
export interface CallerStats {
  answered: number
  refusedNotRun: number
  /** Requests with a broken connection, or a refusal that does not rule out that the request ran. */
  unknown: number
  wrongAnswers: number
  /** One description for each wrong answer. */
  wrongDetails: string[]
  /** Ids of requests that were refused as not run. */
  notRunRequestIds: string[]
  /** Refusals by error type. */
  refusalsByType: Map<string, number>
  refusalsByAccount: Map<string, number>
  /** Times to the first token of streamed answers, ms, by client account. */
  firstTokenMsByAccount: Map<string, number[]>
  /** Answers by idempotency key. */
  answersByKey: Map<string, string>
}

export function createCallerStats (): CallerStats {
  return { answered: 0, refusedNotRun: 0, unknown: 0, wrongAnswers: 0, wrongDetails: [], notRunRequestIds: [], refusalsByType: new Map(), refusalsByAccount: new Map(), firstTokenMsByAccount: new Map(), answersByKey: new Map() }
}

/** Instance addresses that a caller resolved, until their maximum age. */
export interface AddressCache {
  /** Returns the base URL for a request, from the cache or from `GET /v1/addresses` with the query. */
  resolve (query: Record<string, string>): Promise<string>
  /** Removes an address that failed from the cache. */
  drop (url: string): void
}

/**
 * Creates an empty address cache.
 * @param seeds base URLs to fetch addresses from; they are the addresses to use if none of them answers
 * @param token token of the client account
 * @param random returns numbers in [0, 1)
 */
export function createAddressCache (seeds: readonly string[], token: string, random: () => number): AddressCache {
  const cache = new Map<string, { urls: string[], until: number }>()
  const fetchAddresses = async (query: Record<string, string>): Promise<{ urls: string[], until: number }> => {
    for (let tries = 0; tries < seeds.length * 2; tries++) {
      const seed = seeds[Math.floor(random() * seeds.length)]
      try {
        const res = await undici.request(`${seed}/v1/addresses?${new URLSearchParams(query).toString()}`, { headers: { authorization: `Bearer ${token}` }, signal: AbortSignal.timeout(ADDRESSES_TIMEOUT_MS) })
        const list = contracts.addressList.parse(await res.body.json())
        if (list.addresses.length > 0) return { urls: list.addresses.map(item => item.url), until: performance.now() + list.maxAgeSeconds * 1000 }
      } catch {
        // Tries another seed.
      }
    }
    return { urls: [...seeds], until: 0 }
  }
  return {
    async resolve (query) {
      const key = JSON.stringify(query)
      let entry = cache.get(key)
      if (entry === undefined || entry.until < performance.now() || entry.urls.length === 0) {
        entry = await fetchAddresses(query)
        cache.set(key, entry)
        if (cache.size > MAX_CACHED_QUERIES) cache.delete(cache.keys().next().value as string)
      }
      return entry.urls[0]
    },
    drop (url) {
      for (const entry of cache.values()) entry.urls = entry.urls.filter(other => other !== url)
    }
  }
}

export interface CallerOptions {
  account: string
  stats: CallerStats
  addresses: AddressCache
  /** Further headers, such as a lower priority. */
  headers?: Record<string, string>
}

/** Result of a request as its caller sees it. */
export type CallResult =
  | { kind: 'answered', text: string, requestId: string }
  | { kind: 'refused', ran: string, type: string, requestId: string, retryAfterMs: number }
  | { kind: 'broken' }

const CALL_TIMEOUT_MS = 40_000
const ADDRESSES_TIMEOUT_MS = 1000
const MAX_CACHED_QUERIES = 5000
const MAX_TURN_RETRIES = 4

/**
 * Sends one turn of a chat and checks the content of the answer. Retries at another address if the connection breaks or the
 * instance does not serve.
 * @param chat id of the chat
 * @param messages the chat so far
 * @param params model, number of words in the answer, and whether it is streamed
 */
export async function sendTurn (opts: CallerOptions, chat: string, messages: answers.Message[], params: { model: string, words: number, stream: boolean }): Promise<CallResult> {
  for (let retries = 0; ; retries++) {
    const url = await opts.addresses.resolve({ model: params.model, chat })
    const result = await sendChat(opts, url, chat, messages, params)
    const isOtherAddressNeeded = result.kind === 'broken' || (result.kind === 'refused' && result.type === 'not_serving')
    if (isOtherAddressNeeded) opts.addresses.drop(url)
    if (!isOtherAddressNeeded || retries >= MAX_TURN_RETRIES) {
      recordResult(opts, result, answers.toAnswerText(messages, params.words))
      return result
    }
  }
}

function recordResult (opts: CallerOptions, result: CallResult, expected: string): void {
  const { stats } = opts
  switch (result.kind) {
    case 'answered':
      if (result.text === expected) stats.answered++
      else {
        stats.wrongAnswers++
        stats.wrongDetails.push(`${opts.account} ${result.requestId}: got "${result.text}" for "${expected}"`)
      }
      break
    case 'refused':
      stats.refusalsByType.set(result.type, (stats.refusalsByType.get(result.type) ?? 0) + 1)
      stats.refusalsByAccount.set(opts.account, (stats.refusalsByAccount.get(opts.account) ?? 0) + 1)
      if (result.ran === 'no') {
        stats.refusedNotRun++
        stats.notRunRequestIds.push(result.requestId)
      } else stats.unknown++
      break
    case 'broken':
      stats.unknown++
      break
  }
}

async function sendChat (opts: CallerOptions, url: string, chat: string, messages: answers.Message[], params: { model: string, words: number, stream: boolean }): Promise<CallResult> {
  const startedAt = performance.now()
  try {
    const res = await undici.request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer demo-${opts.account}`, 'content-type': 'application/json', [contracts.HEADERS.chat]: chat, ...opts.headers },
      body: JSON.stringify({ model: params.model, messages, max_tokens: params.words, stream: params.stream }),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
    })
    if (res.statusCode !== 200) return toRefusal(await res.body.json())
    const requestId = String(res.headers[contracts.HEADERS.requestId] ?? '')
    if (!params.stream) {
      const body = await res.body.json() as { choices: Array<{ message: { content: string } }> }
      return { kind: 'answered', text: body.choices[0].message.content, requestId }
    }
    return await readStream(res.body, requestId, () => {
      const list = opts.stats.firstTokenMsByAccount.get(opts.account) ?? []
      list.push(performance.now() - startedAt)
      opts.stats.firstTokenMsByAccount.set(opts.account, list)
    })
  } catch {
    return { kind: 'broken' }
  }
}

async function readStream (body: AsyncIterable<Uint8Array>, requestId: string, onFirst: () => void): Promise<CallResult> {
  const decoder = new TextDecoder()
  let buffer = ''
  let text = ''
  let isFirst = true
  for await (const bytes of body) {
    if (isFirst) onFirst()
    isFirst = false
    buffer += decoder.decode(bytes, { stream: true })
    const blocks = buffer.split('\n\n')
    buffer = blocks.pop() ?? ''
    for (const block of blocks) {
      const data = block.replace(/^data: /, '')
      if (data === '[DONE]') return { kind: 'answered', text, requestId }
      const chunk = JSON.parse(data) as { error?: contracts.ErrorBody['error'], choices?: Array<{ delta?: { content?: string } }> }
      if (chunk.error !== undefined) return toRefusal(chunk)
      text += chunk.choices?.[0]?.delta?.content ?? ''
    }
  }
  return { kind: 'broken' }
}

function toRefusal (body: unknown): CallResult {
  const { error } = body as contracts.ErrorBody
  return { kind: 'refused', ran: error.ran, type: error.type, requestId: error.request_id ?? '', retryAfterMs: error.retry_after_ms ?? 0 }
}

/** A call of a plain service. */
export interface PlainCallInput { service: string, call: string, body: unknown, key?: string }

/**
 * Calls a plain service once, without retries.
 * @param url base URL of an instance
 */
export async function sendPlain (opts: CallerOptions, url: string, input: PlainCallInput): Promise<CallResult> {
  try {
    const headers: Record<string, string> = { authorization: `Bearer demo-${opts.account}`, 'content-type': 'application/json', ...opts.headers }
    if (input.key !== undefined) headers[contracts.HEADERS.idempotencyKey] = input.key
    const res = await undici.request(`${url}/v1/services/${input.service}/${input.call}`, { method: 'POST', headers, body: JSON.stringify(input.body), signal: AbortSignal.timeout(CALL_TIMEOUT_MS) })
    const text = await res.body.text()
    if (res.statusCode === 200) return { kind: 'answered', text, requestId: String(res.headers[contracts.HEADERS.requestId] ?? '') }
    return toRefusal(JSON.parse(text))
  } catch {
    return { kind: 'broken' }
  }
}

/**
 * Sends a non-idempotent call with a new key, and repeats it with that key until it is answered, refused with a final error,
 * or out of tries.
 * @param duplicateProbability probability that a try is sent to two addresses concurrently
 * @param random returns numbers in [0, 1)
 * @returns the key
 */
export async function sendAtMostOnce (opts: CallerOptions, input: Omit<PlainCallInput, 'key'>, duplicateProbability: number, random: () => number): Promise<string> {
  const key = uuid.v7()
  const send = async (): Promise<CallResult> => {
    const url = await opts.addresses.resolve({ seed: key, turn: String(Math.floor(random() * 3)) })
    const result = await sendPlain(opts, url, { ...input, key })
    if (result.kind === 'broken') opts.addresses.drop(url)
    return result
  }
  for (let tries = 0; tries < 6; tries++) {
    const results = random() < duplicateProbability ? await Promise.all([send(), send()]) : [await send()]
    const answered = results.find(result => result.kind === 'answered')
    if (answered?.kind === 'answered') {
      opts.stats.answersByKey.set(key, answered.text)
      recordResult(opts, answered, isEchoOf(answered.text, input) ? answered.text : '')
      return key
    }
    const last = results[0]
    const isFinal = last.kind === 'refused' && (last.type === 'outcome_unknown' || last.type === 'answer_not_kept')
    if (isFinal || tries === 5) {
      recordResult(opts, last, '')
      return key
    }
    await new Promise(resolve => setTimeout(resolve, 200 + Math.min(1000, last.kind === 'refused' ? last.retryAfterMs : 300)))
  }
  return key
}

function isEchoOf (text: string, input: Omit<PlainCallInput, 'key'>): boolean {
  const body = JSON.parse(text) as { call: string, echo: unknown }
  return body.call === input.call && JSON.stringify(body.echo) === JSON.stringify(input.body)
}
