/** What entry instances tell each other about suspects: requests and parts of prompts that may crash endpoints. */
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as boundedLists from '../gossip/boundedList.js'

/** Suspects of a report, more than the headers of a request can name. */
export const MAX_SUSPECTS = 20_000
/** Endpoints that a report names, more than are known of a suspect. */
const MAX_CRASHES = 100
const MAX_REPORTS = 1000
/** Pairs of a suspect and an endpoint in the reports of one message. */
const MAX_PAIRS = 200_000

/** Report about suspects that were in the same run; all fields but the first two are absent from reports of earlier versions. */
export const crashReport = z.object({
  /** Key of a suspect. */
  fingerprint: boundedLists.key,
  /** Keys of further suspects that the other fields hold for too. */
  others: boundedLists.keyList(MAX_SUSPECTS).default([]),
  /** Incarnations of the endpoints that went down with the suspect in flight; if it is cleared, those that no longer count. */
  crashed: boundedLists.keyList(MAX_CRASHES),
  /** Time since then, or since the suspect was cleared, in milliseconds. */
  agoMs: contracts.input.durationMs.default(0),
  /** Time for which the request had been at the endpoint then, in milliseconds. */
  ranMs: contracts.input.durationMs.default(0),
  /** Time by which the endpoints may have gone down earlier, since the instance that saw it stalled, in milliseconds. */
  lateMs: contracts.input.durationMs.default(0),
  /** Incarnations of endpoints that were taken for crashed and have responded since; concerns all suspects that they lost. */
  survived: boundedLists.keyList(MAX_CRASHES).default([]),
  /** Whether the suspect completed a run, so that its crashes no longer count. */
  isCleared: z.boolean().default(false),
  /** Whether the suspect is in flight at other endpoints, in a way that speaks for it. */
  hasSurvivors: z.boolean().default(false),
  /** Whether it was sent as a trial. */
  isTrial: z.boolean().default(false),
  /** Whether the suspect completed a run before the crashes. */
  hasSucceeded: z.boolean().default(false)
})
/** Report about suspects that were in the same run. */
export type CrashReport = z.infer<typeof crashReport>

/** The reports of a message. */
export const crashReports = boundedLists.boundedList(crashReport, MAX_REPORTS).transform(list => {
  let pairs = 0
  return list.filter(item => {
    const own = toKeys(item).length * (item.crashed.length + 1)
    if (pairs + own > MAX_PAIRS) return false
    pairs += own
    return true
  })
})

/** Returns a report with the given fields and defaults for the others. */
export function toCrashReport (key: string, fields: Partial<CrashReport>): CrashReport {
  return { fingerprint: key, others: [], crashed: [], survived: [], agoMs: 0, ranMs: 0, lateMs: 0, isCleared: false, hasSurvivors: false, isTrial: false, hasSucceeded: false, ...fields }
}

/** Returns the keys of the suspects that a report is about. */
export function toKeys ({ fingerprint, others }: CrashReport): string[] {
  return [fingerprint, ...others]
}

/** Returns one report about several suspects, or none without suspects. */
export function toSharedReports (keys: readonly string[], fields: Partial<CrashReport>): CrashReport[] {
  const [first, ...others] = keys
  return first === undefined ? [] : [toCrashReport(first, { ...fields, others })]
}
