/** What an entry instance announces of itself beside its state: requests that it quarantines, and that it has lost its paths. */
import type * as discovery from '@kingcupdeck/discovery'
import * as telemetry from '@kingcupdeck/telemetry'
import type * as crashQuarantines from '../quarantine/crashQuarantine.js'
import type * as lostPaths from '../paths/lostPaths.js'
import * as quarantineRecords from '../quarantine/quarantineRecords.js'

/** Fields of the record of an entry instance. */
export type ChangingFields = Pick<discovery.EntryRecord, 'quarantined' | 'isImpaired'>

/** Options of {@link createChangeAnnouncer}. */
export interface ChangeAnnouncerOptions {
  /** Id of this instance. */
  id: string
  /** Returns the ids of the other entry instances. */
  otherIds: () => string[]
  quarantine: crashQuarantines.CrashQuarantine
  paths: Pick<lostPaths.LostPaths, 'isImpaired'>
  /** Returns the record of this instance as it is known, undefined before it is. */
  record: () => discovery.Record | undefined
  /** Announces the record of this instance. */
  announce: () => void
  log: telemetry.Log
  now: () => number
}

/** Announces changes. */
export interface ChangeAnnouncer {
  /** Returns the fields to announce. */
  fields (): ChangingFields
  /** Starts to check for changes. */
  start (): void
  stop (): void
}

const CHECK_INTERVAL_MS = 250
/** Time after the start within which an instance learns what the others and its earlier start had announced. */
const LEARNING_MS = 5000

/** Creates an announcer. */
export function createChangeAnnouncer (opts: ChangeAnnouncerOptions): ChangeAnnouncer {
  const { id, quarantine, paths, now } = opts
  const startedAt = now()
  const guard = telemetry.createStepGuard(opts.log, 'changes')
  let current: ChangingFields = {}
  let isAnnounced = true

  const findQuarantined = (): discovery.QuarantinedRequest[] | undefined => {
    const quarantined = quarantine.quarantined(now())
    const selected = quarantined.length === 0 ? [] : quarantineRecords.selectAnnounced(quarantined, { self: id, instanceIds: [id, ...opts.otherIds()] })
    if (selected.length > 0) return selected
    // "None" replaces what was announced before; while this instance may still learn that, it says nothing.
    const replacesEarlier = current.quarantined !== undefined || (hasInherited(opts.record()) && now() - startedAt > LEARNING_MS)
    return replacesEarlier ? [] : undefined
  }

  let timer: NodeJS.Timeout | undefined

  const check = (): void => {
    const next: ChangingFields = { quarantined: findQuarantined(), isImpaired: paths.isImpaired() || undefined }
    if (toKey(next) !== toKey(current)) isAnnounced = false
    current = next
    if (isAnnounced) return
    opts.announce()
    isAnnounced = true
  }

  return {
    fields: () => current,
    start () { timer = setInterval(() => { guard(check) }, CHECK_INTERVAL_MS) },
    stop () { clearInterval(timer) }
  }
}

/** Returns whether a record still holds what an earlier start had announced as quarantined. */
function hasInherited (record: discovery.Record | undefined): boolean {
  return record?.kind === 'entry' && record.inherited !== undefined
}

function toKey ({ quarantined, isImpaired = false }: ChangingFields): string {
  return [isImpaired, quarantined === undefined, ...(quarantined ?? []).map(item => item.fingerprint)].join()
}
