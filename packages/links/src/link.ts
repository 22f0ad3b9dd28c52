/** A link: an authenticated TCP connection between two processes, used for events, calls and replies in both directions. */
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as telemetry from '@kingcupdeck/telemetry'
import * as deadlines from './deadline.js'
import * as frames from './frames.js'
import * as handshake from './handshake.js'
import * as linkMonitor from './linkMonitor.js'

/** Why a link was closed: by the peer or a connection error, unresponsive, invalid frame, or by this process. */
export type CloseReason = 'ended' | 'silent' | 'invalid' | 'local'

/** A call without a reply: the link was closed, the call timed out, or the peer's handler failed. */
export class CallError extends Error {
  constructor (readonly kind: 'closed' | 'timeout' | 'failed', detail: string) {
    super(`call ${kind}: ${detail}`)
    this.name = 'CallError'
  }
}

/** Handlers of the traffic received on a link. */
export interface LinkHandlers {
  /** Handles an event. */
  onEvent (body: unknown, link: Link): void
  /** Handles a call and returns the reply; an error rejects the peer's call. */
  onCall (body: unknown, link: Link): Promise<unknown>
  /**
   * Connects to the target of a tunnel; tunnels are refused by default.
   * @throws TunnelError when the target cannot be reached
   */
  onTunnel? (target: string): Promise<net.Socket>
  /** Invoked once, after the link was closed. */
  onClose? (link: Link, reason: CloseReason): void
}

/** Counts the bytes of a frame. */
export type CountBytes = (direction: 'in' | 'out', bytes: number, body: unknown) => void

/** One end of a link. */
export interface Link {
  readonly peer: handshake.Identity
  isOpen (): boolean
  /** Sends an event; dropped without an error if the link is closed. */
  send (body: unknown): void
  /** Sends an event that was encoded once for several links. */
  sendEncoded (event: EncodedEvent): void
  /**
   * Sends a call and returns the reply.
   * @throws CallError
   */
  call (body: unknown, timeoutMs: number): Promise<unknown>
  /**
   * Marks the link as busy, so that an unresponsive peer is detected early.
   * @returns a function that removes the mark
   */
  markBusy (): () => void
  /** Resolves when the send buffer is below its limit or the link is closed, to apply backpressure to the sender. */
  drained (): Promise<void>
  close (): void
  /** Resolves when the link is closed. */
  readonly closed: Promise<CloseReason>
}

/** An event encoded once to be sent over several links. */
export interface EncodedEvent { body: unknown, bytes: Buffer }

/** Encodes an event for {@link Link.sendEncoded}. */
export function encodeEvent (body: unknown): EncodedEvent {
  return { body, bytes: frames.encodeFrame([frames.FrameKind.event, 0, body]) }
}

/** Options of {@link createLink}. */
export interface LinkOptions {
  socket: net.Socket
  peer: handshake.Identity
  /** Holds what was received together with the last frame of the handshake. */
  reader: frames.FrameReader
  handlers: LinkHandlers
  log: telemetry.Log
  countBytes?: CountBytes
}

/** Size of the send buffer above which {@link Link.drained} waits. */
const HIGH_WATER_MARK_BYTES = 1024 * 1024
const DRAIN_POLL_MS = 5
/** Events that could not be handled are logged once in this time. */
const FAILURE_LOG_INTERVAL_MS = 10_000
const MAX_DETAIL_LENGTH = 1000

/** Creates a link over an authenticated socket and starts reading from it. */
export function createLink (opts: LinkOptions): Link {
  const { socket, peer, handlers, log } = opts
  const pending = new Map<number, { resolve: (body: unknown) => void, reject: (err: Error) => void }>()
  const countBytes = opts.countBytes ?? (() => {})
  let nextCall = 1
  let busyCount = 0
  let lastReceivedAt = performance.now()
  let pingSentAt: number | undefined
  const toUnloggedFailures = telemetry.createLineLimit(FAILURE_LOG_INTERVAL_MS)
  let closeReason: CloseReason = 'ended'
  let resolveClosed: (reason: CloseReason) => void = () => {}
  const closed = new Promise<CloseReason>(resolve => { resolveClosed = resolve })

  const write = (frame: frames.Frame): void => {
    if (link.isOpen()) writeBytes(frames.encodeFrame(frame), frame[2])
  }

  const writeBytes = (bytes: Buffer, body: unknown): void => {
    countBytes('out', bytes.length, body)
    socket.write(bytes)
  }

  const close = (reason: CloseReason): void => {
    if (socket.destroyed) return
    closeReason = reason
    socket.destroy()
  }

  const link: Link = {
    peer,
    isOpen: () => !socket.destroyed && socket.writable,
    send: body => { write([frames.FrameKind.event, 0, body]) },
    sendEncoded: event => { if (link.isOpen()) writeBytes(event.bytes, event.body) },
    call: async (body, timeoutMs) => {
      if (!link.isOpen()) throw new CallError('closed', `link to ${peer.id} is closed`)
      const call = nextCall++
      return await new Promise((resolve, reject) => {
        const cancelDeadline = deadlines.setDeadline(timeoutMs, () => {
          pending.delete(call)
          reject(new CallError('timeout', `${peer.id} did not reply within ${timeoutMs} ms`))
        })
        pending.set(call, {
          resolve: reply => { cancelDeadline(); resolve(reply) },
          reject: err => { cancelDeadline(); reject(err) }
        })
        write([frames.FrameKind.call, call, body])
      })
    },
    markBusy: () => {
      busyCount++
      let isMarked = true
      return () => {
        if (isMarked) busyCount--
        isMarked = false
      }
    },
    drained: async () => {
      while (link.isOpen() && socket.writableLength > HIGH_WATER_MARK_BYTES) await timers.setTimeout(DRAIN_POLL_MS)
    },
    close: () => { close('local') },
    closed
  }

  const answer = async (call: number, body: unknown): Promise<void> => {
    try {
      write([frames.FrameKind.reply, call, await handlers.onCall(body, link)])
    } catch (err) {
      write([frames.FrameKind.callFailed, call, err instanceof Error ? err.message : String(err)])
    }
  }

  /** An event that cannot be handled costs itself only. */
  const handleEvent = (body: unknown): void => {
    try {
      handlers.onEvent(body, link)
    } catch (err) {
      const unlogged = toUnloggedFailures()
      if (unlogged === undefined) return
      log.event('messageFailed', { peer: peer.id, unlogged, detail: (err instanceof Error ? err.stack ?? err.message : String(err)).slice(0, MAX_DETAIL_LENGTH) })
    }
  }

  const receive = (item: frames.ReceivedFrame): void => {
    const [kind, call, body] = item.frame
    countBytes('in', item.bytes, body)
    switch (kind) {
      case frames.FrameKind.event: handleEvent(body); break
      case frames.FrameKind.call: void answer(call, body); break
      case frames.FrameKind.reply: takePending(call)?.resolve(body); break
      case frames.FrameKind.callFailed: takePending(call)?.reject(new CallError('failed', String(body))); break
      case frames.FrameKind.ping: write([frames.FrameKind.pong, 0, null]); break
      case frames.FrameKind.pong: break
    }
  }

  const receiveAll = (): void => {
    for (let item = opts.reader.take(); item !== undefined; item = opts.reader.take()) receive(item)
  }

  const takePending = (call: number) => {
    const waiter = pending.get(call)
    pending.delete(call)
    return waiter
  }

  const read = async (): Promise<void> => {
    try {
      receiveAll()
      for await (const chunk of socket) {
        lastReceivedAt = performance.now()
        pingSentAt = undefined
        opts.reader.add(chunk as Buffer)
        receiveAll()
      }
    } catch (err) {
      // Other errors are those of the connection.
      if (err instanceof frames.FrameError) {
        log.event('frameInvalid', { peer: peer.id, detail: err.message })
        closeReason = 'invalid'
      }
    }
    socket.destroy()
    for (const waiter of pending.values()) waiter.reject(new CallError('closed', `link to ${peer.id} was closed`))
    pending.clear()
    resolveClosed(closeReason)
    handlers.onClose?.(link, closeReason)
  }

  // Detects connections whose state a middlebox dropped: no reset is received, and calls would wait forever.
  const check: linkMonitor.LinkCheck = (now, wasSuspended) => {
    // If this process was suspended, the missing data says nothing about the peer.
    if (wasSuspended) pingSentAt = undefined
    if (pingSentAt !== undefined && now - pingSentAt > contracts.LINK_TIMEOUT_MS - contracts.LINK_PING_MS) {
      log.event('linkSilent', { peer: peer.id, silentMs: Math.round(now - lastReceivedAt) })
      close('silent')
      return
    }
    const isBusy = busyCount > 0 || pending.size > 0
    const pingAfterMs = isBusy ? contracts.LINK_PING_MS : contracts.LINK_IDLE_PING_MS
    if (pingSentAt === undefined && now - lastReceivedAt > pingAfterMs) {
      pingSentAt = now
      write([frames.FrameKind.ping, 0, null])
    }
  }

  socket.setNoDelay(true)
  const stopMonitoring = linkMonitor.monitorLink(check, log)
  void read().finally(stopMonitoring)
  return link
}
