/**
 * Quarantine of requests that crash endpoints. A lost response counts as a crash only if its endpoint is then found to be down. After
 * {@link QUARANTINE_CRASHES} crashes the request is sent to no further endpoint, by any entry instance.
 */
import * as contracts from '@kingcupdeck/contracts'
import type * as telemetry from '@kingcupdeck/telemetry'

/** Endpoints that crashed while a request was running, as exchanged between entry instances. */
export interface CrashReport { fingerprint: string, crashed: string[] }

/** Requests that are suspected of crashing endpoints. */
export interface CrashQuarantine {
  /** Records that the response to a request was lost. */
  recordLoss (fingerprint: string, endpoint: string, now: number): void
  /** Confirms that an endpoint is down. @returns the new crashes, to be sent to the other instances */
  confirmDown (endpoint: string, now: number): CrashReport[]
  /** Merges the reports of another instance. @returns those that were not known */
  merge (reports: readonly CrashReport[], now: number, from?: string): CrashReport[]
  /** Returns whether the request must not be sent to any endpoint. */
  isQuarantined (fingerprint: string, now: number): boolean
}

/** Crashed endpoints after which a request is quarantined; fewer may coincide with an unrelated outage. */
export const QUARANTINE_CRASHES = 3
/** A lost response counts as a crash if its endpoint is found to be down within this time. */
const CONFIRM_MS = 3000
const RETENTION_MS = 120_000
const MAX_ENTRIES = 5000

/**
 * Creates an empty quarantine.
 * @param log receives an event for each crash that counts against a request
 */
export function createCrashQuarantine (log?: telemetry.Log): CrashQuarantine {
  let losses: Array<{ fingerprint: string, endpoint: string, at: number }> = []
  const suspects = new Map<string, { crashed: Set<string>, at: number }>()

  const add = (fingerprint: string, endpoint: string, now: number, from: string): boolean => {
    const item = suspects.get(fingerprint) ?? { crashed: new Set<string>(), at: now }
    if (item.crashed.has(endpoint)) return false
    item.crashed.add(endpoint)
    item.at = now
    suspects.set(fingerprint, item)
    log?.event('requestSuspected', { fingerprint, endpoint, crashes: item.crashed.size, from })
    if (suspects.size > MAX_ENTRIES) suspects.delete(suspects.keys().next().value as string)
    return true
  }

  return {
    recordLoss (fingerprint, endpoint, now) {
      losses = losses.filter(item => now - item.at < CONFIRM_MS).slice(-MAX_ENTRIES)
      losses.push({ fingerprint, endpoint, at: now })
    },
    confirmDown (endpoint, now) {
      const confirmed = losses.filter(item => item.endpoint === endpoint && now - item.at < CONFIRM_MS)
      losses = losses.filter(item => item.endpoint !== endpoint)
      return confirmed.filter(item => add(item.fingerprint, endpoint, now, 'self')).map(item => ({ fingerprint: item.fingerprint, crashed: [endpoint] }))
    },
    merge (reports, now, from = 'unknown') {
      return reports
        .map(({ fingerprint, crashed }) => ({ fingerprint, crashed: crashed.filter(endpoint => add(fingerprint, endpoint, now, from)) }))
        .filter(item => item.crashed.length > 0)
    },
    isQuarantined (fingerprint, now) {
      const item = suspects.get(fingerprint)
      if (item === undefined) return false
      if (now - item.at < RETENTION_MS) return item.crashed.size >= QUARANTINE_CRASHES
      suspects.delete(fingerprint)
      return false
    }
  }
}

/**
 * Returns a hash that identifies a request across retries: client account, method, path and body.
 * @param account undefined for a request without a client account
 */
export function toFingerprint (account: string | undefined, method: string, url: string, body: Uint8Array): string {
  return contracts.sha256(Buffer.concat([Buffer.from(`${account ?? ''}\n${method}\n${url}\n`), body])).slice(0, 24)
}
