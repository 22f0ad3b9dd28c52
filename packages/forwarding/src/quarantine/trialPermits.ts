/**
 * Permits for trials of suspects. One instance decides for each request, and one for all parts that the same service and model run, so
 * that all instances together send a suspect no more often than one would, and a request with many suspected parts needs two permits at
 * most. An instance that does not reach the one that decides rejects the request.
 */
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import type * as links from '@kingcupdeck/links'
import type * as telemetry from '@kingcupdeck/telemetry'
import * as boundedLists from '../gossip/boundedList.js'
import type * as crashQuarantines from './crashQuarantine.js'
import * as crashReports from './crashReport.js'
import * as suspectKeys from './suspectKey.js'

/** Crashes that are told when a permit is asked for. */
const MAX_TOLD_CRASHES = 16
/** Time for a reply. */
const REPLY_TIMEOUT_MS = 250
/** Time for which an instance whose trial was not permitted does not ask again, and suspects for which that is remembered. */
const DENIAL_MS = 500
const MAX_DENIALS = 1000
/** Time after its start in which an instance permits no trials, because it does not know yet which ones others run. */
const LEARNING_MS = 3000

/** Asks an entry instance for a permit, and tells what is known of the suspects. All fields but the first three are absent from calls of earlier versions. */
export const trialCall = z.object({
  t: z.literal('trial'),
  /** Key of a suspect that is to be tried. */
  fingerprint: boundedLists.key,
  reports: boundedLists.boundedList(crashReports.crashReport, MAX_TOLD_CRASHES),
  /** Keys of further suspects that are to be tried with the same request. */
  others: boundedLists.keyList(crashReports.MAX_SUSPECTS).default([]),
  /** Keys of all suspects of the request. */
  carried: boundedLists.keyList(crashReports.MAX_SUSPECTS).default([])
})
/** Asks an entry instance for a permit, and tells what is known of the suspects. */
export type TrialCall = z.infer<typeof trialCall>

/** Whether the trial may be run. */
export const trialReply = z.object({ isGranted: z.boolean() })
/** Whether the trial may be run. */
export type TrialReply = z.infer<typeof trialReply>

/** Options of {@link createTrialPermits}. */
export interface TrialPermitOptions {
  /** Inner address of this instance. */
  self: string
  /** Returns the inner addresses of the other instances that accept requests. */
  others: () => string[]
  connect: (address: string) => Promise<Pick<links.Link, 'call'>>
  quarantine: crashQuarantines.CrashQuarantine
  log: telemetry.Log
  /** Returns milliseconds on the monotonic clock. */
  now: () => number
}

/** Permits of an instance. */
export interface TrialPermits {
  /**
   * Returns whether a request may be sent now; asks for permits if it may only be sent as a trial.
   * @param keys those of the request and of the parts of its prompt
   */
  maySend (keys: readonly string[]): Promise<boolean>
  /** Decides on behalf of another instance. */
  answer (call: TrialCall, from: string): TrialReply
}

/** Groups keys by the instance that decides about them. */
export function groupByArbiter<T> (keys: readonly string[], instances: readonly T[], toId: (instance: T) => string): Map<T, string[]> {
  const groups = new Map<T, string[]>()
  for (const key of keys) {
    const [arbiter] = contracts.toRendezvousOrder(suspectKeys.toArbiterKey(key), instances, toId)
    groups.set(arbiter, [...groups.get(arbiter) ?? [], key])
  }
  return groups
}

/** Creates the permits of an instance that has just started. */
export function createTrialPermits (opts: TrialPermitOptions): TrialPermits {
  const { self, quarantine, log, now } = opts
  const startedAt = now()
  /** Until when no permit is asked for, by key. */
  const deniedUntil = new Map<string, number>()

  const isLearning = (): boolean => opts.others().length > 0 && now() - startedAt < LEARNING_MS

  const ask = async (arbiter: string, keys: readonly string[], carried: readonly string[]): Promise<boolean> => {
    const [fingerprint, ...others] = keys
    const call: TrialCall = { t: 'trial', fingerprint, others, carried: [...carried], reports: quarantine.toReportsOf(keys, now()).slice(-MAX_TOLD_CRASHES) }
    try {
      const link = await opts.connect(arbiter)
      return trialReply.parse(await link.call(call, REPLY_TIMEOUT_MS)).isGranted
    } catch (err) {
      log.event('trialUnanswered', { ...suspectKeys.toLogFields(fingerprint), arbiter, why: err instanceof Error ? err.message : String(err) })
      return false
    }
  }

  const recordDenial = (key: string): void => {
    deniedUntil.delete(key)
    deniedUntil.set(key, now() + DENIAL_MS)
    if (deniedUntil.size > MAX_DENIALS) deniedUntil.delete(deniedUntil.keys().next().value as string)
  }

  const requestPermit = async (arbiter: string, keys: readonly string[], carried: readonly string[]): Promise<boolean> => {
    if (arbiter === self) return !isLearning() && quarantine.grantTrial(keys, carried, now(), self)
    if (keys.some(key => now() < (deniedUntil.get(key) ?? -Infinity))) return false
    const isGranted = await ask(arbiter, keys, carried)
    if (!isGranted) keys.forEach(recordDenial)
    // They may have crashed another endpoint while the permit was asked for.
    return isGranted && !quarantine.isQuarantined(keys, now(), carried)
  }

  return {
    async maySend (keys) {
      const verdict = quarantine.judge(keys, now())
      switch (verdict.kind) {
        case 'allowed': return true
        case 'quarantined': return false
        case 'trial': {
          const carried = quarantine.selectSuspects(keys)
          for (const [arbiter, group] of groupByArbiter(verdict.keys, [self, ...opts.others()], address => address)) if (!await requestPermit(arbiter, group, carried)) return false
          return true
        }
      }
    },
    answer ({ fingerprint, others, carried, reports }, from) {
      quarantine.merge(reports, now(), from)
      return { isGranted: !isLearning() && quarantine.grantTrial([fingerprint, ...others], carried, now(), from) }
    }
  }
}
