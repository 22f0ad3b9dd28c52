/** Services shared by the request handlers of an entry instance. */
import type * as contracts from '@kingcupdeck/contracts'
import type * as membership from '@kingcupdeck/membership'
import type * as routing from '@kingcupdeck/routing'
import type * as telemetry from '@kingcupdeck/telemetry'
import type * as attempts from './attempts.js'
import type * as auths from './auth.js'
import type * as helpers from './http.js'
import type * as ledgerClient from './ledgerClient.js'
import type * as placement from './placement.js'
import type * as traces from './traces.js'

/** Priority and patience of a request; a lower rank is more urgent. */
export interface Urgency { priority: string, rank: number, patienceMs: number }

/** Services shared by the request handlers of an entry instance. */
export interface EntryContext {
  member: membership.Membership
  placer: placement.Placer
  attempts: attempts.Attempts
  ledger: ledgerClient.LedgerClient
  suspects: routing.Suspects
  /** Sends what is known of suspects to all peers. */
  broadcastSuspects (fingerprints: readonly string[]): void
  budget: routing.RetryBudget
  traces: traces.Traces
  metrics: telemetry.RouterMetrics
  invariants: telemetry.Invariants
  maxBodyBytes: number
  /** Returns the current configuration document. @throws FailureError `not_serving` before one is received */
  requireDocument (): contracts.Document
  /** Counts one request against a client account's rate limit. @throws FailureError `account_limit` */
  enforceRateLimit (account: auths.Account): void
  /** @param priority priority set by the document, which overrides the caller's */
  toUrgency (exchange: helpers.Exchange, account: auths.Account, priority?: string): Urgency
  /** Returns a signal that aborts when the caller disconnects before the response is complete. */
  watchCaller (exchange: helpers.Exchange): AbortSignal
}

/** Records that a request was answered, and tells all peers if it was suspected. */
export function clearSuspicion (ctx: EntryContext, fingerprint: string): void {
  if (ctx.suspects.clear(fingerprint)) ctx.broadcastSuspects([fingerprint])
}
