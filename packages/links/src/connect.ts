/** Opening links: the dialling and the listening side of the handshake. */
import * as net from 'node:net'
import * as telemetry from '@kingcupdeck/telemetry'
import * as contracts from '@kingcupdeck/contracts'
import * as frames from './frames.js'
import * as handshake from './handshake.js'
import * as links from './link.js'

/** What both sides of a link need. */
export interface LinkSettings {
  identity: handshake.Identity
  /** The fleet secret, which both sides must know. */
  secret: string
  log: telemetry.Log
  handlers: links.LinkHandlers
  countBytes?: links.CountBytes
}

/** Before the proof, a stranger may make us hold no more than this. */
const HANDSHAKE_MAX_BYTES = 1024
const HANDSHAKE_MS = 3000

/**
 * Splits `ip:port`.
 * @param address IP number and port
 * @returns both parts
 */
export function parseAddress (address: string): { host: string, port: number } {
  const at = address.lastIndexOf(':')
  return { host: address.slice(0, at).replace(/^\[|\]$/g, ''), port: Number(address.slice(at + 1)) }
}

/**
 * Opens a link to an address.
 * @param address IP number and port
 * @param cfg who we are and what to do with traffic
 * @returns the link, once both sides proved the secret
 * @throws Error when there is no connection or no proof in time
 */
export async function dial (address: string, cfg: LinkSettings): Promise<links.Link> {
  const socket = net.connect({ ...parseAddress(address) })
  const pipe = createHandshakePipe(socket)
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
  /** The port it listens on. */
  readonly port: number
  /** Stops listening and ends every link that came in. */
  close (): Promise<void>
}

/**
 * Listens for links.
 * @param address IP number and port; port 0 takes a free one
 * @param cfg who we are and what to do with traffic
 * @param onLink told of each link, once both sides proved the secret
 * @returns the server
 */
export async function listen (address: string, cfg: LinkSettings, onLink: (link: links.Link) => void): Promise<LinkServer> {
  const open = new Set<net.Socket>()
  const server = net.createServer(socket => {
    open.add(socket)
    socket.on('close', () => open.delete(socket))
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
      for (const socket of open) socket.destroy()
      await new Promise<void>(resolve => { server.close(() => { resolve() }) })
    }
  }
}

async function accept (socket: net.Socket, cfg: LinkSettings): Promise<links.Link> {
  const pipe = createHandshakePipe(socket)
  const hello = handshake.clientHello.parse(await pipe.next())
  const nonce = handshake.createNonce()
  const proof = handshake.createProof(cfg.secret, 'listens', hello.nonce, nonce, cfg.identity)
  pipe.write({ protocol: handshake.PROTOCOL, who: cfg.identity, nonce, proof })
  const last = handshake.clientProof.parse(await pipe.next())
  const expected = handshake.createProof(cfg.secret, 'dials', nonce, hello.nonce, hello.who)
  if (!handshake.isValidProof(expected, last.proof)) {
    cfg.log.event('linkRefused', { claims: hello.who.id, address: socket.remoteAddress ?? '' })
    throw new Error('no proof of the fleet secret')
  }
  return links.createLink({ socket, peer: hello.who, log: cfg.log, handlers: cfg.handlers, countBytes: cfg.countBytes, ...pipe.finish() })
}

/** Reads single frames until the handshake is over, then hands over what is left. */
function createHandshakePipe (socket: net.Socket) {
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
  const onClose = (): void => { fail(new Error('connection ended during the handshake')) }
  const timer = setTimeout(() => { fail(new Error('handshake took too long')) }, HANDSHAKE_MS)
  socket.on('data', onData)
  socket.on('error', fail)
  socket.on('close', onClose)
  return {
    write (body: unknown): void {
      socket.write(frames.encodeFrame([frames.FrameKind.event, 0, body]))
    },
    async next (): Promise<unknown> {
      while (true) {
        const item = earlyFrames.shift()
        if (item !== undefined) return item.frame[2]
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
