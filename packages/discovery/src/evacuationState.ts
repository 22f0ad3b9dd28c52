/** What an entry instance knows of the evacuations: which zones it assumes to be evacuated, and whether that is enough to serve. */
import type * as telemetry from '@kingcupdeck/telemetry'
import * as evacuations from './evacuations.js'
import * as evacuationSurveys from './evacuationSurvey.js'
import * as evacuationTrackers from './evacuationTracker.js'

/** Options of {@link createEvacuationState}. */
export interface EvacuationStateOptions extends Pick<evacuationSurveys.EvacuationSurveyOptions, 'fetchHandout' | 'dial' | 'version' | 'onNewer' | 'now'> {
  /** Returns whether a control instance with a quorum is heard. */
  hasQuorum: () => boolean
  /** Returns the addresses of the control instances. */
  controls: () => readonly string[]
  /** Returns the addresses of those that report by themselves. */
  subscribed: () => ReadonlySet<string>
  /** Called when the assumed evacuations change. */
  onChange: (assumed: evacuationTrackers.AssumedEvacuations, from: string) => void
  /** Called once {@link EvacuationState.isComplete}. */
  onComplete: () => void
  log: telemetry.Log
}

/** What an entry instance knows of the evacuations. */
export interface EvacuationState {
  /** Records the report of another entry instance; undefined if it knows of no order. */
  note (report: evacuations.EvacuationReport | undefined, from: string): void
  /** Records the report of a control instance; undefined if it knows of no order. */
  noteControl (report: evacuations.EvacuationReport | undefined, address: string): void
  /** Asks control instances until enough is known; to be called periodically. */
  update (): void
  /** Returns whether this instance knows all evacuations that were acknowledged before its start, or has asked for them for long enough. */
  isComplete (): boolean
}

/**
 * How long an instance with a document waits for the evacuations of a majority of the control instances. They report within this time while
 * they start; an order is acknowledged once all that are reachable have it, so that their first reports have it too.
 */
const MAX_WAIT_MS = 600
/** How long it goes on asking, unless a control instance with a quorum is heard. */
const MAX_SURVEY_MS = 10_000

/** Creates the state of an instance that has just started. */
export function createEvacuationState (opts: EvacuationStateOptions): EvacuationState {
  /** Whether this instance serves. */
  let isComplete = false
  /** Whether nothing more is asked. */
  let isSettled = false
  let startedAt: number | undefined

  const tracker = evacuationTrackers.createEvacuationTracker(opts.onChange)

  const note: EvacuationState['note'] = (report, from) => { tracker.note(report ?? evacuations.NO_EVACUATIONS, from, opts.hasQuorum()) }

  const noteControl: EvacuationState['noteControl'] = (report, address) => {
    note(report, address)
    survey.noteReport(address)
    update()
  }

  const survey = evacuationSurveys.createEvacuationSurvey({
    fetchHandout: opts.fetchHandout,
    dial: opts.dial,
    version: opts.version,
    onNewer: opts.onNewer,
    onEvacuations: note,
    onReport (report, address) {
      opts.log.event('evacuationsReported', { address, revision: report?.revision ?? 0, zones: report?.zones.join(' '), pending: report?.pending?.join(' ') })
      noteControl(report, address)
    },
    now: opts.now
  })

  const complete = (ms: number): void => {
    if (isComplete) return
    isComplete = true
    opts.log.event('evacuationsKnown', { ms: Math.round(ms), isSettled })
    opts.onComplete()
  }

  const update = (): void => {
    if (isSettled || opts.version() === 0) return
    startedAt ??= opts.now()
    const controls = opts.controls()
    const ms = opts.now() - startedAt
    isSettled = opts.hasQuorum() || survey.isComplete(controls) || ms > MAX_SURVEY_MS
    if (isSettled || ms > MAX_WAIT_MS) complete(ms)
    if (isSettled) return
    const subscribed = opts.subscribed()
    survey.poll(controls.filter(address => !subscribed.has(address)))
  }

  return { note, noteControl, update, isComplete: () => isComplete }
}
