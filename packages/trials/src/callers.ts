/** Callers of a trial: they ask for addresses, keep the answer, connect, check what they get by content, and count. */
import * as undici from 'undici'
import * as uuid from 'uuid'
import * as contracts from '@kingcupdeck/contracts'
import * as answers from './standIn/answers.js'

/** What callers counted. */
export interface Tally {
  answered: number
  refusedNotRun: number
  unknown: number
  wrongAnswers: number
  /** Of wrong answers, the first few: who got what in place of what. */
  wrong: string[]
  /** Ids of requests that were refused with "not run". */
  notRun: string[]
  /** Requests by the kind of their refusal. */
  refusals: Map<string, number>
  /** Refusals by client account. */
  refusedOf: Map<string, number>
  /** First token, ms, by client account. */
  firstTokenMs: Map<string, number[]>
  /** Idempotency keys that got an answer, with the answer. */
  receipts: Map<string, string>
}

/** @returns a tally of nothing */
export function createTally (): Tally {
  return { answered: 0, refusedNotRun: 0, unknown: 0, wrongAnswers: 0, wrong: [], notRun: [], refusals: new Map(), refusedOf: new Map(), firstTokenMs: new Map(), receipts: new Map() }
}

/** A caller's way to the fleet. */
export interface AddressBook {
  /** @returns the base URL to use now */
  next (query: Record<string, string>): Promise<string>
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
export function createAddressBook (seeds: readonly string[], token: string, random: () => number): AddressBook {
  const kept = new Map<string, { urls: string[], until: number }>()
  const ask = async (query: Record<string, string>): Promise<{ urls: string[], until: number }> => {
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
    async next (query) {
      const key = JSON.stringify(query)
      let known = kept.get(key)
      if (known === undefined || known.until < performance.now() || known.urls.length === 0) {
        known = await ask(query)
        kept.set(key, known)
        if (kept.size > 5000) kept.delete(kept.keys().next().value as string)
      }
      return known.urls[0]
    },
    drop (url) {
      for (const known of kept.values()) known.urls = known.urls.filter(other => other !== url)
    }
  }
}

/** What a caller is. */
export interface CallerOptions {
  account: string
  tally: Tally
  book: AddressBook
  /** Further headers, such as a lower priority. */
  headers?: Record<string, string>
}

/** How a request ended for its caller. */
export type CallEnd =
  | { kind: 'answered', text: string, requestId: string }
  | { kind: 'refused', ran: string, type: string, requestId: string, retryAfterMs: number }
  | { kind: 'broken' }

const CALL_MS = 40_000

/**
 * Sends one turn of a chat and checks the answer by content; on a broken connection goes to another address.
 * @param opts the caller
 * @param chat the chat's id
 * @param messages the chat so far
 * @param shape model, answer length and whether to stream
 * @returns how it ended
 */
export async function sendTurn (opts: CallerOptions, chat: string, messages: answers.Message[], shape: { model: string, words: number, stream: boolean }): Promise<CallEnd> {
  for (let tries = 0; ; tries++) {
    const url = await opts.book.next({ model: shape.model, chat })
    const end = await sendChat(opts, url, chat, messages, shape)
    const isElsewhere = end.kind === 'broken' || (end.kind === 'refused' && end.type === 'not_serving')
    if (isElsewhere) opts.book.drop(url)
    if (!isElsewhere || tries >= 4) {
      count(opts, end, answers.toAnswerText(messages, shape.words))
      return end
    }
  }
}

function count (opts: CallerOptions, end: CallEnd, expected: string): void {
  const { tally } = opts
  switch (end.kind) {
    case 'answered':
      if (end.text === expected) tally.answered++
      else {
        tally.wrongAnswers++
        tally.wrong.push(`${opts.account} ${end.requestId}: got "${end.text}" for "${expected}"`)
      }
      break
    case 'refused':
      tally.refusals.set(end.type, (tally.refusals.get(end.type) ?? 0) + 1)
      tally.refusedOf.set(opts.account, (tally.refusedOf.get(opts.account) ?? 0) + 1)
      if (end.ran === 'no') {
        tally.refusedNotRun++
        tally.notRun.push(end.requestId)
      } else tally.unknown++
      break
    case 'broken':
      tally.unknown++
      break
  }
}

async function sendChat (opts: CallerOptions, url: string, chat: string, messages: answers.Message[], shape: { model: string, words: number, stream: boolean }): Promise<CallEnd> {
  const startedAt = performance.now()
  try {
    const res = await undici.request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer demo-${opts.account}`, 'content-type': 'application/json', [contracts.HEADERS.chat]: chat, ...opts.headers },
      body: JSON.stringify({ model: shape.model, messages, max_tokens: shape.words, stream: shape.stream }),
      signal: AbortSignal.timeout(CALL_MS)
    })
    if (res.statusCode !== 200) return toRefusal(await res.body.json())
    const requestId = String(res.headers[contracts.HEADERS.requestId] ?? '')
    if (!shape.stream) {
      const body = await res.body.json() as { choices: Array<{ message: { content: string } }> }
      return { kind: 'answered', text: body.choices[0].message.content, requestId }
    }
    return await readStream(res.body, requestId, () => {
      const list = opts.tally.firstTokenMs.get(opts.account) ?? []
      list.push(performance.now() - startedAt)
      opts.tally.firstTokenMs.set(opts.account, list)
    })
  } catch {
    return { kind: 'broken' }
  }
}

async function readStream (body: AsyncIterable<Uint8Array>, requestId: string, onFirst: () => void): Promise<CallEnd> {
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

function toRefusal (body: unknown): CallEnd {
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
export async function sendPlain (opts: CallerOptions, url: string, input: PlainCallInput): Promise<CallEnd> {
  try {
    const headers: Record<string, string> = { authorization: `Bearer demo-${opts.account}`, 'content-type': 'application/json', ...opts.headers }
    if (input.key !== undefined) headers[contracts.HEADERS.idempotencyKey] = input.key
    const res = await undici.request(`${url}/v1/services/${input.service}/${input.call}`, { method: 'POST', headers, body: JSON.stringify(input.body), signal: AbortSignal.timeout(CALL_MS) })
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
 * @param impatience the chance that the caller sends a copy to a second address at once
 * @param random a number in [0, 1)
 * @returns the key
 */
export async function sendOnce (opts: CallerOptions, input: Omit<PlainCallInput, 'key'>, impatience: number, random: () => number): Promise<string> {
  const key = uuid.v7()
  const send = async (): Promise<CallEnd> => {
    const url = await opts.book.next({ seed: key, turn: String(Math.floor(random() * 3)) })
    const end = await sendPlain(opts, url, { ...input, key })
    if (end.kind === 'broken') opts.book.drop(url)
    return end
  }
  for (let tries = 0; tries < 6; tries++) {
    const copies = random() < impatience ? await Promise.all([send(), send()]) : [await send()]
    const answered = copies.find(end => end.kind === 'answered')
    if (answered?.kind === 'answered') {
      opts.tally.receipts.set(key, answered.text)
      count(opts, answered, isOwn(answered.text, input) ? answered.text : '')
      return key
    }
    const last = copies[0]
    const isFinal = last.kind === 'refused' && (last.type === 'outcome_unknown' || last.type === 'answer_not_kept')
    if (isFinal || tries === 5) {
      count(opts, last, '')
      return key
    }
    await new Promise(resolve => setTimeout(resolve, 200 + Math.min(1000, last.kind === 'refused' ? last.retryAfterMs : 300)))
  }
  return key
}

function isOwn (text: string, input: Omit<PlainCallInput, 'key'>): boolean {
  const body = JSON.parse(text) as { call: string, echo: unknown }
  return body.call === input.call && JSON.stringify(body.echo) === JSON.stringify(input.body)
}
