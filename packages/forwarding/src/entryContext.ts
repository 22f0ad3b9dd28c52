/** What the tasks of all requests of an entry instance share. */
import * as telemetry from '@kingcupdeck/telemetry'
import * as crashSuspects from './crashSuspects.js'
import * as endpointOutcomes from './endpointOutcome.js'
import * as endpointPools from './endpointPool.js'
import * as entryMetrics from './entryMetrics.js'
import * as headerNames from './headerNames.js'
import * as nextDocuments from './nextDocument.js'
import * as peerExchanges from './peerExchange.js'
import * as retryWindows from './retryWindow.js'
import * as routeTables from './routeTable.js'

/** What the tasks of all requests of an entry instance share. */
export interface EntryContext {
  names: headerNames.HeaderNames
  zone: string
  pool: endpointPools.EndpointPool
  suspects: crashSuspects.CrashSuspects
  outcomes: endpointOutcomes.EndpointOutcomes
  exchange: peerExchanges.PeerExchange
  metrics: entryMetrics.EntryMetrics
  log: telemetry.Log
  /** @returns the document in force, or undefined before the first */
  table: () => routeTables.CompiledTable | undefined
  /** @returns whether the document in force is known to be the latest */
  isLatestDocument: () => boolean
  /** @returns the newest version of the document that any instance said it holds */
  newestDocument: () => number
  /** Holds requests until the next document comes. */
  nextDocument: nextDocuments.NextDocument
  /** @returns the second sends that are left for a service */
  retryWindow: (service: string) => retryWindows.RetryWindow
  /** @returns whether this instance was told to stop */
  isStopping: () => boolean
  /** @returns whether a request that may take so long is still taken */
  mayTake: (waitMs: number) => boolean
  now: () => number
}
