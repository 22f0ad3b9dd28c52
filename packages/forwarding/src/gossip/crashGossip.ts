/**
 * Exchange of suspected requests between entry instances. New crashes are sent to all neighbours without delay, because the request may be
 * repeated at any instance. What is known is sent again to an instance that has just started, that is heard for the first time, and
 * to one neighbour after the other, so that an instance that missed a report receives it later.
 */
import * as discovery from '@kingcupdeck/discovery'
import type * as crashQuarantines from '../quarantine/crashQuarantine.js'
import type * as crashReports from '../quarantine/crashReport.js'
import type * as gossipTypes from './gossipTypes.js'

/** Content of a gossip update that concerns suspected requests. */
export type CrashContent = Pick<gossipTypes.GossipUpdate, 'crashes' | 'asksForCrashes'>

/** Options of {@link createCrashGossip}. */
export interface CrashGossipOptions {
  quarantine: crashQuarantines.CrashQuarantine
  /** Returns the addresses of the instances that this one exchanges updates with. */
  neighbours: () => string[]
  /** Returns whether the neighbours are all other instances, so that nothing has to be sent on. */
  isDirect: () => boolean
  send: (addresses: readonly string[], content: CrashContent) => void
  /** Returns milliseconds on the monotonic clock. */
  now: () => number
}

/** Exchange of suspected requests. */
export interface CrashGossip {
  /** @param isNewMember whether the sender was not heard before, or not recently */
  onUpdate (update: CrashContent, from: string, isNewMember: boolean): void
  /** Sends reports towards all other instances within {@link COLLECT_MS}. */
  sendReports (crashes: crashReports.CrashReport[]): void
  /** Asks for reports and repeats them, if it is time to. */
  tick (): void
}

/** Time for which new reports are collected: a crash loses many requests at once. */
const COLLECT_MS = 5
/** Interval at which the suspected requests are repeated to one neighbour. */
const REPEAT_INTERVAL_MS = 500
/** Time after the start in which an instance asks its neighbours for suspected requests, and the interval between these updates. */
const ASK_PERIOD_MS = 5000
const ASK_INTERVAL_MS = 1000

export function createCrashGossip (opts: CrashGossipOptions): CrashGossip {
  const { quarantine, neighbours, now } = opts
  const startedAt = now()
  let askedAt = -Infinity
  let repeatedAt = -Infinity
  let collected: Array<{ report: crashReports.CrashReport, since: number }> = []

  const sendReports = (addresses: readonly string[], crashes: crashReports.CrashReport[]): void => {
    if (crashes.length > 0) opts.send(addresses, { crashes, asksForCrashes: false })
  }

  const flush = (): void => {
    const at = now()
    const reports = collected.map(({ report, since }) => ({ ...report, agoMs: report.agoMs + Math.round(at - since) }))
    collected = []
    sendReports(neighbours(), reports)
  }

  return {
    onUpdate (update, from, isNewMember) {
      const added = quarantine.merge(update.crashes, now(), from)
      if (!opts.isDirect()) sendReports(neighbours().filter(address => address !== from), added)
      if (update.asksForCrashes || isNewMember) sendReports([from], quarantine.toReports(now()))
    },
    sendReports (crashes) {
      if (collected.length === 0) setTimeout(flush, COLLECT_MS).unref()
      // They may wait for longer if the process stalls.
      const since = now()
      for (const report of crashes) collected.push({ report, since })
    },
    tick () {
      const at = now()
      const others = neighbours()
      // What is sent to nobody must not put off what is sent to the first instance that becomes known.
      if (others.length === 0) return
      if (at - startedAt < ASK_PERIOD_MS && at - askedAt > ASK_INTERVAL_MS) {
        askedAt = at
        opts.send(others, { crashes: [], asksForCrashes: true })
      }
      if (at - repeatedAt < REPEAT_INTERVAL_MS) return
      repeatedAt = at
      sendReports(discovery.toShuffled(others).slice(0, 1), quarantine.toReports(at))
    }
  }
}
