/**
 * One attempt at its owner, from admission to its end. The events that were sent are kept while the attempt runs, so that
 * an entry instance whose link went silent can attach again over a new one and miss nothing.
 */
import * as contracts from '@kingcupdeck/contracts'
import type * as attempts from './attempts.js'

/** How far an attempt has come. */
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
  /** Ends the wait in the queue. */
  patienceTimer: NodeJS.Timeout | undefined
  /** Sends an event to the entry instance, and keeps it. */
  emit (event: contracts.PeerEvent): void
  /** Takes a new way to the entry instance; sends again what comes after chunk `from`. */
  attach (sink: attempts.EventSink, from: number): void
  /** Whether the entry instance can still be reached. */
  isAttached (): boolean
  drained (): Promise<void>
  /** Next chunk number that the owner expects from the engine. */
  nextChunk: number
  /** Whether its connection broke and the owner is finding out whether the endpoint died. */
  isBroken: boolean
  /** Whether the engine sent the finish of the answer. */
  isFinished: boolean
}

/**
 * Creates a session.
 * @param msg the request
 * @param first where its events go
 * @returns the session, not admitted yet
 */
export function createSession (msg: contracts.Dispatch, first: attempts.EventSink): Session {
  let sink = first
  const kept: contracts.PeerEvent[] = []
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
      kept.push(event)
      sink.send(event)
    },
    attach (next, from) {
      sink = next
      for (const event of kept) {
        if (event.t !== 'chunk' || event.n >= from) sink.send(event)
      }
    },
    isAttached: () => sink.isOpen(),
    drained: async () => { await sink.drained() }
  }
}
