/**
 * Shares the time that an instance spends on long responses. What a response sends up to a usual length is read at once; the rest of all
 * responses together is read at a limited rate, by turns, so that endpoints which send without end do not keep the event loop from others.
 */
import type * as http from 'node:http'
import type * as net from 'node:net'

/** Pace of one response. */
export interface Pace {
  /**
   * Records what was read.
   * @param events number of events among the bytes
   * @returns milliseconds until more may be read
   */
  charge (bytes: number, events: number): number
}

/** Paces the reading of all responses. */
export interface ReadPacer { open (): Pace }

/** Cost of a response that is read without a pause: longer than most. */
const FREE_COST = 256 * 1024
/** Cost of an event, compared with that of a byte. */
const EVENT_COST = 256
/** Cost that is read per millisecond beyond: 32 MB a second, some percent of a processor. */
const COST_PER_MS = 32 * 1024
/** Shorter pauses are left out, and added to later ones. */
const MIN_PAUSE_MS = 10

/**
 * Creates a pacer.
 * @param now returns milliseconds on the monotonic clock
 */
export function createReadPacer (now: () => number): ReadPacer {
  /** When all that was read so far will have been paid for. */
  let paidAt = -Infinity
  return {
    open () {
      let cost = 0
      return {
        charge (bytes, events) {
          const added = bytes + EVENT_COST * events
          cost += added
          if (cost <= FREE_COST) return 0
          const free = Math.max(0, added - (cost - FREE_COST))
          paidAt = Math.max(paidAt, now()) + (added - free) / COST_PER_MS
          const pauseMs = paidAt - now()
          return pauseMs < MIN_PAUSE_MS ? 0 : pauseMs
        }
      }
    }
  }
}

/** What can be read with pauses. */
export interface Pausable { pause: () => unknown, resume: () => unknown }

/** Pauses of a source for several reasons at once; it is read while there is none. */
export interface PauseGate {
  set (reason: 'pace' | 'receiver', isPaused: boolean): void
  /** Pauses for a time, in milliseconds. */
  pauseFor (ms: number): void
  stop (): void
}

/** Creates a gate that is open. */
export function createPauseGate (source: Pausable): PauseGate {
  const isPausedFor = { pace: false, receiver: false }
  let timer: NodeJS.Timeout | undefined
  const set: PauseGate['set'] = (reason, isPaused) => {
    const wasPaused = isPausedFor.pace || isPausedFor.receiver
    isPausedFor[reason] = isPaused
    if (wasPaused === (isPausedFor.pace || isPausedFor.receiver)) return
    if (wasPaused) source.resume()
    else source.pause()
  }
  return {
    set,
    pauseFor (ms) {
      if (ms <= 0) return
      set('pace', true)
      clearTimeout(timer)
      timer = setTimeout(() => { set('pace', false) }, ms)
    },
    stop () {
      clearTimeout(timer)
      set('pace', false)
      set('receiver', false)
    }
  }
}

/**
 * Returns how the body of a response is paused. The connection is not read meanwhile, but what was read of it is still passed on: each
 * chunk that waited in the response would be an object of its own.
 */
export function toPausable ({ socket }: http.IncomingMessage): Pausable {
  return {
    pause () {
      // The response resumes its connection whenever it has nothing left.
      socket.resume = () => socket
      socket.pause()
    },
    resume () {
      delete (socket as Partial<net.Socket>).resume
      socket.resume()
    }
  }
}
