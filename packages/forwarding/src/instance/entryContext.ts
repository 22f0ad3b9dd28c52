/** State that all requests of an entry instance share. */
import type * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import type * as brittleLimiters from '../placement/brittleLimiter.js'
import * as coldLimiters from '../placement/coldLimiter.js'
import * as crashQuarantines from '../quarantine/crashQuarantine.js'
import * as documentWaiters from '../admission/documentWaiters.js'
import * as endpointPools from '../endpoints/endpointPool.js'
import * as entryMetrics from './entryMetrics.js'
import * as headerNames from '../attempts/headerNames.js'
import type * as gossipTypes from '../gossip/gossipTypes.js'
import type * as readPacers from '../attempts/readPacer.js'
import type * as lostPaths from '../paths/lostPaths.js'
import * as outlierDetectors from '../placement/outlierDetector.js'
import * as retryBudgets from '../attempts/retryBudget.js'
import type * as routeDurations from '../admission/routeDurations.js'
import * as routeTables from '../admission/routeTable.js'
import type * as trialPermits from '../quarantine/trialPermits.js'

/** State that all requests of an entry instance share. */
export interface EntryContext {
  names: headerNames.HeaderNames
  zone: string
  /** Returns the region of an availability zone, undefined if it is unknown. */
  regionOf: (zone: string) => string | undefined
  pool: endpointPools.EndpointPool
  paths: Pick<lostPaths.LostPaths, 'check'>
  quarantine: crashQuarantines.CrashQuarantine
  trialPermits: Pick<trialPermits.TrialPermits, 'maySend'>
  outliers: outlierDetectors.OutlierDetector
  gossip: gossipTypes.Gossip
  metrics: entryMetrics.EntryMetrics
  log: telemetry.Log
  /** Returns the configuration document in force, or undefined before the first. */
  table: () => routeTables.CompiledTable | undefined
  /** Resolves to whether the document in force is the latest, as confirmed by a control instance just now. */
  confirmDocument: () => Promise<boolean>
  /** Returns the newest document version that any instance announced. */
  newestDocument: () => number
  /** Describes what {@link EntryContext.confirmDocument} depends on, for the log. */
  describeDocumentSources: () => string
  /** Requests that wait for the next document. */
  documentWaiters: documentWaiters.DocumentWaiters
  /** Returns the retry budget of a service. */
  retryBudget: (service: string) => retryBudgets.RetryBudget
  coldLimiter: coldLimiters.ColdLimiter
  brittleLimiter: brittleLimiters.BrittleLimiter
  coldBound: () => coldLimiters.ColdBound
  /** Returns whether this instance is draining. */
  isDraining: () => boolean
  /** Returns whether a request of a route with this maximum duration, in milliseconds, is accepted. */
  isAccepted: (route: routeTables.Route, waitMs: number) => boolean
  durations: routeDurations.RouteDurations
  heldBytes: links.HeldBytes
  readPacer: readPacers.ReadPacer
  now: () => number
}
