/**
 * Asks control instances for their evacuations until a majority has answered: an acknowledged order is in the logs of a majority, so of any
 * majority at least one instance has it. Needed after a start, until a control instance with a quorum is heard. Documents that are newer than
 * the first one are fetched on the way: the instance that handed it out may have been down when it was replaced.
 */
import * as links from '@kingcupdeck/links'
import type * as evacuations from './evacuations.js'
import type * as handouts from './handout.js'
import * as handoutPollers from './handoutPoller.js'
import * as messages from './messages.js'

/** Options of {@link createEvacuationSurvey}. */
export interface EvacuationSurveyOptions {
  /** Fetches from the handout of a control instance that is still starting; absent if handouts are not used. */
  fetchHandout?: (address: string, part: handouts.HandoutPart) => Promise<handouts.FetchedHandout>
  /** Opens a link to a control instance that has started. */
  dial: (address: string) => Promise<links.Link>
  /** Called with the evacuations of an instance whose document is still to be fetched. */
  onEvacuations: (report: evacuations.EvacuationReport, address: string) => void
  /** Called once an instance has reported. */
  onReport: (report: evacuations.EvacuationReport | undefined, address: string) => void
  /** Returns the version of the local document. */
  version: () => number
  /** Called with a reply that has a newer document. */
  onNewer: (reply: messages.DiscoveryReply, address: string) => void
  now: () => number
}

/** Asks control instances for their evacuations. */
export interface EvacuationSurvey {
  /** Records that an instance has reported its evacuations. */
  noteReport (address: string): void
  /** Returns whether a majority of the instances has reported. */
  isComplete (addresses: readonly string[]): boolean
  /** Asks some of the instances that have not reported yet. */
  poll (addresses: readonly string[]): void
}

/** Several, so that instances that are down delay the others little; few enough for control instances that are starting. */
const MAX_CONCURRENT_QUESTIONS = 4
/** Pause before an instance that did not answer is asked again. */
const RETRY_MS = 100
const CALL_TIMEOUT_MS = 500

/** Creates a survey without reports. */
export function createEvacuationSurvey (opts: EvacuationSurveyOptions): EvacuationSurvey {
  const reported = new Set<string>()
  const pending = new Set<string>()
  const retryAt = new Map<string, number>()
  let isFetchingNewer = false

  /** Fetches the document of an instance that is starting, one at a time. */
  const fetchNewer = async (address: string): Promise<void> => {
    if (isFetchingNewer) return
    isFetchingNewer = true
    try {
      const handout = await opts.fetchHandout?.(address, 'all')
      if (handout !== undefined) opts.onNewer(messages.decodeReply(handout.body), address)
    } catch {
      // It follows with a subscription.
    } finally {
      isFetchingNewer = false
    }
  }

  /** Asks an instance that is starting. @returns whether it answered */
  const askHandout = async (address: string): Promise<boolean> => {
    try {
      const handout = await opts.fetchHandout?.(address, 'evacuations')
      if (handout === undefined) return false
      const report = messages.decodeEvacuations(handout.evacuations)
      if (handout.version > opts.version()) {
        opts.onEvacuations(report, address)
        await fetchNewer(address)
      }
      opts.onReport(report, address)
      return true
    } catch {
      // Expected of an instance that is down, or has started.
      return false
    }
  }

  /** Asks an instance that has started. */
  const askOverLink = async (address: string): Promise<void> => {
    const link = await opts.dial(address)
    try {
      const call: messages.DiscoveryCall = { t: 'fetch', version: messages.VERSION_ONLY }
      opts.onReport(messages.discoveryReply.parse(await link.call(call, CALL_TIMEOUT_MS)).evacuations, address)
    } finally {
      link.close()
    }
  }

  const ask = async (address: string): Promise<void> => {
    try {
      if (!await askHandout(address)) await askOverLink(address)
    } catch {
      // Expected of an instance that is down; it is asked again.
    } finally {
      pending.delete(address)
      retryAt.set(address, opts.now() + RETRY_MS)
    }
  }

  return {
    noteReport (address) { reported.add(address) },
    isComplete: addresses => addresses.length > 0 && addresses.filter(item => reported.has(item)).length > addresses.length / 2,
    poll (addresses) {
      for (const address of handoutPollers.toShuffled(addresses)) {
        if (pending.size >= MAX_CONCURRENT_QUESTIONS) return
        if (reported.has(address) || pending.has(address) || opts.now() < (retryAt.get(address) ?? -Infinity)) continue
        pending.add(address)
        void ask(address)
      }
    }
  }
}
