/** Options and interface of an entry instance. */
import type * as links from '@kingcupdeck/links'
import type * as net from 'node:net'
import type * as telemetry from '@kingcupdeck/telemetry'
import type * as routeTables from '../admission/routeTable.js'
import type * as headerNames from '../attempts/headerNames.js'
import type * as retryBudgets from '../attempts/retryBudget.js'
import type * as coldLimiters from '../placement/coldLimiter.js'
import type * as addresses from './addresses.js'
import type * as entryMetrics from './entryMetrics.js'

/** Options of `startEntryInstance`. */
export interface EntryInstanceOptions {
  id: string
  /** Start time of this process, in Unix milliseconds. */
  startedAt: number
  zone: string
  region: string
  /** Returns the region of an availability zone, undefined if it is unknown. */
  regionOf: (zone: string) => string | undefined
  /** IP address and port for clients. */
  front: string
  /** IP address and port for the other instances. */
  inner: string
  /** Returns the inner addresses of control instances from the current settings. */
  seeds: () => readonly string[]
  /** Shared secret of the fleet. */
  secret: string
  /** Whether the document and records are fetched from the handout of a control instance during startup. */
  usesHandouts: boolean
  names: headerNames.HeaderNames
  /** Parses a configuration document. @throws Error if it is invalid */
  readDocument: (text: Buffer) => routeTables.RouteTable
  /** Returns the present limits of retries. */
  retryBudget: () => retryBudgets.RetryBudgetOptions
  /** Returns the present limit of the requests to endpoints that are warming up; the rate that their service declares by default. */
  coldBound?: () => coldLimiters.ColdBound
  /** Returns the present interval of endpoint announcements, in milliseconds. */
  announceIntervalMs: () => number
  /** Returns the grace period of a stop that begins now, in milliseconds. */
  graceMs: () => number
  log: telemetry.Log
  /** Returns the number of log lines dropped so far. */
  droppedLines: () => number
  /** Opens a TCP connection to the address of an endpoint; `net.connect` by default. */
  connectEndpoint?: (address: string) => net.Socket
  /** Limits of the process, shared with its other servers; those of this instance alone by default. */
  limits?: links.ClientLimits
  /** Returns the present network bandwidth of this machine in bytes per millisecond; unknown by default. */
  linkBytesPerMs?: () => number
}

/** A running entry instance. */
export interface EntryInstance {
  metrics: entryMetrics.EntryMetrics
  /** Returns whether clients may be directed to this instance. */
  isReady: () => boolean
  /** Returns whether clients can connect; false while the address for clients is not available. */
  isListening: () => boolean
  /** Returns the addresses for a client. */
  addresses: (client: addresses.ClientLocation) => string[]
  /** Drains the instance: completes open requests within the grace period, then closes all connections. */
  stop: () => Promise<void>
}
