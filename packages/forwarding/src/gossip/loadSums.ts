/** Sums of the loads and of the attempt outcomes that entry instances report to each other. */
import * as numbers from '../placement/numbers.js'
import type * as outlierDetectors from '../placement/outlierDetector.js'

/** Load of an endpoint: its id, requests in flight, and queue delay in milliseconds or null if unknown. */
export type EndpointLoad = [endpoint: string, inFlight: number, delayMs: number | null]

/** Latest loads by sender. */
export interface LoadReports {
  set (sender: string, loads: readonly EndpointLoad[], now: number): void
  /** Returns whether a report of a sender has not expired. */
  has (sender: string, now: number): boolean
  /** Returns the senders of reports that have not expired. */
  senders (now: number): string[]
  /** Adds up all reports that have not expired; the queue delay is the median of those reported. */
  sum (now: number): EndpointLoad[]
}

/** The report of an unresponsive instance is discarded after this time. */
export const REPORT_TTL_MS = 3000

/**
 * Creates an empty set of reports.
 * @param ttlMs time after which a report is discarded
 */
export function createLoadReports (ttlMs = REPORT_TTL_MS): LoadReports {
  const reports = new Map<string, { loads: readonly EndpointLoad[], at: number }>()
  const expire = (now: number): void => {
    for (const [sender, report] of reports) if (now - report.at > ttlMs) reports.delete(sender)
  }
  return {
    set (sender, loads, now) { reports.set(sender, { loads, at: now }) },
    has (sender, now) {
      const report = reports.get(sender)
      return report !== undefined && now - report.at <= ttlMs
    },
    senders (now) {
      expire(now)
      return [...reports.keys()]
    },
    sum (now) {
      expire(now)
      return sumLoads([...reports.values()].map(report => report.loads))
    }
  }
}

/** Adds up loads per endpoint; the queue delay is the median of those reported. */
export function sumLoads (lists: ReadonlyArray<readonly EndpointLoad[]>): EndpointLoad[] {
  const totals = new Map<string, { inFlight: number, delays: number[] }>()
  for (const [id, inFlight, delayMs] of lists.flat()) {
    const total = totals.get(id) ?? { inFlight: 0, delays: [] }
    total.inFlight += inFlight
    if (delayMs !== null) total.delays.push(delayMs)
    totals.set(id, total)
  }
  return [...totals].map(([id, total]) => [id, total.inFlight, numbers.median(total.delays) ?? null])
}

/** Subtracts loads per endpoint; endpoints without remaining load are left out. */
export function subtractLoads (loads: readonly EndpointLoad[], subtracted: readonly EndpointLoad[]): EndpointLoad[] {
  const own = new Map(subtracted.map(([id, inFlight]) => [id, inFlight]))
  return loads
    .map(([id, inFlight, delayMs]): EndpointLoad => [id, Math.max(0, inFlight - (own.get(id) ?? 0)), delayMs])
    .filter(([, inFlight, delayMs]) => inFlight > 0 || delayMs !== null)
}

/** Adds up outcomes per endpoint. */
export function sumOutcomes (lists: ReadonlyArray<readonly outlierDetectors.OutcomeDelta[]>): outlierDetectors.OutcomeDelta[] {
  const totals = new Map<string, outlierDetectors.OutcomeDelta>()
  for (const [id, attempts, missed] of lists.flat()) {
    const total = totals.get(id) ?? [id, 0, 0]
    totals.set(id, [id, total[1] + attempts, total[2] + missed])
  }
  return [...totals.values()]
}

/** Removes outcomes from relayed sums that come from this instance, because it has recorded them already. */
export interface EchoFilter {
  /** Notes outcomes that were sent to the relay. */
  noteSent (list: readonly outlierDetectors.OutcomeDelta[]): void
  /** Returns relayed outcomes without those that were sent. */
  filter (list: readonly outlierDetectors.OutcomeDelta[]): outlierDetectors.OutcomeDelta[]
  /** Forgets what was sent: the relay that would have returned it is no longer used. */
  clear (): void
}

export function createEchoFilter (): EchoFilter {
  const sent = new Map<string, outlierDetectors.OutcomeDelta>()
  return {
    noteSent (list) {
      for (const item of sumOutcomes([[...sent.values()], list])) sent.set(item[0], item)
    },
    filter (list) {
      return list.map(([id, attempts, missed]): outlierDetectors.OutcomeDelta => {
        const [, sentAttempts, sentMissed] = sent.get(id) ?? [id, 0, 0]
        const ownAttempts = Math.min(attempts, sentAttempts)
        const ownMissed = Math.min(missed, sentMissed, ownAttempts)
        if (ownAttempts === sentAttempts) sent.delete(id)
        else sent.set(id, [id, sentAttempts - ownAttempts, sentMissed - ownMissed])
        return [id, attempts - ownAttempts, missed - ownMissed]
      }).filter(([, attempts]) => attempts > 0)
    },
    clear () { sent.clear() }
  }
}
