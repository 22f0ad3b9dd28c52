/** Establishes links: the dialling and the listening side of the handshake. */
import * as net from 'node:net'
import * as telemetry from '@kingcupdeck/telemetry'
import * as contracts from '@kingcupdeck/contracts'
import * as frames from './frames.js'
import * as handshake from './handshake.js'
import * as links from './link.js'
import * as listening from './startListening.js'
import * as tunnels from './tunnel.js'
import * as unproven from './unproven.js'

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
/** Pieces in which the frames of such a peer may arrive; each piece takes much more memory than its bytes. */
const HANDSHAKE_MAX_PIECES = 64
/** Bytes of such a peer that are held; more than a frame, so that reading goes on until it is complete. */
const MAX_PENDING_BYTES = 64 * 1024

/**
 * Opens a link to an address. A dial that fails or times out leaves no connection behind.
 * @param timeoutMs time for the connection and the handshake together
 * @returns the link, once both sides are authenticated
 * @throws Error when the connection or handshake fails or times out
 */
export async function dial (address: string, cfg: LinkSettings, timeoutMs = HANDSHAKE_TIMEOUT_MS): Promise<links.Link> {
  return await dialSocket(address, cfg, timeoutMs, undefined, async ({ socket, peer, pipe }) => {
    return links.createLink({ socket, peer, log: cfg.log, handlers: cfg.handlers, countBytes: cfg.countBytes, ...pipe.finish() })
  })
}

/**
 * Opens a tunnel: a connection that the process at an address opens on behalf of this one, and whose bytes it passes on.
 * @param address inner address of the other process
 * @param target what that process is to connect to, in terms of its {@link links.LinkHandlers.onTunnel}
 * @param timeoutMs time until the tunnel is open
 * @throws tunnels.TunnelError when the other process cannot connect to the target; Error when it cannot be reached itself
 */
export async function openTunnel (address: string, cfg: LinkSettings, target: string, timeoutMs: number): Promise<net.Socket> {
  return await dialSocket(address, cfg, timeoutMs, target, async ({ socket, pipe }) => {
    const reply = tunnels.tunnelReply.parse(await pipe.next())
    if (!reply.isOpen) throw new tunnels.TunnelError(reply.why, reply.isSilent)
    pipe.finish()
    socket.resume()
    return socket
  })
}

type HandshakePipe = ReturnType<typeof createHandshakePipe>

interface Dialled { socket: net.Socket, peer: handshake.Identity, pipe: HandshakePipe }

/** Connects and authenticates both sides; closes the connection if that or the rest of the work fails. */
async function dialSocket<T> (address: string, cfg: LinkSettings, timeoutMs: number, target: string | undefined, complete: (dialled: Dialled) => Promise<T>): Promise<T> {
  const socket = net.connect({ ...listening.parseAddress(address) })
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
    pipe.write({ proof: handshake.createProof(cfg.secret, 'dials', hello.nonce, nonce, cfg.identity, target), target })
    return await complete({ socket, peer: hello.who, pipe })
  } catch (err) {
    pipe.finish()
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
 * @param opts bounds of the wait for the address
 * @throws Error when the wait for the address ends; see {@link listening.startListening}
 */
export async function listen (address: string, cfg: LinkSettings, onLink: (link: links.Link) => void, opts: Pick<listening.ListeningOptions, 'timeoutMs' | 'signal'> = {}): Promise<LinkServer> {
  const sockets = new Set<net.Socket>()
  const pending = unproven.createUnprovenConnections(cfg.log)
  const server = net.createServer(socket => {
    sockets.add(socket)
    pending.add(socket)
    socket.on('close', () => {
      sockets.delete(socket)
      pending.remove(socket)
    })
    socket.on('error', () => {})
    accept(socket, cfg, pending).then(link => { if (link !== undefined) onLink(link) }, () => { socket.destroy() })
  })
  await listening.startListening(server, address, { log: cfg.log, ...opts })
  return {
    port: (server.address() as net.AddressInfo).port,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise<void>(resolve => { server.close(() => { resolve() }) })
    }
  }
}

/** Completes the handshake of an accepted connection; a connection that fails holds nothing. @returns its link, or undefined if it is a tunnel */
async function accept (socket: net.Socket, cfg: LinkSettings, pending: unproven.UnprovenConnections): Promise<links.Link | undefined> {
  const pipe = createHandshakePipe(socket, HANDSHAKE_TIMEOUT_MS)
  try {
    const { peer, target } = await proveBoth(socket, cfg, pipe, () => { pending.noteHello(socket) })
    pending.remove(socket)
    const { reader } = pipe.finish()
    if (target === undefined) return links.createLink({ socket, peer, log: cfg.log, handlers: cfg.handlers, countBytes: cfg.countBytes, reader })
    await tunnels.serveTunnel(socket, async () => await openTarget(cfg.handlers, target))
    return undefined
  } catch (err) {
    pipe.finish()
    throw err
  }
}

/** Authenticates both sides of an accepted connection. @returns the peer, and the target if it asks for a tunnel */
async function proveBoth (socket: net.Socket, cfg: LinkSettings, pipe: HandshakePipe, onHello: () => void): Promise<{ peer: handshake.Identity, target: string | undefined }> {
  const hello = handshake.clientHello.parse(await pipe.next())
  if (pipe.pendingBytes() > 0) throw new Error('data after the first frame, before it was answered')
  onHello()
  const nonce = handshake.createNonce()
  const proof = handshake.createProof(cfg.secret, 'listens', hello.nonce, nonce, cfg.identity)
  pipe.write({ protocol: handshake.PROTOCOL, who: cfg.identity, nonce, proof })
  const confirmation = handshake.clientProof.parse(await pipe.next())
  const { target } = confirmation
  const expected = handshake.createProof(cfg.secret, 'dials', nonce, hello.nonce, hello.who, target)
  if (!handshake.isValidProof(expected, confirmation.proof)) {
    cfg.log.event('linkRefused', { claims: hello.who.id, address: socket.remoteAddress ?? '' })
    throw new Error(`${hello.who.id} could not prove the fleet secret`)
  }
  return { peer: hello.who, target }
}

async function openTarget ({ onTunnel }: links.LinkHandlers, target: string): Promise<net.Socket> {
  if (onTunnel === undefined) throw new Error('this process opens no tunnels')
  return await onTunnel(target)
}

/** Exchanges single frames during the handshake, then hands over the reader with what was received since. */
function createHandshakePipe (socket: net.Socket, timeoutMs: number) {
  let maxBytes = HANDSHAKE_MAX_BYTES
  const reader = frames.createFrameReader(() => maxBytes)
  let wake: () => void = () => {}
  let failure: Error | undefined
  let pieces = 0
  const fail = (err: Error): void => {
    failure ??= err
    wake()
  }
  const onData = (chunk: Buffer): void => {
    reader.add(chunk)
    pieces++
    if (pieces > HANDSHAKE_MAX_PIECES) fail(new Error(`the handshake has more than ${HANDSHAKE_MAX_PIECES} pieces`))
    // What follows the handshake may be long, and what does not belong to one may have no end.
    if (reader.pendingBytes() > MAX_PENDING_BYTES) socket.pause()
    wake()
  }
  const onClose = (): void => { fail(new Error('connection closed during the handshake')) }
  const timer = setTimeout(() => { fail(new Error(`no link within ${timeoutMs} ms: ${socket.connecting ? 'not connected' : 'handshake not completed'}`)) }, timeoutMs)
  socket.on('data', onData)
  socket.on('error', fail)
  socket.on('close', onClose)
  return {
    pendingBytes: reader.pendingBytes,
    write (body: unknown): void {
      socket.write(frames.encodeFrame([frames.FrameKind.event, 0, body]))
    },
    async next (): Promise<unknown> {
      while (true) {
        const received = reader.take()
        if (received !== undefined) return received.frame[2]
        if (failure !== undefined) {
          clearTimeout(timer)
          throw failure
        }
        socket.resume()
        await new Promise<void>(resolve => { wake = resolve })
      }
    },
    finish (): { reader: frames.FrameReader } {
      clearTimeout(timer)
      maxBytes = contracts.MAX_FRAME_BYTES
      socket.off('data', onData)
      socket.off('close', onClose)
      socket.pause()
      return { reader }
    }
  }
}
