/** One send of a request to one endpoint, and what is known of it: not sent, not run, maybe run, or answered. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as links from '@kingcupdeck/links'
import * as endpointPools from './endpointPool.js'
import * as headerNames from './headerNames.js'

/** What is sent. */
export interface OutgoingRequest {
  method: string
  /** Path with query, as the client sent it. */
  url: string
  /** Names and values by turns. */
  headers: string[]
  body: Buffer
  attemptId: string
}

/** What came of a send. */
export type AttemptResult =
  /** No connection was made: nothing was sent. */
  | { kind: 'unreachable', why: string }
  /** The endpoint says that it did not run the request. */
  | { kind: 'notRun', status: number }
  /** No usable answer came; the endpoint may have run the request. */
  | { kind: 'lost', why: string }
  /** The endpoint answers; the body is still to come. */
  | { kind: 'answer', res: http.IncomingMessage, abort: () => void, /** Whether the connection failed, as with a reset. */ isBroken: () => boolean }

/** What a send needs. */
export interface AttemptOptions {
  endpoint: endpointPools.Endpoint
  request: OutgoingRequest
  names: headerNames.HeaderNames
  /** Ends the send, when the client has left or the time is over. */
  signal: AbortSignal
  /** How long to wait for the head of the answer, milliseconds. */
  responseTimeoutMs: number
  /** Asked when that time is over: whether to wait on for a while. */
  mayKeepWaiting?: () => boolean
}

/**
 * No connection within this time, in milliseconds: the endpoint is down or cut off; longer than a round trip between
 * availability zones.
 */
export const CONNECT_TIMEOUT_MS = 350

/** How often an attempt that is over its time asks whether it may wait on. */
const WAIT_ON_MS = 200

/**
 * Sends a request to an endpoint.
 * @param opts endpoint, request and limits
 * @returns what is known once the head of the answer is there, or none will come
 */
export async function sendAttempt (opts: AttemptOptions): Promise<AttemptResult> {
  const { endpoint, request: out } = opts
  const { host, port } = links.parseAddress(endpoint.record.address)
  return await new Promise<AttemptResult>(resolve => {
    let isConnected = false
    let isSettled = false
    let isBroken = false
    const settle = (sent: AttemptResult): void => {
      if (isSettled) return
      isSettled = true
      clearTimeout(timer)
      opts.signal.removeEventListener('abort', onAbort)
      resolve(sent)
    }
    const fail = (why: string): void => {
      settle(isConnected ? { kind: 'lost', why } : { kind: 'unreachable', why })
      req.destroy()
    }
    const onAbort = (): void => { fail(String(opts.signal.reason)) }
    const startedAt = performance.now()
    function onTime (): void {
      if (opts.mayKeepWaiting?.() === true) timer = setTimeout(onTime, WAIT_ON_MS)
      else fail(`no answer within ${Math.round(performance.now() - startedAt)} ms`)
    }

    const req = http.request({
      host,
      port,
      agent: endpoint.agent,
      method: out.method,
      path: out.url,
      headers: out.headers,
      setHost: false
    })
    req.on('socket', (socket: net.Socket) => {
      socket.setNoDelay(true)
      if (!socket.connecting) {
        isConnected = true
        return
      }
      const connectTimer = setTimeout(() => { fail(`no connection within ${CONNECT_TIMEOUT_MS} ms`) }, CONNECT_TIMEOUT_MS)
      socket.once('connect', () => {
        isConnected = true
        clearTimeout(connectTimer)
      })
      socket.once('close', () => { clearTimeout(connectTimer) })
    })
    req.on('error', err => {
      isBroken = true
      fail(err.message)
    })
    req.on('response', res => {
      // Without a listener of its own, an answer that breaks off later would be an uncaught error.
      res.on('error', () => {})
      if (isUnframed(res)) res.socket.prependListener('end', () => { isBroken ||= isReset(res.socket) })
      if (isSettled) {
        req.destroy()
        return
      }
      settle(judge(res, req, opts, () => isBroken))
    })
    let timer = setTimeout(onTime, opts.responseTimeoutMs)
    opts.signal.addEventListener('abort', onAbort, { once: true })
    if (opts.signal.aborted) {
      onAbort()
      return
    }
    req.end(out.body)
  })
}

/** @returns whether the body has no length and ends with the connection */
function isUnframed (res: http.IncomingMessage): boolean {
  return res.headers['content-length'] === undefined && res.headers['transfer-encoding'] === undefined
}

/**
 * Tells a reset from an orderly end. Guards against half an answer that passes for whole: where the last bytes and the reset
 * arrive together, the event loop reports the end of the stream and no error. A socket that was reset has no peer any more;
 * one whose peer closed it in order still has.
 */
function isReset (socket: net.Socket): boolean {
  return socket.remoteAddress === undefined
}

function judge (res: http.IncomingMessage, req: http.ClientRequest, opts: AttemptOptions, isBroken: () => boolean): AttemptResult {
  const { names, request: out } = opts
  const discard = (): void => {
    res.resume()
    req.destroy()
  }
  // Guards against an answer that belongs to an earlier request on this connection: it came late, where the next answer is
  // expected. The endpoint echoes the attempt's id, which shows whose answer it is.
  const echoed = res.headers[names.attemptId]
  const status = res.statusCode ?? 0
  const isNotRun = res.headers[names.notRun] !== undefined || status === 421
  if (echoed !== undefined && echoed !== out.attemptId) {
    discard()
    return { kind: 'lost', why: 'the answer belongs to another request' }
  }
  if (isNotRun) {
    // Its body is short; the connection serves on unless the endpoint closes it.
    res.resume()
    return { kind: 'notRun', status }
  }
  if (echoed === undefined) {
    discard()
    return { kind: 'lost', why: 'the answer does not say which request it belongs to' }
  }
  if (status < 200 || (status < 300 && res.headers[names.seal] === undefined)) {
    discard()
    return { kind: 'lost', why: 'a success without the endpoint\'s seal' }
  }
  if (res.headers['content-encoding'] !== undefined) {
    discard()
    return { kind: 'lost', why: 'the answer is encoded, which no client asked for' }
  }
  return { kind: 'answer', res, abort: () => { req.destroy() }, isBroken }
}

/** What came of reading a body. */
export type BodyResult = { kind: 'whole', body: Buffer } | { kind: 'broken', why: string }

/**
 * Tells whether a body that ended came to its end. Guards against an answer without a length that is reset on its way: the
 * HTTP library takes the end of the connection for the end of the body, also when it broke.
 * @param answer the answer
 * @returns whether nothing is missing
 */
export function isComplete (answer: Extract<AttemptResult, { kind: 'answer' }>): boolean {
  return answer.res.complete && !answer.isBroken()
}

/**
 * Reads a body to its end.
 * @param answer the answer
 * @param signal ends the reading
 * @param maxBytes the most that is held
 * @returns the body, or why it is not whole
 */
export async function readBody (answer: Extract<AttemptResult, { kind: 'answer' }>, signal: AbortSignal, maxBytes: number): Promise<BodyResult> {
  const { res } = answer
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let bytes = 0
    const settle = (outcome: BodyResult): void => {
      signal.removeEventListener('abort', onAbort)
      resolve(outcome)
      if (outcome.kind === 'broken') res.destroy()
    }
    const onAbort = (): void => { settle({ kind: 'broken', why: String(signal.reason) }) }
    res.on('data', (chunk: Buffer) => {
      chunks.push(chunk)
      bytes += chunk.length
      if (bytes > maxBytes) settle({ kind: 'broken', why: `the answer is larger than ${maxBytes} bytes` })
    })
    res.on('end', () => {
      settle(isComplete(answer) ? { kind: 'whole', body: Buffer.concat(chunks, bytes) } : { kind: 'broken', why: 'the answer ended early' })
    })
    res.on('error', err => { settle({ kind: 'broken', why: err.message }) })
    res.on('close', () => { settle({ kind: 'broken', why: 'the connection closed' }) })
    signal.addEventListener('abort', onAbort, { once: true })
    if (signal.aborted) onAbort()
  })
}
