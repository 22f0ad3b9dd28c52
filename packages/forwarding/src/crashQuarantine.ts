/**
 * Requests that crash the endpoints that run them. A request whose answer broke off is held against it only when its endpoint
 * then turns out to be down: answers also break off for other reasons. After {@link QUARANTINE_CRASHES} crashes the request
 * goes to no endpoint any more, at whichever entry instance it comes in.
 */
import * as contracts from '@kingcupdeck/contracts'

/** News of a request that was running at crashes, as entry instances exchange it. */
export interface CrashReport { fingerprint: string, crashed: string[] }

/** The requests under suspicion. */
export interface CrashQuarantine {
  /** Notes that a request was running at an endpoint whose connection broke. */
  recordLoss (fingerprint: string, endpoint: string, now: number): void
  /** Notes that an endpoint is down. @returns what is news of it, for the other instances */
  confirmDown (endpoint: string, now: number): CrashReport[]
  /** Takes what another instance knows. */
  merge (news: readonly CrashReport[], now: number): void
  /** @returns whether the request must not reach any endpoint */
  isQuarantined (fingerprint: string, now: number): boolean
}

/** So many crashed endpoints convict a request: two may be chance when several endpoints are lost at once. */
export const QUARANTINE_CRASHES = 3
/** A loss counts as a crash if its endpoint is found down within this time. */
const CONFIRM_MS = 3000
const REMEMBER_MS = 120_000
const MAX_REMEMBERED = 5000

/**
 * Creates the suspects.
 * @returns none yet
 */
export function createCrashQuarantine (): CrashQuarantine {
  let losses: Array<{ fingerprint: string, endpoint: string, at: number }> = []
  const known = new Map<string, { crashed: Set<string>, at: number }>()

  const add = (fingerprint: string, endpoint: string, now: number): boolean => {
    const item = known.get(fingerprint) ?? { crashed: new Set<string>(), at: now }
    if (item.crashed.has(endpoint)) return false
    item.crashed.add(endpoint)
    item.at = now
    known.set(fingerprint, item)
    if (known.size > MAX_REMEMBERED) known.delete(known.keys().next().value as string)
    return true
  }

  return {
    recordLoss (fingerprint, endpoint, now) {
      losses = losses.filter(item => now - item.at < CONFIRM_MS).slice(-MAX_REMEMBERED)
      losses.push({ fingerprint, endpoint, at: now })
    },
    confirmDown (endpoint, now) {
      const confirmed = losses.filter(item => item.endpoint === endpoint && now - item.at < CONFIRM_MS)
      losses = losses.filter(item => item.endpoint !== endpoint)
      return confirmed.filter(item => add(item.fingerprint, endpoint, now)).map(item => ({ fingerprint: item.fingerprint, crashed: [endpoint] }))
    },
    merge (news, now) {
      for (const item of news) {
        for (const endpoint of item.crashed) add(item.fingerprint, endpoint, now)
      }
    },
    isQuarantined (fingerprint, now) {
      const item = known.get(fingerprint)
      if (item === undefined) return false
      if (now - item.at < REMEMBER_MS) return item.crashed.size >= QUARANTINE_CRASHES
      known.delete(fingerprint)
      return false
    }
  }
}

/**
 * What makes two requests the same one, sent again: caller, method, path and body, not the attempt.
 * @param account client account, or undefined
 * @param method HTTP method
 * @param url path with query
 * @param body the body
 * @returns a short text
 */
export function toFingerprint (account: string | undefined, method: string, url: string, body: Uint8Array): string {
  return contracts.sha256(Buffer.concat([Buffer.from(`${account ?? ''}\n${method}\n${url}\n`), body])).slice(0, 24)
}
