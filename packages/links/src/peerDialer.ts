/** Dialling of peers with a timeout and a backoff after failures. */
import * as deadlines from './deadline.js'
import * as links from './link.js'
import type * as peerLinks from './peerLinks.js'

/** Options of {@link createPeerDialer}. */
export interface PeerDialerOptions {
  /** Timeout of a connection attempt, since an unreachable machine may not respond at all. */
  dialTimeoutMs: number
  /** Time after a failure during which no attempt is made, so that messages to an unreachable peer fail at once. */
  backoffMs: number
}

/** Opens links to peers by address. */
export interface PeerDialer {
  /**
   * Returns an open link to a peer.
   * @throws Error when the connection fails or times out, or while the backoff lasts
   */
  get: (address: string) => Promise<links.Link>
  /** Returns the time of the latest failure on the clock of `performance.now()`, or -Infinity. */
  lastFailureAt: (address: string) => number
}

/**
 * Creates a dialer.
 * @param peers the links of this process, identified by address
 */
export function createPeerDialer (peers: peerLinks.PeerLinks, opts: PeerDialerOptions): PeerDialer {
  const failures = new Map<string, number>()
  const lastFailureAt = (address: string): number => failures.get(address) ?? -Infinity
  return {
    lastFailureAt,
    async get (address) {
      const known = peers.peek(address)
      if (known !== undefined) return known
      if (performance.now() - lastFailureAt(address) < opts.backoffMs) throw new Error(`${address} is unreachable; next attempt after a backoff of ${opts.backoffMs} ms`)
      try {
        return await peers.get(address, address, opts.dialTimeoutMs)
      } catch (err) {
        failures.set(address, performance.now())
        throw err
      }
    }
  }
}

/**
 * Limits the time to wait for a promise.
 * @param missing what is missing on a timeout, for the error message
 * @throws Error on a timeout
 */
export async function withTimeout<T> (work: Promise<T>, ms: number, missing: string): Promise<T> {
  let cancelDeadline = (): void => {}
  const timeout = new Promise<never>((resolve, reject) => {
    cancelDeadline = deadlines.setDeadline(ms, () => { reject(new Error(`${missing} within ${Math.round(ms)} ms`)) })
  })
  return await Promise.race([work, timeout]).finally(() => { cancelDeadline() })
}
