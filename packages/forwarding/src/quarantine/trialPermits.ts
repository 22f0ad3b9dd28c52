/**
 * Permits for trials of requests that may crash endpoints. One instance decides for each request, so that all of them together send it
 * no more often than one would; an instance that does not reach it rejects the request.
 */
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import type * as links from '@kingcupdeck/links'
import type * as telemetry from '@kingcupdeck/telemetry'
import type * as crashQuarantines from './crashQuarantine.js'
import * as crashReports from './crashReport.js'

/** Crashes of one request that are told when a permit is asked for. */
const MAX_TOLD_CRASHES = 16
/** Time for a reply. */
const REPLY_TIMEOUT_MS = 250
/** Time for which an instance whose request was not permitted does not ask again, and requests for which that is remembered. */
const DENIAL_MS = 500
const MAX_DENIALS = 1000
/** Time after its start in which an instance permits no trials, because it does not know yet which ones others run. */
const LEARNING_MS = 3000

/** Asks an entry instance for a permit, and tells what is known of the request. */
export const trialCall = z.object({ t: z.literal('trial'), fingerprint: z.string(), reports: z.array(crashReports.crashReport).max(MAX_TOLD_CRASHES) })
/** Asks an entry instance for a permit, and tells what is known of the request. */
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
  /** Returns whether a request may be sent now; asks for a permit if it may only be sent as a trial. */
  maySend (fingerprint: string): Promise<boolean>
  /** Decides on behalf of another instance. */
  answer (call: TrialCall, from: string): TrialReply
}

/** Creates the permits of an instance that has just started. */
export function createTrialPermits (opts: TrialPermitOptions): TrialPermits {
  const { self, quarantine, log, now } = opts
  const startedAt = now()
  /** Until when no permit is asked for, by fingerprint. */
  const deniedUntil = new Map<string, number>()

  const isLearning = (): boolean => opts.others().length > 0 && now() - startedAt < LEARNING_MS

  const ask = async (arbiter: string, fingerprint: string): Promise<boolean> => {
    const call: TrialCall = { t: 'trial', fingerprint, reports: quarantine.toReportsOf(fingerprint, now()).slice(-MAX_TOLD_CRASHES) }
    try {
      const link = await opts.connect(arbiter)
      return trialReply.parse(await link.call(call, REPLY_TIMEOUT_MS)).isGranted
    } catch (err) {
      log.event('trialUnanswered', { fingerprint, arbiter, why: err instanceof Error ? err.message : String(err) })
      return false
    }
  }

  const recordDenial = (fingerprint: string): void => {
    deniedUntil.delete(fingerprint)
    deniedUntil.set(fingerprint, now() + DENIAL_MS)
    if (deniedUntil.size > MAX_DENIALS) deniedUntil.delete(deniedUntil.keys().next().value as string)
  }

  const requestPermit = async (fingerprint: string): Promise<boolean> => {
    const [arbiter] = contracts.toRendezvousOrder(fingerprint, [self, ...opts.others()], address => address)
    if (arbiter === self) return !isLearning() && quarantine.grantTrial(fingerprint, now(), self)
    if (now() < (deniedUntil.get(fingerprint) ?? -Infinity)) return false
    const isGranted = await ask(arbiter, fingerprint)
    if (!isGranted) recordDenial(fingerprint)
    // It may have crashed another endpoint while the permit was asked for.
    return isGranted && !quarantine.isQuarantined(fingerprint, now())
  }

  return {
    async maySend (fingerprint) {
      switch (quarantine.judge(fingerprint, now()).kind) {
        case 'allowed': return true
        case 'quarantined': return false
        case 'trial': return await requestPermit(fingerprint)
      }
    },
    answer ({ fingerprint, reports }, from) {
      quarantine.merge(reports, now(), from)
      return { isGranted: !isLearning() && quarantine.grantTrial(fingerprint, now(), from) }
    }
  }
}
