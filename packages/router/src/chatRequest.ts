/** Parses chat completion requests, derives their affinity key and builds the request body for engines. */
import * as contracts from '@kingcupdeck/contracts'
import type * as answers from './answer.js'
import * as helpers from './http.js'

/** From this many messages on, a chat contains at least one earlier answer. */
const MIN_MULTI_TURN_MESSAGES = 3
const CHAT_KEY_CHARS = 24

/**
 * Validates a chat completion request.
 * @param input the parsed JSON body
 * @throws FailureError `bad_request`, listing every invalid field
 */
export function parseChat (input: unknown): contracts.ChatRequest {
  const parsed = contracts.chatRequest.safeParse(input)
  if (parsed.success) return parsed.data
  const faults = parsed.error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
  throw new contracts.FailureError({ kind: 'bad_request', detail: `The body is not a valid chat completion request: ${faults.join('; ')}` })
}

/**
 * Builds the request body for an engine: always streaming, and with the text generated so far when resuming an answer.
 * @param answer the events that the caller has received
 */
export function toEngineBody (chat: contracts.ChatRequest, answer: answers.PartialAnswer): Uint8Array {
  const offset = answer.nextEventIndex()
  const resume = offset > 0 ? { kingcupdeck_resume: { offset, text: answer.text() } } : {}
  return Buffer.from(JSON.stringify({ ...chat, stream: true, stream_options: { ...chat.stream_options, include_usage: true }, ...resume }))
}

/**
 * Derives the affinity key of a chat from the caller's chat id, or else from its messages up to the first user message.
 * @param account the client account; chats of different accounts never share a key
 */
export function toChatKey (exchange: helpers.Exchange, account: string, chat: contracts.ChatRequest): string {
  const named = helpers.toHeader(exchange.req, contracts.HEADERS.chat) ?? chat.prompt_cache_key ?? undefined
  const firstUser = chat.messages.findIndex(message => message.role === 'user')
  const opening = named ?? JSON.stringify(chat.messages.slice(0, firstUser + 1))
  return toNamedChatKey(account, chat.model, opening)
}

/**
 * Derives the affinity key of a chat with a caller-supplied id.
 * @param account the client account
 * @param name the caller's chat id
 */
export function toNamedChatKey (account: string, model: string, name: string): string {
  return contracts.sha256(`${account}\n${model}\n${name}`).slice(0, CHAT_KEY_CHARS)
}

/** Whether a chat has earlier turns, so that an engine may have its KV cache. */
export function isMultiTurn (chat: contracts.ChatRequest): boolean {
  return chat.messages.length >= MIN_MULTI_TURN_MESSAGES
}
