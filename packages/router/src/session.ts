/**
 * One attempt at its owner, from dispatch to its end. Sent events are retained until then, so that an entry instance can
 * reattach over a new link without losing any.
 */
import * as contracts from '@kingcupdeck/contracts'
import type * as attempts from './attempts.js'

/** Lifecycle of an attempt at its owner. */
export type SessionState = 'queued' | 'admitted' | 'dispatched' | 'ended'

/** One attempt at its owner. */
export interface Session {
  readonly msg: contracts.Dispatch
  state: SessionState
  /** Whether a byte of it may have reached the endpoint. */
  reached: boolean
  readonly abort: AbortController
  admittedAt: number
  queuedAt: number
  /** Declines the attempt when it has waited in the queue for too long. */
  patienceTimer: NodeJS.Timeout | undefined
  /** Sends an event to the entry instance and retains it. */
  emit (event: contracts.PeerEvent): void
  /** Switches to a new sink and resends retained events; chunks are resent from number `from` on. */
  attach (sink: attempts.EventSink, from: number): void
  /** Whether the entry instance is still reachable. */
  isAttached (): boolean
  drained (): Promise<void>
  /** Number of the next chunk expected from the engine. */
  nextChunk: number
  /** Whether its connection broke and the health probe of the endpoint is in progress. */
  isBroken: boolean
  /** Whether the engine sent a final event. */
  isFinished: boolean
}

/** Creates a session in state `queued`. */
export function createSession (msg: contracts.Dispatch, initialSink: attempts.EventSink): Session {
  let sink = initialSink
  const sentEvents: contracts.PeerEvent[] = []
  return {
    msg,
    state: 'queued',
    reached: false,
    abort: new AbortController(),
    admittedAt: 0,
    queuedAt: performance.now(),
    patienceTimer: undefined,
    isFinished: false,
    isBroken: false,
    nextChunk: msg.work.kind === 'chat' ? msg.work.resumeFrom : 0,
    emit (event) {
      sentEvents.push(event)
      sink.send(event)
    },
    attach (newSink, from) {
      sink = newSink
      for (const event of sentEvents) {
        if (event.t !== 'chunk' || event.n >= from) sink.send(event)
      }
    },
    isAttached: () => sink.isOpen(),
    drained: async () => { await sink.drained() }
  }
}
