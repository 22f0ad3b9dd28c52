/**
 * Tunnels: a process connects to a target on behalf of another one and passes the bytes on in both directions. Each tunnel is a TCP
 * connection of its own, so that backpressure and the end of either side reach the other one.
 */
import * as net from 'node:net'
import * as z from 'zod'
import * as frames from './frames.js'

/** Sent by the process that was asked for a tunnel, before the bytes of the target. */
export const tunnelReply = z.discriminatedUnion('isOpen', [
  z.object({ isOpen: z.literal(true) }),
  z.object({ isOpen: z.literal(false), why: z.string(), /** Whether the target did not respond, as opposed to refusing the connection. */ isSilent: z.boolean() })
])
/** Reply to the request for a tunnel. */
export type TunnelReply = z.infer<typeof tunnelReply>

/** The process at the other end of a tunnel could not connect to the target. */
export class TunnelError extends Error {
  constructor (why: string, /** Whether the target did not respond. */ readonly isSilent: boolean) {
    super(why)
    this.name = 'TunnelError'
  }
}

/** Delay of the keep-alive probes, by which either end detects that the other one is gone. */
const KEEP_ALIVE_DELAY_MS = 1000

/**
 * Serves a tunnel over an authenticated connection.
 * @param open connects to the target
 */
export async function serveTunnel (socket: net.Socket, open: () => Promise<net.Socket>): Promise<void> {
  let target: net.Socket
  try {
    target = await open()
  } catch (err) {
    const why = err instanceof Error ? err.message : String(err)
    socket.end(encodeReply({ isOpen: false, why, isSilent: err instanceof TunnelError && err.isSilent }))
    return
  }
  if (socket.destroyed) {
    target.destroy()
    return
  }
  socket.write(encodeReply({ isOpen: true }))
  join(socket, target)
}

function encodeReply (reply: TunnelReply): Buffer {
  return frames.encodeFrame([frames.FrameKind.event, 0, reply])
}

/**
 * Distinguishes a reset from an orderly close at the end of what a connection received. If the last bytes and the reset arrive together, the
 * event loop reports the end without an error; only the missing remote address of the socket shows the reset.
 */
export function isReset (socket: net.Socket): boolean {
  return socket.remoteAddress === undefined
}

/** Bytes that a peer has read once it responds to them: those of a head, and of a body that came with it. */
const MAX_READ_BYTES = 16 * 1024
/** Time in which a reset follows the end of what a connection receives, if its peer closed it without having read all that was sent. */
const RESET_WAIT_MS = 100

/**
 * Delays the end of what a connection receives if much was sent on it: a peer that closes it meanwhile sends the end first, and a reset for
 * what still arrives. {@link isReset} tells at the end.
 */
export function delayEnd (socket: net.Socket): void {
  const push = socket.push.bind(socket)
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    if (chunk !== null || socket.bytesWritten <= MAX_READ_BYTES) return push(chunk, encoding)
    setTimeout(() => {
      if (socket.destroyed) return
      push(null)
      socket.read(0)
    }, RESET_WAIT_MS)
    return false
  }
}

/** Passes bytes on in both directions until either side ends. */
function join (near: net.Socket, target: net.Socket): void {
  delayEnd(target)
  for (const [from, to] of [[near, target], [target, near]]) {
    from.setNoDelay(true)
    from.setKeepAlive(true, KEEP_ALIVE_DELAY_MS)
    from.on('error', () => {})
    // A reset must not look like the end of a response that has no length.
    from.once('end', () => { if (isReset(from)) to.resetAndDestroy() })
    from.pipe(to)
    from.on('close', hadError => {
      if (hadError) to.resetAndDestroy()
      else if (from === near) to.destroy()
    })
  }
}
