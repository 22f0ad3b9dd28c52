/** Options and interface of the entry instance's side of discovery. */
import type * as contracts from '@kingcupdeck/contracts'
import type * as links from '@kingcupdeck/links'
import type * as telemetry from '@kingcupdeck/telemetry'
import type * as evacuations from './evacuations.js'
import type * as evacuationTrackers from './evacuationTracker.js'
import type * as handouts from './handout.js'
import type * as messages from './messages.js'
import type * as recordTables from './recordTable.js'
import type * as records from './records.js'
import type * as sendBudgets from './sendBudget.js'

/** Options of `createSubscriber`. */
export interface SubscriberOptions {
  /** Id of this instance. */
  id: string
  /** Inner addresses of control instances, from the current settings. */
  seeds: () => readonly string[]
  table: recordTables.RecordTable
  /** Opens a link to a control instance, whose events go to {@link Subscriber.onEvent}. */
  dial: (address: string) => Promise<links.Link>
  /** Fetches from the handout of a control instance that is still starting; absent if handouts are not used. */
  fetchHandout?: (address: string, part: handouts.HandoutPart) => Promise<handouts.FetchedHandout>
  /** Returns the record that this instance announces. */
  self: () => records.EntryRecord
  /**
   * Called with each newer document.
   * @param waitedMs time since a newer version first became known
   * @param from the instance that sent it
   */
  onDocument: (document: contracts.VersionedText, waitedMs: number, from: string) => void
  /**
   * Called when the evacuated zones that this instance assumes change.
   * @param from the instance whose report changed them
   */
  onEvacuations?: (assumed: evacuationTrackers.AssumedEvacuations, from: string) => void
  /** Called once {@link Subscriber.areEvacuationsKnown}. */
  onEvacuationsKnown?: () => void
  /** Inner addresses of the other entry instances, in random order; none by default. */
  peerAddresses?: () => readonly string[]
  /** Returns a link to another entry instance. */
  getPeerLink?: (address: string) => Promise<links.Link>
  /** Limits the documents that are sent to other instances; unlimited by default. */
  budget?: sendBudgets.SendBudget
  /** Called with records that changed. */
  onRecords: (list: readonly records.Record[]) => void
  log: telemetry.Log
  now?: () => number
  /** Returns random numbers in [0, 1); `Math.random` by default. */
  random?: () => number
}

/** Maintains subscriptions. */
export interface Subscriber {
  /** Starts subscribing to control instances. */
  start (): void
  /** Handles an event of a control instance. */
  onEvent (event: messages.DiscoveryEvent, link: links.Link): void
  /** Answers a call of another entry instance. */
  onCall (call: messages.DiscoveryCall): messages.DiscoveryReply
  /** Records the version of the document that another entry instance reported. */
  notePeerVersion (address: string, version: number): void
  /**
   * Returns whether the evacuations in force are known: a control instance with a quorum was heard, or a majority reported; also true
   * when too few reported in time.
   */
  areEvacuationsKnown (): boolean
  /** Records the evacuations that another entry instance reported. */
  noteEvacuations (report: evacuations.EvacuationReport, from: string): void
  /** Returns the version of the local document, 0 without one. */
  version (): number
  /** Returns the newest version that any instance reported. */
  newestVersion (): number
  /** Resolves to whether the local document is the latest: no instance reported a newer one, and a control instance that was asked just now confirmed it. */
  confirmDocument (): Promise<boolean>
  /** Describes the subscriptions that {@link Subscriber.confirmDocument} depends on, for the log. */
  describeSubscriptions (): string
  /** Announces a change of this instance to all subscribed control instances. */
  announce (): void
  /** Returns the time of the last tick of a control instance with a quorum, -Infinity before the first. */
  lastQuorumAt (): number
  /** Returns the start of the uninterrupted period of such ticks that includes {@link Subscriber.lastQuorumAt}. */
  quorumSince (): number
  /** Returns the number of subscriptions. */
  subscriptionCount (): number
  /** Closes all subscriptions. */
  stop (): void
}
