/** Establishes links: the dialling and the listening side of the handshake. */
import * as net from 'node:net'
import * as telemetry from '@kingcupdeck/telemetry'
import * as contracts from '@kingcupdeck/contracts'
import * as frames from './frames.js'
import * as handshake from './handshake.js'
import * as links from './link.js'

/** Settings of the links of a process. */
export interface LinkSettings {
  /** Identity of this process. */
  identity: handshake.Identity
  /** The fleet secret, shared by all processes. */
  secret: string
  log: telemetry.Log
  handlers: links.LinkHandlers
  countBytes?: links.CountBytes
}

/** Frame size limit for a peer that is not yet authenticated. */
const HANDSHAKE_MAX_BYTES = 1024
const HANDSHAKE_TIMEOUT_MS = 3000

/** Splits an address `ip:port` or `[ip]:port`. */
export function parseAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

/**
 * Opens a link to an address. A dial that fails or times out leaves no connection behind.
 * @param timeoutMs time for the connection and the handshake together
 * @returns the link, once both sides are authenticated
 * @throws Error when the connection or handshake fails or times out
 */
export async function dial (address: string, cfg: LinkSettings, timeoutMs = HANDSHAKE_TIMEOUT_MS): Promise<links.Link> {
  const socket = net.connect({ ...parseAddress(address) })
  const pipe = createHandshakePipe(socket, timeoutMs)
  try {
    const nonce = handshake.createNonce()
    pipe.write({ protocol: handshake.PROTOCOL, who: cfg.identity, nonce })
    const hello = handshake.serverHello.parse(await pipe.next())
    const expected = handshake.createProof(cfg.secret, 'listens', nonce, hello.nonce, hello.who)
    if (!handshake.isValidProof(expected, hello.proof)) {
      cfg.log.event('linkRefused', { address, claims: hello.who.id })
      throw new Error(`${address} could not prove the fleet secret`)
    }
    pipe.write({ proof: handshake.createProof(cfg.secret, 'dials', hello.nonce, nonce, cfg.identity) })
    return links.createLink({ socket, peer: hello.who, log: cfg.log, handlers: cfg.handlers, countBytes: cfg.countBytes, ...pipe.finish() })
  } catch (err) {
    socket.destroy()
    throw err
  }
}

/** A listening socket for links. */
export interface LinkServer {
  readonly port: number
  /** Stops listening and closes all accepted connections. */
  close (): Promise<void>
}

/**
 * Listens for links.
 * @param address IP address and port; port 0 selects a free one
 * @param onLink receives each link, once both sides are authenticated
 */
export async function listen (address: string, cfg: LinkSettings, onLink: (link: links.Link) => void): Promise<LinkServer> {
  const sockets = new Set<net.Socket>()
  const server = net.createServer(socket => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    socket.on('error', () => {})
    accept(socket, cfg).then(onLink, () => { socket.destroy() })
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(parseAddress(address), resolve)
  })
  return {
    port: (server.address() as net.AddressInfo).port,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise<void>(resolve => { server.close(() => { resolve() }) })
    }
  }
}

async function accept (socket: net.Socket, cfg: LinkSettings): Promise<links.Link> {
  const pipe = createHandshakePipe(socket, HANDSHAKE_TIMEOUT_MS)
  const hello = handshake.clientHello.parse(await pipe.next())
  const nonce = handshake.createNonce()
  const proof = handshake.createProof(cfg.secret, 'listens', hello.nonce, nonce, cfg.identity)
  pipe.write({ protocol: handshake.PROTOCOL, who: cfg.identity, nonce, proof })
  const confirmation = handshake.clientProof.parse(await pipe.next())
  const expected = handshake.createProof(cfg.secret, 'dials', nonce, hello.nonce, hello.who)
  if (!handshake.isValidProof(expected, confirmation.proof)) {
    cfg.log.event('linkRefused', { claims: hello.who.id, address: socket.remoteAddress ?? '' })
    throw new Error(`${hello.who.id} could not prove the fleet secret`)
  }
  return links.createLink({ socket, peer: hello.who, log: cfg.log, handlers: cfg.handlers, countBytes: cfg.countBytes, ...pipe.finish() })
}

/** Exchanges single frames during the handshake, then hands over the reader and the remaining frames. */
function createHandshakePipe (socket: net.Socket, timeoutMs: number) {
  let maxBytes = HANDSHAKE_MAX_BYTES
  const reader = frames.createFrameReader(() => maxBytes)
  const earlyFrames: frames.ReceivedFrame[] = []
  let wake: () => void = () => {}
  let failure: Error | undefined
  const fail = (err: Error): void => {
    failure ??= err
    wake()
  }
  const onData = (chunk: Buffer): void => {
    try {
      earlyFrames.push(...reader.push(chunk))
    } catch (err) {
      fail(err as Error)
    }
    wake()
  }
  const onClose = (): void => { fail(new Error('connection closed during the handshake')) }
  const timer = setTimeout(() => { fail(new Error(`no link within ${timeoutMs} ms: ${socket.connecting ? 'not connected' : 'handshake not completed'}`)) }, timeoutMs)
  socket.on('data', onData)
  socket.on('error', fail)
  socket.on('close', onClose)
  return {
    write (body: unknown): void {
      socket.write(frames.encodeFrame([frames.FrameKind.event, 0, body]))
    },
    async next (): Promise<unknown> {
      while (true) {
        const received = earlyFrames.shift()
        if (received !== undefined) return received.frame[2]
        if (failure !== undefined) {
          clearTimeout(timer)
          throw failure
        }
        await new Promise<void>(resolve => { wake = resolve })
      }
    },
    finish (): { reader: frames.FrameReader, earlyFrames: frames.ReceivedFrame[] } {
      clearTimeout(timer)
      maxBytes = contracts.MAX_FRAME_BYTES
      socket.off('data', onData)
      socket.off('close', onClose)
      socket.pause()
      return { reader, earlyFrames }
    }
  }
}
