/** The names that headers have on the wire. The deployment chooses them; all are in lower case. */

/** Names of headers on the wire, in lower case. */
export interface HeaderNames {
  /** Identifies one attempt of a client; endpoints echo it. */
  attemptId: string
  /** Milliseconds that the sender still waits. */
  deadlineMs: string
  /** Only the endpoint with this id may run the request. */
  expectEndpoint: string
  /** Name of the client account, for the endpoint. */
  account: string
  /** The client's key. */
  key: string
  /** Mark of the endpoint on an answer that it made. */
  seal: string
  /** Mark of the endpoint on an answer that says the request was not run. */
  notRun: string
  /** Parts of the prompt in order, `id:tokens` separated by commas. */
  promptParts: string
  /** Address of an endpoint from whose cache the receiver may copy what it lacks of the prompt. */
  fetchFrom: string
  /** The last event that the receiver has. */
  lastEventId: string
  /** Headers that only the fleet may set: a client's own are left out. */
  reserved: readonly string[]
}
