/**
 * What a control instance hands out before it has started: the last document and records that it wrote to its disk.
 *
 * Load pattern: all processes are killed, or lose their power. Entry instances serve nobody before the first control instance
 * can tell them the document, and most of its start goes into loading code that this does not need. So a first stage, which needs
 * none of it, hands out what the disk holds. It is what this instance had applied, so a newer document may exist; an entry
 * instance takes that as soon as it is subscribed, and never goes back to an older one.
 *
 * Only built-in modules are used here: whatever else were loaded would be waited for.
 */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as path from 'node:path'

/** Name of the file in an instance's data folder. */
export const HANDOUT_FILE = 'handout'
/** The port for this stands beside the one for links. */
const PORT_OFFSET = 1
const NONCE_BYTES = 16
const PROOF_BYTES = 32
/** Longer than a whole document takes on a link of a few Mbit/s. */
const FETCH_TIMEOUT_MS = 800
const CONNECT_TIMEOUT_MS = 300
/** Larger than any document with all records. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024

/**
 * Gives the address at which an instance hands out.
 * @param inner its IP number and port for links
 * @returns IP number and port
 */
export function toHandoutAddress (inner: string): { host: string, port: number } {
  const at = inner.lastIndexOf(':')
  return { host: inner.slice(0, at), port: Number(inner.slice(at + 1)) + PORT_OFFSET }
}

/**
 * Packs what is handed out for the disk.
 * @param body what is handed out
 * @returns the file's content
 */
export function packHandout (body: Uint8Array): Buffer {
  return Buffer.concat([crypto.createHash('sha256').update(body).digest(), body])
}

/**
 * Reads what is to be handed out.
 * @param folder the instance's data folder
 * @returns the bytes, or undefined if there are none or they are damaged, as after a loss of power
 */
export function readHandout (folder: string): Buffer | undefined {
  const file = path.join(folder, HANDOUT_FILE)
  if (!fs.existsSync(file)) return undefined
  const content = fs.readFileSync(file)
  const body = content.subarray(PROOF_BYTES)
  const digest = crypto.createHash('sha256').update(body).digest()
  return digest.equals(content.subarray(0, PROOF_BYTES)) ? body : undefined
}

/** What a server of this is built from. */
export interface HandoutServerOptions {
  address: { host: string, port: number }
  /** What all instances of the fleet must know. */
  secret: string
  body: Buffer
  /** The most that is sent, bytes: what is left is turned away, as it would only fill the link that everybody needs next. */
  maxTotalBytes: number
}

/** Hands out. */
export interface HandoutServer {
  /** @returns whether somebody is being served, and when somebody came last */
  activity (): { isBusy: boolean, lastConnectionAt: number }
  /** Ends it and frees the port. */
  close (): void
}

/**
 * Hands out to whoever proves the secret: sends a nonce, takes its proof, answers with a proof of the body and the body.
 * @param opts where, and what
 * @param onListening told once it takes connections
 * @param onError told if it cannot
 * @returns how to look after it
 */
export function startHandoutServer (opts: HandoutServerOptions, onListening: () => void, onError: (err: Error) => void): HandoutServer {
  const sockets = new Set<net.Socket>()
  let lastAt = performance.now()
  let sentBytes = 0
  const server = net.createServer(socket => {
    sockets.add(socket)
    lastAt = performance.now()
    socket.on('close', () => sockets.delete(socket))
    // A caller that left has nothing to be told.
    socket.on('error', () => {})
    socket.setNoDelay(true)
    const nonce = crypto.randomBytes(NONCE_BYTES)
    socket.write(nonce)
    let seen = Buffer.alloc(0)
    socket.on('data', chunk => {
      seen = Buffer.concat([seen, chunk])
      if (seen.length < PROOF_BYTES) return
      socket.removeAllListeners('data')
      sentBytes += opts.body.length
      if (sentBytes > opts.maxTotalBytes || !isEqual(seen, createProof(opts.secret, 'takes', nonce, Buffer.alloc(0)))) {
        socket.destroy()
        return
      }
      socket.end(Buffer.concat([createProof(opts.secret, 'gives', nonce, opts.body), opts.body]))
    })
  })
  server.on('error', onError)
  server.listen(opts.address, onListening)
  return {
    activity: () => ({ isBusy: sockets.size > 0, lastConnectionAt: lastAt }),
    close () {
      server.close()
    }
  }
}

/**
 * Fetches what an instance hands out.
 * @param address where
 * @param secret what all instances of the fleet must know
 * @returns the bytes
 * @throws Error when nothing is handed out there, or not by an instance of the fleet
 */
export async function fetchHandout (address: { host: string, port: number }, secret: string): Promise<Buffer> {
  return await new Promise((resolve, reject) => {
    const socket = net.connect(address)
    const chunks: Buffer[] = []
    let nonce: Buffer | undefined
    let bytes = 0
    const timer = setTimeout(() => { fail(new Error('no answer in time')) }, FETCH_TIMEOUT_MS)
    const connectTimer = setTimeout(() => { fail(new Error('no connection in time')) }, CONNECT_TIMEOUT_MS)
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
      bytes += chunk.length
      if (bytes > MAX_RESPONSE_BYTES) fail(new Error('more than any document'))
      if (nonce !== undefined || bytes < NONCE_BYTES) return
      nonce = Buffer.concat(chunks).subarray(0, NONCE_BYTES)
      socket.write(createProof(secret, 'takes', nonce, Buffer.alloc(0)))
    })
    socket.on('end', () => {
      const rest = Buffer.concat(chunks).subarray(NONCE_BYTES)
      const body = rest.subarray(PROOF_BYTES)
      if (nonce === undefined || !isEqual(rest.subarray(0, PROOF_BYTES), createProof(secret, 'gives', nonce, body))) {
        fail(new Error('no proof of the fleet secret, or not all of it came'))
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
