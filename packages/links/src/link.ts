/**
 * A link: one authenticated TCP connection between two processes of the system, carrying events, calls and replies.
 * One task reads it; it is watched with all others of the process until the connection ends.
 */
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as telemetry from '@kingcupdeck/telemetry'
import * as frames from './frames.js'
import * as handshake from './handshake.js'
import * as linkMonitors from './linkMonitor.js'

/** Why a link ended. */
export type CloseReason = 'ended' | 'silent' | 'invalid' | 'local'

/** A call did not get its reply: the link ended, the time was over, or the other side failed. */
export class CallError extends Error {
  /**
   * @param kind why there is no reply
   * @param detail for people
   */
  constructor (readonly kind: 'closed' | 'timeout' | 'failed', detail: string) {
    super(`call ${kind}: ${detail}`)
    this.name = 'CallError'
  }
}

/** What a process does with what arrives on a link. */
export interface LinkHandlers {
  /** Takes an event. */
  onEvent (body: unknown, link: Link): void
  /** Answers a call; what it throws reaches the caller as a failed call. */
  onCall (body: unknown, link: Link): Promise<unknown>
  /** Told once when the link has ended. */
  onClose? (link: Link, reason: CloseReason): void
}

/** Where a link's traffic is counted. */
export type CountBytes = (direction: 'in' | 'out', bytes: number, body: unknown) => void

/** One end of a link. */
export interface Link {
  readonly peer: handshake.Identity
  /** @returns whether it can still be written to */
  isOpen (): boolean
  /** Sends an event; lost without a word if the link has ended. */
  send (body: unknown): void
  /** Sends an event that was encoded before, for many links together. */
  sendEncoded (event: EncodedEvent): void
  /** Sends a call. @returns its reply. @throws CallError */
  call (body: unknown, timeoutMs: number): Promise<unknown>
  /** Says that work depends on this link, so that silence is noticed at once. @returns the release */
  markBusy (): () => void
  /** @returns when the socket's buffer has gone down, so that a slow reader slows the writer */
  drained (): Promise<void>
  /** Ends the link. */
  close (): void
  /** Resolves when the link has ended. */
  readonly closed: Promise<CloseReason>
}

/** An event that is encoded once and sent over many links. */
export interface EncodedEvent { body: unknown, bytes: Buffer }

/**
 * Encodes an event.
 * @param body the event
 * @returns it as it travels
 */
export function encodeEvent (body: unknown): EncodedEvent {
  return { body, bytes: frames.encodeFrame([frames.FrameKind.event, 0, body]) }
}

/** What a link is made of, once the handshake is over. */
export interface LinkOptions {
  socket: net.Socket
  peer: handshake.Identity
  reader: frames.FrameReader
  /** Frames that came together with the end of the handshake. */
  earlyFrames: frames.ReceivedFrame[]
  handlers: LinkHandlers
  log: telemetry.Log
  countBytes?: CountBytes
}

const HIGH_WATER_BYTES = 1024 * 1024

/**
 * Creates a link over an authenticated socket and starts to read it.
 * @param parts the socket and what to do with its traffic
 * @returns the link
 */
export function createLink (parts: LinkOptions): Link {
  const { socket, peer, handlers, log } = parts
  const pending = new Map<number, { resolve: (body: unknown) => void, reject: (err: Error) => void }>()
  const count = parts.countBytes ?? (() => {})
  let nextCall = 1
  let holds = 0
  let lastReceivedAt = performance.now()
  let pingSentAt: number | undefined
  let reason: CloseReason = 'ended'
  let settleClosed: (reason: CloseReason) => void = () => {}
  const closed = new Promise<CloseReason>(resolve => { settleClosed = resolve })

  const write = (frame: frames.Frame): void => {
    if (link.isOpen()) writeBytes(frames.encodeFrame(frame), frame[2])
  }

  const writeBytes = (bytes: Buffer, body: unknown): void => {
    count('out', bytes.length, body)
    socket.write(bytes)
  }

  const end = (why: CloseReason): void => {
    if (socket.destroyed) return
    reason = why
    socket.destroy()
  }

  const link: Link = {
    peer,
    isOpen: () => !socket.destroyed && socket.writable,
    send: body => { write([frames.FrameKind.event, 0, body]) },
    sendEncoded: event => { if (link.isOpen()) writeBytes(event.bytes, event.body) },
    call: async (body, timeoutMs) => {
      if (!link.isOpen()) throw new CallError('closed', `no link to ${peer.id}`)
      const call = nextCall++
      return await new Promise((resolve, reject) => {
        const timer = setTimeout(() => {
          pending.delete(call)
          reject(new CallError('timeout', `${peer.id} did not reply within ${timeoutMs} ms`))
        }, timeoutMs)
        pending.set(call, {
          resolve: reply => { clearTimeout(timer); resolve(reply) },
          reject: err => { clearTimeout(timer); reject(err) }
        })
        write([frames.FrameKind.call, call, body])
      })
    },
    markBusy: () => {
      holds++
      let isHeld = true
      return () => {
        if (isHeld) holds--
        isHeld = false
      }
    },
    drained: async () => {
      while (link.isOpen() && socket.writableLength > HIGH_WATER_BYTES) await timers.setTimeout(5)
    },
    close: () => { end('local') },
    closed
  }

  const answer = async (call: number, body: unknown): Promise<void> => {
    try {
      write([frames.FrameKind.reply, call, await handlers.onCall(body, link)])
    } catch (err) {
      write([frames.FrameKind.callFailed, call, err instanceof Error ? err.message : String(err)])
    }
  }

  const take = (item: frames.ReceivedFrame): void => {
    const [kind, call, body] = item.frame
    count('in', item.bytes, body)
    switch (kind) {
      case frames.FrameKind.event: handlers.onEvent(body, link); break
      case frames.FrameKind.call: void answer(call, body); break
      case frames.FrameKind.reply: settle(call)?.resolve(body); break
      case frames.FrameKind.callFailed: settle(call)?.reject(new CallError('failed', String(body))); break
      case frames.FrameKind.ping: write([frames.FrameKind.pong, 0, null]); break
      case frames.FrameKind.pong: break
    }
  }

  const settle = (call: number) => {
    const waiter = pending.get(call)
    pending.delete(call)
    return waiter
  }

  const read = async (): Promise<void> => {
    try {
      for (const item of parts.earlyFrames) take(item)
      for await (const chunk of socket) {
        lastReceivedAt = performance.now()
        pingSentAt = undefined
        for (const item of parts.reader.push(chunk as Buffer)) take(item)
      }
    } catch (err) {
      if (err instanceof frames.FrameError) {
        log.event('frameInvalid', { peer: peer.id, detail: err.message })
        reason = 'invalid'
      }
    }
    socket.destroy()
    for (const waiter of pending.values()) waiter.reject(new CallError('closed', `link to ${peer.id} ended`))
    pending.clear()
    settleClosed(reason)
    handlers.onClose?.(link, reason)
  }

  // Guards against connections that go silent for good while new ones work: something between the two ends has lost
  // track of them, no reset ever comes, and a request would wait forever. A ping that nothing follows shows it.
  const look: linkMonitors.LinkCheck = (now, wasFrozen) => {
    // After a freeze of this process the silence is our own: judge the peer anew.
    if (wasFrozen) pingSentAt = undefined
    if (pingSentAt !== undefined && now - pingSentAt > contracts.LINK_TIMEOUT_MS - contracts.LINK_PING_MS) {
      log.event('linkSilent', { peer: peer.id, silentMs: Math.round(now - lastReceivedAt) })
      end('silent')
      return
    }
    const isBusy = holds > 0 || pending.size > 0
    const pingAfterMs = isBusy ? contracts.LINK_PING_MS : contracts.LINK_IDLE_PING_MS
    if (pingSentAt === undefined && now - lastReceivedAt > pingAfterMs) {
      pingSentAt = now
      write([frames.FrameKind.ping, 0, null])
    }
  }

  socket.setNoDelay(true)
  const unwatch = linkMonitors.monitorLink(look)
  void read().finally(unwatch)
  return link
}
