/** Messages, options and interface of the gossip between entry instances. */
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as boundedLists from './boundedList.js'
import type * as links from '@kingcupdeck/links'
import type * as telemetry from '@kingcupdeck/telemetry'
import type * as crashQuarantines from '../quarantine/crashQuarantine.js'
import * as crashReports from '../quarantine/crashReport.js'
import type * as endpointPools from '../endpoints/endpointPool.js'
import type * as outlierDetectors from '../placement/outlierDetector.js'
import type * as relayChoices from './relayChoice.js'

/** Holders of a document that are read from an update. */
const MAX_HOLDERS = 64

/** Gossip update of an entry instance. */
export const gossipUpdate = z.object({
  t: z.literal('peer'),
  /** Endpoint id, requests in flight, and queue delay in milliseconds or null if unknown. */
  loads: boundedLists.loads,
  outcomes: boundedLists.outcomes,
  crashes: crashReports.crashReports,
  /** Whether the sender has started recently and asks for all suspected requests. */
  asksForCrashes: z.boolean().default(false),
  /** Document version of the sender. */
  document: contracts.input.count.default(0),
  /**
   * What the update covers: the sender alone, the sender and the instances that it relays for, a whole zone, or the whole fleet. Only
   * `instance` is used in small fleets.
   */
  scope: z.enum(['instance', 'members', 'zone', 'fleet']).default('instance'),
  /** Inner addresses of other instances that have the document. */
  holders: boundedLists.keyList(MAX_HOLDERS).default([]),
  /** Evacuated zones as known to the sender; absent before the first evacuation. */
  evacuations: discovery.evacuations.optional()
})
/** Gossip update of an entry instance. */
export type GossipUpdate = z.infer<typeof gossipUpdate>

/** Options of `createGossip`. */
export interface GossipOptions {
  self: relayChoices.RelayCandidate
  /** Returns the other entry instances. */
  peers: () => discovery.EntryRecord[]
  connect: (address: string) => Promise<links.Link>
  /** Returns the time of the latest failed dial of an instance, -Infinity if there was none. */
  lastFailureAt: (address: string) => number
  pool: endpointPools.EndpointPool
  quarantine: crashQuarantines.CrashQuarantine
  outliers: outlierDetectors.OutlierDetector
  /** Returns the document version of this instance. */
  documentVersion: () => number
  /** Returns the evacuated zones as known to this instance. */
  evacuations: () => discovery.Evacuations
  /** Called with the evacuated zones that another instance knows. */
  onEvacuations: (received: discovery.Evacuations, from: string) => void
  /** Called with the document version of another instance. */
  onDocumentVersion: (address: string, version: number) => void
  log: telemetry.Log
}

export interface Gossip {
  /** Starts to send updates. */
  start (): void
  onUpdate (update: GossipUpdate, from: string): void
  /** Sends crash reports towards all other instances immediately. */
  sendCrashReports (crashes: crashReports.CrashReport[]): void
  /** Number of entry instances, including this one. */
  instanceCount (): number
  stop (): void
}
