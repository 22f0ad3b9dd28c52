/** What the tasks of all requests of an entry instance share. */
import * as telemetry from '@kingcupdeck/telemetry'
import * as crashQuarantines from './crashQuarantine.js'
import * as outlierDetectors from './outlierDetector.js'
import * as endpointPools from './endpointPool.js'
import * as entryMetrics from './entryMetrics.js'
import * as headerNames from './headerNames.js'
import * as documentWaiters from './documentWaiters.js'
import * as loadGossips from './loadGossip.js'
import * as retryBudgets from './retryBudget.js'
import * as routeTables from './routeTable.js'

/** What the tasks of all requests of an entry instance share. */
export interface EntryContext {
  names: headerNames.HeaderNames
  zone: string
  pool: endpointPools.EndpointPool
  quarantine: crashQuarantines.CrashQuarantine
  outliers: outlierDetectors.OutlierDetector
  gossip: loadGossips.Gossip
  metrics: entryMetrics.EntryMetrics
  log: telemetry.Log
  /** @returns the document in force, or undefined before the first */
  table: () => routeTables.CompiledTable | undefined
  /** @returns whether the document in force is known to be the latest */
  isLatestDocument: () => boolean
  /** @returns the newest version of the document that any instance said it holds */
  newestDocument: () => number
  /** Holds requests until the next document comes. */
  documentWaiters: documentWaiters.DocumentWaiters
  /** @returns the second sends that are left for a service */
  retryBudget: (service: string) => retryBudgets.RetryBudget
  /** @returns whether this instance was told to stop */
  isDraining: () => boolean
  /** @returns whether a request that may take so long is still taken */
  isAccepted: (waitMs: number) => boolean
  now: () => number
}
