/** The callers' API: OpenAI-compatible chat completions, request headers and the address lookup. */
import * as z from 'zod'

/** The fields of a chat completion request that routing reads; all others are forwarded unchanged. */
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

/** Request and response headers in addition to those of HTTP and the OpenAI API. */
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

/** A router instance's address in the response of `GET /v1/addresses`. */
export const address = z.object({ instance: z.string(), zone: z.string(), url: z.string() })
/** The response of `GET /v1/addresses`, sorted by preference. */
export const addressList = z.object({ addresses: z.array(address), maxAgeSeconds: z.number() })
/** The response of `GET /v1/addresses`, sorted by preference. */
export type AddressList = z.infer<typeof addressList>
