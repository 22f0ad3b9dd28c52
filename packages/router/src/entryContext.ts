/** What the handlers of an entry instance share. */
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

/** How urgent a request is. */
export interface Urgency { priority: string, rank: number, patienceMs: number }

/** What the handlers of an entry instance share. */
export interface EntryContext {
  member: membership.Membership
  placer: placement.Placer
  attempts: attempts.Attempts
  ledger: ledgerClient.LedgerClient
  suspects: routing.Suspects
  budget: routing.RetryBudget
  traces: traces.Traces
  metrics: telemetry.RouterMetrics
  invariants: telemetry.Invariants
  maxBodyBytes: number
  /** @returns the document in force. @throws FailureError `not_serving` before there is one */
  requireDocument (): contracts.Document
  /** Takes one request out of a client account's limit. @throws FailureError `account_limit` */
  enforceRateLimit (account: auths.Account): void
  /** @returns priority and patience of a request */
  toUrgency (exchange: helpers.Exchange, account: auths.Account, priority?: string): Urgency
  /** @returns a signal that is aborted when the caller goes away before the answer is whole */
  watchCaller (exchange: helpers.Exchange): AbortSignal
}
