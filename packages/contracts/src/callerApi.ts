/** What callers send: the OpenAI-style chat completion and the headers that the system understands. */
import * as z from 'zod'

/** The parts of a chat completion request that routing reads; all other parts pass through untouched. */
export const chatRequest = z.looseObject({
  model: z.string().min(1).max(200),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1).max(10000),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
  max_tokens: z.int().min(1).max(1_000_000).nullish(),
  max_completion_tokens: z.int().min(1).max(1_000_000).nullish(),
  prompt_cache_key: z.string().max(200).nullish()
})
/** A chat completion request. */
export type ChatRequest = z.infer<typeof chatRequest>

/** Request and response headers beside those of HTTP and of the OpenAI API. */
export const HEADERS = {
  idempotencyKey: 'idempotency-key',
  chat: 'x-chat-id',
  priority: 'x-priority',
  patience: 'x-patience-seconds',
  requestId: 'x-request-id',
  attempt: 'x-attempt-id',
  engine: 'x-engine',
  /** `yes`, `no` or `unknown`: whether the request ran. */
  ran: 'x-ran',
  shouldRetry: 'x-should-retry'
} as const

/** One address in the answer of `GET /v1/addresses`. */
export const address = z.object({ instance: z.string(), zone: z.string(), url: z.string() })
/** The answer of `GET /v1/addresses`: best address first. */
export const addressList = z.object({ addresses: z.array(address), maxAgeSeconds: z.number() })
/** The answer of `GET /v1/addresses`. */
export type AddressList = z.infer<typeof addressList>
