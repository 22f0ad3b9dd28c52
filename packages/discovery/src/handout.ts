/**
 * The handout: the last document and records that a control instance wrote to its disk, served while the instance is still
 * starting, so that entry instances need not wait for it after a restart of the whole fleet.
 *
 * Document and records may be out of date. Entry instances replace them once they are subscribed, and never go back to an older
 * document. The evacuations are those of the instance's log: they are written before it acknowledges an order.
 *
 * This module may import built-in modules only: it is loaded before the rest of the program.
 */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as path from 'node:path'

/** Name of the file with document and records in an instance's data folder. */
export const HANDOUT_FILE = 'handout'
/** Name of the file with the evacuations in an instance's data folder. */
export const EVACUATIONS_FILE = 'evacuations'
/** Added to the port for links. */
const PORT_OFFSET = 1
const NONCE_BYTES = 16
const PROOF_BYTES = 32
/** The length of the evacuations precedes them in a response. */
const LENGTH_BYTES = 4
/** The version of the document follows the evacuations in a response without the body. */
const VERSION_BYTES = 8
/** Must exceed the time that a full document takes on a link of a few Mbit/s. */
const FETCH_TIMEOUT_MS = 800
const CONNECT_TIMEOUT_MS = 300
/** Must exceed the size of any document with all records. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024

/**
 * Returns the address at which an instance serves its handout.
 * @param inner IP address and port of the instance for links
 */
export function toHandoutAddress (inner: string): { host: string, port: number } {
  const at = inner.lastIndexOf(':')
  return { host: inner.slice(0, at), port: Number(inner.slice(at + 1)) + PORT_OFFSET }
}

/** What a control instance serves while it starts. */
export interface Handout {
  /** Encoded document and records; empty if only the evacuations were fetched. */
  body: Buffer
  /** Encoded evacuations; empty if the instance has logged no order. */
  evacuations: Buffer
}

/** A handout that was fetched. */
export interface FetchedHandout extends Handout {
  /** Version of the document of the instance; 0 if it is not known, also to instances of earlier versions. */
  version: number
}

/** What is fetched: everything, or the evacuations and the version of the document alone, which are short. */
export type HandoutPart = 'all' | 'evacuations'

/** Returns the content of a file of the handout: the SHA-256 digest of the body, then the body. */
export function packHandout (body: Uint8Array): Buffer {
  return Buffer.concat([crypto.createHash('sha256').update(body).digest(), body])
}

/**
 * Reads a file of the handout.
 * @param folder the instance's data folder
 * @returns the body, or undefined if the file is missing or does not match its digest
 */
export function readHandout (folder: string, name: string = HANDOUT_FILE): Buffer | undefined {
  const file = path.join(folder, name)
  if (!fs.existsSync(file)) return undefined
  const content = fs.readFileSync(file)
  const body = content.subarray(PROOF_BYTES)
  const digest = crypto.createHash('sha256').update(body).digest()
  return digest.equals(content.subarray(0, PROOF_BYTES)) ? body : undefined
}

/** Start of an encoded reply: a map with a 16-bit count whose first key is "version". */
const VERSION_KEY = Buffer.concat([Buffer.from([0x67]), Buffer.from('version')])
const MAP_HEADER_BYTES = 3

/**
 * Reads the version of the document from an encoded reply without the library that decodes it.
 * @returns 0 if the reply does not begin with it, as that of an earlier version
 */
export function readVersion (body: Buffer): number {
  const at = MAP_HEADER_BYTES + VERSION_KEY.length
  const value = body.subarray(at, at + 1 + VERSION_BYTES)
  if (body[0] !== 0xb9 || !body.subarray(MAP_HEADER_BYTES, at).equals(VERSION_KEY) || value.length <= VERSION_BYTES) return 0
  const [head] = value
  if (head < 0x18) return head
  switch (head) {
    case 0x18: return value.readUInt8(1)
    case 0x19: return value.readUInt16BE(1)
    case 0x1a: return value.readUInt32BE(1)
    case 0x1b: return Number(value.readBigUInt64BE(1))
    case 0xfb: return value.readDoubleBE(1)
    default: return 0
  }
}

/** Options of {@link startHandoutServer}. */
export interface HandoutServerOptions {
  address: { host: string, port: number }
  /** Secret shared by all instances of the fleet. */
  secret: string
  handout: Handout
  /** Bytes of whole handouts that may be sent in total. Later requests for one are rejected, to keep the link free for other traffic. */
  maxTotalBytes: number
}

/** A server of the handout. */
export interface HandoutServer {
  /** Returns whether connections are open, and when the last one was opened (`performance.now()`). */
  activity (): { isBusy: boolean, lastConnectionAt: number }
  /** Stops listening and frees the port. */
  close (): void
}

/**
 * Serves the handout to clients that prove the secret: sends a nonce, verifies the client's proof of it, and answers with a
 * proof of the body and the body.
 * @param onError called if the server cannot listen
 */
export function startHandoutServer (opts: HandoutServerOptions, onListening: () => void, onError: (err: Error) => void): HandoutServer {
  const sockets = new Set<net.Socket>()
  let lastConnectionAt = performance.now()
  let sentBytes = 0
  const { body, evacuations } = opts.handout
  const length = Buffer.alloc(LENGTH_BYTES)
  length.writeUInt32BE(evacuations.length)
  const version = Buffer.alloc(VERSION_BYTES)
  version.writeDoubleBE(readVersion(body))
  const payloads: Record<HandoutPart, Buffer> = { all: Buffer.concat([length, evacuations, body]), evacuations: Buffer.concat([length, evacuations, version]) }
  const server = net.createServer(socket => {
    sockets.add(socket)
    lastConnectionAt = performance.now()
    // By then a client has given up.
    const timer = setTimeout(() => { socket.destroy() }, FETCH_TIMEOUT_MS)
    socket.on('close', () => {
      clearTimeout(timer)
      sockets.delete(socket)
    })
    // Nothing to do if the client disconnects: 'close' follows.
    socket.on('error', () => {})
    socket.setNoDelay(true)
    const nonce = crypto.randomBytes(NONCE_BYTES)
    socket.write(nonce)
    let received = Buffer.alloc(0)
    socket.on('data', chunk => {
      received = Buffer.concat([received, chunk])
      if (received.length < PROOF_BYTES) return
      socket.removeAllListeners('data')
      clearTimeout(timer)
      const part = (['all', 'evacuations'] as const).find(item => isEqual(received, createProof(opts.secret, toRequest(item), nonce, Buffer.alloc(0))))
      if (part === 'all') sentBytes += payloads.all.length
      if (part === undefined || (part === 'all' && sentBytes > opts.maxTotalBytes)) {
        socket.destroy()
        return
      }
      socket.end(Buffer.concat([createProof(opts.secret, 'gives', nonce, payloads[part]), payloads[part]]))
    })
  })
  server.on('error', onError)
  server.listen(opts.address, onListening)
  return {
    activity: () => ({ isBusy: sockets.size > 0, lastConnectionAt }),
    close () {
      server.close()
    }
  }
}

/**
 * Fetches the handout of an instance.
 * @param secret secret shared by all instances of the fleet
 * @throws Error when there is no server, it does not answer in time, or it does not prove the secret
 */
export async function fetchHandout (address: { host: string, port: number }, secret: string, part: HandoutPart = 'all'): Promise<FetchedHandout> {
  return await new Promise((resolve, reject) => {
    const socket = net.connect(address)
    const chunks: Buffer[] = []
    let nonce: Buffer | undefined
    let receivedBytes = 0
    const timer = setTimeout(() => { fail(new Error(`handout not received within ${FETCH_TIMEOUT_MS} ms`)) }, FETCH_TIMEOUT_MS)
    const connectTimer = setTimeout(() => { fail(new Error(`handout server not connected within ${CONNECT_TIMEOUT_MS} ms`)) }, CONNECT_TIMEOUT_MS)
    const fail = (err: Error): void => {
      clearTimeout(timer)
      clearTimeout(connectTimer)
      socket.destroy()
      reject(err)
    }
    socket.on('connect', () => { clearTimeout(connectTimer) })
    socket.on('error', fail)
    socket.on('data', chunk => {
      chunks.push(chunk)
      receivedBytes += chunk.length
      if (receivedBytes > MAX_RESPONSE_BYTES) fail(new Error(`handout exceeds ${MAX_RESPONSE_BYTES} bytes`))
      if (nonce !== undefined || receivedBytes < NONCE_BYTES) return
      nonce = Buffer.concat(chunks).subarray(0, NONCE_BYTES)
      socket.write(createProof(secret, toRequest(part), nonce, Buffer.alloc(0)))
    })
    socket.on('end', () => {
      const response = Buffer.concat(chunks).subarray(NONCE_BYTES)
      const payload = response.subarray(PROOF_BYTES)
      if (nonce === undefined || payload.length < LENGTH_BYTES || !isEqual(response.subarray(0, PROOF_BYTES), createProof(secret, 'gives', nonce, payload))) {
        fail(new Error(`handout of ${response.length} bytes has no valid proof of the fleet secret, or was truncated`))
        return
      }
      clearTimeout(timer)
      socket.destroy()
      const bodyStart = LENGTH_BYTES + payload.readUInt32BE(0)
      const evacuations = payload.subarray(LENGTH_BYTES, bodyStart)
      const rest = payload.subarray(bodyStart)
      if (part === 'all') resolve({ evacuations, body: rest, version: readVersion(rest) })
      else resolve({ evacuations, body: Buffer.alloc(0), version: rest.length >= VERSION_BYTES ? rest.readDoubleBE() : 0 })
    })
  })
}

function toRequest (part: HandoutPart): string {
  return part === 'all' ? 'takes all' : 'takes evacuations'
}

function createProof (secret: string, side: string, nonce: Buffer, body: Buffer): Buffer {
  return crypto.createHmac('sha256', secret).update(side).update(nonce).update(body).digest()
}

function isEqual (left: Buffer, right: Buffer): boolean {
  return left.length === right.length && crypto.timingSafeEqual(left, right)
}
