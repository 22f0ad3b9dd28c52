/** Names of the HTTP headers, which each deployment configures. */

/** Names of headers on the wire, in lower case. */
export interface HeaderNames {
  /** Identifies one attempt of a client; endpoints echo it. */
  attemptId: string
  /** Remaining time that the sender waits for the response, in milliseconds. */
  deadlineMs: string
  /** Id of the endpoint that the request is addressed to; any other endpoint must reject it. */
  expectEndpoint: string
  /** Name of the authenticated client account, set for the endpoint. */
  account: string
  /** API key of the client. */
  key: string
  /** Set by the endpoint on every response that it produced itself. */
  seal: string
  /** Set by the endpoint on a response to a request that it did not run. */
  notRun: string
  /** Set by an endpoint that fails if it has to reject more requests than this number in a second. */
  brittle: string
  /** Parts of the prompt in order, as comma-separated `id:tokens`. */
  promptParts: string
  /** Model that is to run the request. */
  model: string
  /** Address of an endpoint from whose KV cache the receiver may import missing prompt parts. */
  fetchFrom: string
  /** Id of the last stream event that was received. */
  lastEventId: string
  /** Headers that only the fleet may set; they are stripped from client requests. */
  reserved: readonly string[]
}
