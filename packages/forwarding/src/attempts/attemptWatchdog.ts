/**
 * Watchdog for attempts without a response. It detects endpoints that are silent, so that the request can be sent to another one
 * before it times out. Silence is no proof of a loss, so the attempt continues; a later start of the endpoint is one.
 */
import * as contracts from '@kingcupdeck/contracts'
import type * as attemptRecorders from './attemptRecorder.js'
import type * as endpointProbes from '../endpoints/endpointProbe.js'

/** Options of {@link startWatchdog}. */
export interface WatchdogOptions {
  sent: attemptRecorders.SentRequest
  /** Time without a response after which the endpoint is probed, in milliseconds. */
  probeDelayMs: number
  /** Returns whether the response is overdue, although the endpoint may accept connections. */
  isOverdue: () => boolean
  /** Probes the endpoint, and records a failure. */
  probe: () => Promise<endpointProbes.ProbeFailure | undefined>
  /** Called repeatedly while the endpoint is silent. */
  onSilent: () => void
  /** Called when the process that received the request has ended. */
  onEnded: (why: string) => void
  /** Returns milliseconds on the monotonic clock. */
  now: () => number
}

/** Share of the target latency of the route after which the endpoint is probed: nearly all other responses have arrived by then. */
const PROBE_DELAY_SHARE = 0.5
/** Lower bound; a single retransmission may take this long. */
const MIN_PROBE_DELAY_MS = 150
/** Interval at which a silent endpoint is reported again: another endpoint may have become available. */
export const RECHECK_MS = 200

/**
 * Returns how long an attempt may stay without a response before its endpoint is probed.
 * @param targetMs target latency of the route, 0 without one
 * @returns milliseconds
 */
export function toProbeDelayMs (targetMs: number): number {
  return Math.max(MIN_PROBE_DELAY_MS, contracts.input.toTimerMs(PROBE_DELAY_SHARE * targetMs))
}

/** Watches an attempt. Returns a function that stops the watchdog. */
export function startWatchdog (opts: WatchdogOptions): () => void {
  const { sent, now } = opts
  const { endpoint } = sent
  let isStopped = false
  /** When the endpoint was found unreachable. */
  let unreachableAt: number | undefined

  const reportSilence = (): void => {
    sent.isSilent = true
    opts.onSilent()
  }

  const noteUnreachable = (): void => {
    if (isStopped) return
    unreachableAt = now()
    reportSilence()
  }

  const check = (): void => {
    if (sent.signal.aborted) return
    const isUnreachable = unreachableAt !== undefined && endpoint.answeredAt < unreachableAt
    if (isUnreachable || opts.isOverdue()) reportSilence()
    timer = setTimeout(check, RECHECK_MS)
  }

  let timer = setTimeout(() => {
    void opts.probe().then(failure => { if (failure !== undefined) noteUnreachable() })
    check()
  }, opts.probeDelayMs)

  const onDown = (failure: endpointProbes.ProbeFailure): void => {
    if (failure.isSilent) noteUnreachable()
    else opts.onEnded(failure.why)
  }
  endpoint.downListeners.add(onDown)
  return () => {
    isStopped = true
    endpoint.downListeners.delete(onDown)
    clearTimeout(timer)
  }
}
