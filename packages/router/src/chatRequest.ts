/** What routing reads of a chat completion request, and what an engine gets of it. */
import * as contracts from '@kingcupdeck/contracts'
import type * as answers from './answer.js'
import * as helpers from './http.js'

/** A chat with this many messages was here before: a question, its answer, and the next question. */
const RETURNING_MESSAGES = 3
const CHAT_KEY_CHARS = 24

/**
 * Checks a request.
 * @param input the parsed body
 * @returns the request
 * @throws FailureError `bad_request`, with every fault at its field
 */
export function parseChat (input: unknown): contracts.ChatRequest {
  const parsed = contracts.chatRequest.safeParse(input)
  if (parsed.success) return parsed.data
  const faults = parsed.error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
  throw new contracts.FailureError({ kind: 'bad_request', detail: `The request is not a chat completion: ${faults.join('; ')}` })
}

/**
 * The request as an engine gets it: always a stream, and with the text so far where another engine began the answer.
 * @param chat the request
 * @param answer what the caller has already
 * @returns the body
 */
export function toEngineBody (chat: contracts.ChatRequest, answer: answers.PartialAnswer): Uint8Array {
  const due = answer.nextEventIndex()
  const resume = due > 0 ? { kingcupdeck_resume: { offset: due, text: answer.text() } } : {}
  return Buffer.from(JSON.stringify({ ...chat, stream: true, stream_options: { ...chat.stream_options, include_usage: true }, ...resume }))
}

/**
 * What keeps a chat together: the id that the caller gives, or else its opening.
 * @param exchange the caller's request
 * @param account the client account; chats of different accounts never share a key
 * @param chat the request
 * @returns a short digest
 */
export function toChatKey (exchange: helpers.Exchange, account: string, chat: contracts.ChatRequest): string {
  const named = helpers.toHeader(exchange.req, contracts.HEADERS.chat) ?? chat.prompt_cache_key ?? undefined
  const firstUser = chat.messages.findIndex(message => message.role === 'user')
  const opening = named ?? JSON.stringify(chat.messages.slice(0, firstUser + 1))
  return toNamedChatKey(account, chat.model, opening)
}

/**
 * The key of a chat that is named, as the address lookup has it.
 * @param account the client account
 * @param model the model that the chat uses
 * @param name the caller's id of the chat
 * @returns a short digest
 */
export function toNamedChatKey (account: string, model: string, name: string): string {
  return contracts.sha256(`${account}\n${model}\n${name}`).slice(0, CHAT_KEY_CHARS)
}

/**
 * Tells whether a chat was here before, so that a cache is worth looking for.
 * @param chat the request
 * @returns whether it returns
 */
export function isMultiTurn (chat: contracts.ChatRequest): boolean {
  return chat.messages.length >= RETURNING_MESSAGES
}
