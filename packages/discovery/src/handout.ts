/**
 * The handout: the last document and records that a control instance wrote to its disk, served while the instance is still
 * starting, so that entry instances need not wait for it after a restart of the whole fleet.
 *
 * The handout may be out of date. Entry instances replace it once they are subscribed, and never go back to an older document.
 *
 * This module may import built-in modules only: it is loaded before the rest of the program.
 */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as path from 'node:path'

/** Name of the file in an instance's data folder. */
export const HANDOUT_FILE = 'handout'
/** Added to the port for links. */
const PORT_OFFSET = 1
const NONCE_BYTES = 16
const PROOF_BYTES = 32
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

/** Returns the content of the handout file: the SHA-256 digest of the body, then the body. */
export function packHandout (body: Uint8Array): Buffer {
  return Buffer.concat([crypto.createHash('sha256').update(body).digest(), body])
}

/**
 * Reads the handout file.
 * @param folder the instance's data folder
 * @returns the body, or undefined if the file is missing or does not match its digest
 */
export function readHandout (folder: string): Buffer | undefined {
  const file = path.join(folder, HANDOUT_FILE)
  if (!fs.existsSync(file)) return undefined
  const content = fs.readFileSync(file)
  const body = content.subarray(PROOF_BYTES)
  const digest = crypto.createHash('sha256').update(body).digest()
  return digest.equals(content.subarray(0, PROOF_BYTES)) ? body : undefined
}

/** Options of {@link startHandoutServer}. */
export interface HandoutServerOptions {
  address: { host: string, port: number }
  /** Secret shared by all instances of the fleet. */
  secret: string
  body: Buffer
  /** Bytes that may be sent in total. Later requests are rejected, to keep the link free for other traffic. */
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
  const server = net.createServer(socket => {
    sockets.add(socket)
    lastConnectionAt = performance.now()
    socket.on('close', () => sockets.delete(socket))
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
      sentBytes += opts.body.length
      if (sentBytes > opts.maxTotalBytes || !isEqual(received, createProof(opts.secret, 'takes', nonce, Buffer.alloc(0)))) {
        socket.destroy()
        return
      }
      socket.end(Buffer.concat([createProof(opts.secret, 'gives', nonce, opts.body), opts.body]))
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
export async function fetchHandout (address: { host: string, port: number }, secret: string): Promise<Buffer> {
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
      socket.write(createProof(secret, 'takes', nonce, Buffer.alloc(0)))
    })
    socket.on('end', () => {
      const response = Buffer.concat(chunks).subarray(NONCE_BYTES)
      const body = response.subarray(PROOF_BYTES)
      if (nonce === undefined || !isEqual(response.subarray(0, PROOF_BYTES), createProof(secret, 'gives', nonce, body))) {
        fail(new Error(`handout of ${response.length} bytes has no valid proof of the fleet secret, or was truncated`))
        return
      }
      clearTimeout(timer)
      socket.destroy()
      resolve(body)
    })
  })
}

function createProof (secret: string, side: 'takes' | 'gives', nonce: Buffer, body: Buffer): Buffer {
  return crypto.createHmac('sha256', secret).update(side).update(nonce).update(body).digest()
}

function isEqual (left: Buffer, right: Buffer): boolean {
  return left.length === right.length && crypto.timingSafeEqual(left, right)
}
