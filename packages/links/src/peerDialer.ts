/** Reaching a peer whose machine may be gone: waits only so long, and does not try again at once. */
import * as links from './link.js'
import type * as peerLinks from './peerLinks.js'

/** How long to wait, and how often to try. */
export interface PeerDialerOptions {
  /** A machine without power or behind a partition does not answer: so long is waited for a connection, milliseconds. */
  dialTimeoutMs: number
  /** After a failure nothing is tried for this long, so that messages to a lost peer fail at once, milliseconds. */
  backoffMs: number
}

/** Reaches peers by address. */
export interface PeerDialer {
  /** @returns an open link. @throws Error when there is none in time, or a try failed just now */
  get: (address: string) => Promise<links.Link>
  /** @returns when the peer could last not be reached, on the steady clock; -Infinity if never */
  lastFailureAt: (address: string) => number
}

/**
 * Creates a way to reach peers.
 * @param book the links of this process, with addresses as ids
 * @param opts how long to wait
 * @returns the way
 */
export function createPeerDialer (book: peerLinks.PeerLinks, opts: PeerDialerOptions): PeerDialer {
  const failures = new Map<string, number>()
  const failedAt = (address: string): number => failures.get(address) ?? -Infinity
  return {
    lastFailureAt: failedAt,
    async get (address) {
      const known = book.peek(address)
      if (known !== undefined) return known
      if (performance.now() - failedAt(address) < opts.backoffMs) throw new Error(`${address} could not be reached just now`)
      try {
        return await withTimeout(book.get(address, address), opts.dialTimeoutMs, `no connection to ${address}`)
      } catch (err) {
        failures.set(address, performance.now())
        throw err
      }
    }
  }
}

/**
 * Waits for something, but not for ever.
 * @param work what is to come
 * @param ms how long to wait
 * @param missing what there is when nothing came, for the error
 * @returns what came
 * @throws Error when nothing came in time
 */
export async function withTimeout<T> (work: Promise<T>, ms: number, missing: string): Promise<T> {
  let timer: NodeJS.Timeout | undefined
  const late = new Promise<never>((resolve, reject) => {
    timer = setTimeout(() => { reject(new Error(`${missing} within ${Math.round(ms)} ms`)) }, ms)
  })
  return await Promise.race([work, late]).finally(() => { clearTimeout(timer) })
}
