/** What entry instances tell each other about requests that are suspected of crashing endpoints. */
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'

/** Report about one request; all fields but the first two are absent from reports of earlier versions. */
export const crashReport = z.object({
  fingerprint: z.string(),
  /** Incarnations of the endpoints that went down with the request in flight. */
  crashed: z.array(z.string()),
  /** Time since then, in milliseconds. */
  agoMs: z.number().default(0),
  /** Time for which the request had been at the endpoint then, in milliseconds. */
  ranMs: z.number().default(0),
  /** Incarnations of endpoints that were taken for crashed and have responded since; concerns all requests that they lost. */
  survived: z.array(z.string()).default([]),
  /** Whether the request completed a run, so that its crashes no longer count. */
  isCleared: z.boolean().default(false),
  /** Whether the request is in flight at other endpoints since before the crashes. */
  hasSurvivors: z.boolean().default(false),
  /** Whether the request completed a run before the crashes. */
  hasSucceeded: z.boolean().default(false)
})
/** Report about one request. */
export type CrashReport = z.infer<typeof crashReport>

/** Returns a report with the given fields and defaults for the others. */
export function toCrashReport (fingerprint: string, fields: Partial<CrashReport>): CrashReport {
  return { fingerprint, crashed: [], survived: [], agoMs: 0, ranMs: 0, isCleared: false, hasSurvivors: false, hasSucceeded: false, ...fields }
}

/**
 * Returns a hash that identifies a request across retries: client account, method, path and body.
 * @param account undefined for a request without a client account
 */
export function toFingerprint (account: string | undefined, method: string, url: string, body: Uint8Array): string {
  return contracts.sha256(Buffer.concat([Buffer.from(`${account ?? ''}\n${method}\n${url}\n`), body])).slice(0, 24)
}
