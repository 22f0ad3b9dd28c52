/** Callers of a trial: they ask for addresses, keep the answer, connect, check what they get by content, and count. */
import * as undici from 'undici'
import * as uuid from 'uuid'
import * as contracts from '@kingcupdeck/contracts'
import * as answers from './standIn/answers.js'

/** What callers counted. */
export interface CallerStats {
  answered: number
  refusedNotRun: number
  unknown: number
  wrongAnswers: number
  /** Of wrong answers, the first few: who got what in place of what. */
  wrongDetails: string[]
  /** Ids of requests that were refused with "not run". */
  notRunRequestIds: string[]
  /** Requests by the kind of their refusal. */
  refusalsByType: Map<string, number>
  /** Refusals by client account. */
  refusalsByAccount: Map<string, number>
  /** First token, ms, by client account. */
  firstTokenMsByAccount: Map<string, number[]>
  /** Idempotency keys that got an answer, with the answer. */
  answersByKey: Map<string, string>
}

/** @returns a stats of nothing */
export function createCallerStats (): CallerStats {
  return { answered: 0, refusedNotRun: 0, unknown: 0, wrongAnswers: 0, wrongDetails: [], notRunRequestIds: [], refusalsByType: new Map(), refusalsByAccount: new Map(), firstTokenMsByAccount: new Map(), answersByKey: new Map() }
}

/** A caller's way to the fleet. */
export interface AddressCache {
  /** @returns the base URL to use now */
  resolve (query: Record<string, string>): Promise<string>
  /** Forgets an address that did not work. */
  drop (url: string): void
}

/**
 * Creates an address book that knows some instances from its settings.
 * @param seeds base URLs
 * @param token the client account's token
 * @param random a number in [0, 1)
 * @returns the book
 */
export function createAddressCache (seeds: readonly string[], token: string, random: () => number): AddressCache {
  const cache = new Map<string, { urls: string[], until: number }>()
  const fetchAddresses = async (query: Record<string, string>): Promise<{ urls: string[], until: number }> => {
    for (let tries = 0; tries < seeds.length * 2; tries++) {
      const seed = seeds[Math.floor(random() * seeds.length)]
      try {
        const res = await undici.request(`${seed}/v1/addresses?${new URLSearchParams(query).toString()}`, { headers: { authorization: `Bearer ${token}` }, signal: AbortSignal.timeout(1000) })
        const list = contracts.addressList.parse(await res.body.json())
        if (list.addresses.length > 0) return { urls: list.addresses.map(item => item.url), until: performance.now() + list.maxAgeSeconds * 1000 }
      } catch {
        // The next instance may know.
      }
    }
    return { urls: [...seeds], until: 0 }
  }
  return {
    async resolve (query) {
      const key = JSON.stringify(query)
      let known = cache.get(key)
      if (known === undefined || known.until < performance.now() || known.urls.length === 0) {
        known = await fetchAddresses(query)
        cache.set(key, known)
        if (cache.size > 5000) cache.delete(cache.keys().next().value as string)
      }
      return known.urls[0]
    },
    drop (url) {
      for (const known of cache.values()) known.urls = known.urls.filter(other => other !== url)
    }
  }
}

/** What a caller is. */
export interface CallerOptions {
  account: string
  stats: CallerStats
  addresses: AddressCache
  /** Further headers, such as a lower priority. */
  headers?: Record<string, string>
}

/** How a request ended for its caller. */
export type CallResult =
  | { kind: 'answered', text: string, requestId: string }
  | { kind: 'refused', ran: string, type: string, requestId: string, retryAfterMs: number }
  | { kind: 'broken' }

const CALL_TIMEOUT_MS = 40_000

/**
 * Sends one turn of a chat and checks the answer by content; on a broken connection goes to another address.
 * @param opts the caller
 * @param chat the chat's id
 * @param messages the chat so far
 * @param params model, answer length and whether to stream
 * @returns how it ended
 */
export async function sendTurn (opts: CallerOptions, chat: string, messages: answers.Message[], params: { model: string, words: number, stream: boolean }): Promise<CallResult> {
  for (let attempt = 0; ; attempt++) {
    const url = await opts.addresses.resolve({ model: params.model, chat })
    const result = await sendChat(opts, url, chat, messages, params)
    const isOtherAddressNeeded = result.kind === 'broken' || (result.kind === 'refused' && result.type === 'not_serving')
    if (isOtherAddressNeeded) opts.addresses.drop(url)
    if (!isOtherAddressNeeded || attempt >= 4) {
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

/** What a caller of a plain service asks. */
export interface PlainCallInput { service: string, call: string, body: unknown, key?: string }

/**
 * Calls a plain service once at some address.
 * @param opts the caller
 * @param url base URL of an instance
 * @param input the call
 * @returns how it ended
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
 * Makes a non-idempotent call and sends it again, with the same key, until its outcome is known or known to be unknown.
 * @param opts the caller
 * @param input the call; its key is made here
 * @param duplicateProbability the chance that the caller sends a copy to a second address at once
 * @param random a number in [0, 1)
 * @returns the key
 */
export async function sendAtMostOnce (opts: CallerOptions, input: Omit<PlainCallInput, 'key'>, duplicateProbability: number, random: () => number): Promise<string> {
  const key = uuid.v7()
  const send = async (): Promise<CallResult> => {
    const url = await opts.addresses.resolve({ seed: key, turn: String(Math.floor(random() * 3)) })
    const end = await sendPlain(opts, url, { ...input, key })
    if (end.kind === 'broken') opts.addresses.drop(url)
    return end
  }
  for (let tries = 0; tries < 6; tries++) {
    const results = random() < duplicateProbability ? await Promise.all([send(), send()]) : [await send()]
    const answered = results.find(end => end.kind === 'answered')
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
