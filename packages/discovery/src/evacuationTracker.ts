/**
 * The evacuated zones that an entry instance assumes, from the reports of control instances and other entry instances.
 *
 * Without a leader, control instances do not know whether the last orders in their logs are committed. An acknowledged one is in the logs of a
 * majority, so pending evacuations count until a control instance with a quorum decides. Pending ends of evacuations do not count:
 * an evacuated zone that is used too late does less harm than one that is used too early.
 */
import * as evacuations from './evacuations.js'

/** The evacuated zones that an entry instance assumes. */
export interface AssumedEvacuations extends evacuations.Evacuations {
  /** Those of the zones that committed orders evacuate; the others are pending. */
  committed: string[]
}

/** Tracks reports. */
export interface EvacuationTracker {
  /**
   * Records a report, also a repeated or older one.
   * @param isDecided whether a control instance with a quorum is heard: pending orders do not count
   */
  note (report: evacuations.EvacuationReport, from: string, isDecided: boolean): void
}

/**
 * Creates a tracker that assumes no evacuations.
 * @param onChange called with each change
 */
export function createEvacuationTracker (onChange: (assumed: AssumedEvacuations, from: string) => void): EvacuationTracker {
  let committed = evacuations.NO_EVACUATIONS
  let assumed: AssumedEvacuations = { ...committed, committed: committed.zones }
  /** Pending zones by the instance that reported them, with the revision that their orders are based on. */
  const pendingReports = new Map<string, evacuations.Evacuations>()

  const toAssumed = (): AssumedEvacuations => {
    // Orders that were pending at an earlier revision have been decided by the later one.
    const pending = [...pendingReports.values()].filter(item => item.revision >= committed.revision).flatMap(item => item.zones)
    return { revision: committed.revision, zones: [...new Set([...committed.zones, ...pending])].sort(), committed: committed.zones }
  }

  return {
    note (report, from, isDecided) {
      const { revision, zones, pending = [] } = report
      if (revision > committed.revision) committed = { revision, zones }
      if (isDecided) pendingReports.clear()
      else if (pending.length === 0) pendingReports.delete(from)
      else pendingReports.set(from, { revision, zones: pending })
      const latest = toAssumed()
      if (latest.revision === assumed.revision && latest.zones.join() === assumed.zones.join()) return
      assumed = latest
      onChange(assumed, from)
    }
  }
}
