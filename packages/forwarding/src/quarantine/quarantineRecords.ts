/**
 * Quarantined requests and parts of prompts in the records of entry instances. Control instances keep these records, so that entry instances that are all
 * restarted at once learn the requests from the records of their last start.
 */
import * as contracts from '@kingcupdeck/contracts'
import type * as discovery from '@kingcupdeck/discovery'
import * as crashEvidences from './crashEvidence.js'
import type * as crashQuarantines from './crashQuarantine.js'
import * as crashReports from './crashReport.js'

/** Options of {@link selectAnnounced}. */
export interface AnnouncementOptions {
  /** Id of this instance. */
  self: string
  /** Ids of all entry instances. */
  instanceIds: readonly string[]
}

/** Instances that announce the same request. */
const ANNOUNCERS = 3
/** Latest quarantined requests that are considered, for each instance. */
const MAX_CONSIDERED = 10
/** Requests in one record, and crashes of each that are named. */
const MAX_REQUESTS = 10
const MAX_CRASHES = 5
/** Records do not tell when the crashes were. Assumed so far apart, they do not pass for one outage. */
const CRASH_INTERVAL_MS = 2 * crashEvidences.COINCIDENCE_MS

/** Returns those of the quarantined requests that this instance announces. If they are too many, each is left to fewer instances. */
export function selectAnnounced (quarantined: readonly discovery.QuarantinedRequest[], opts: AnnouncementOptions): discovery.QuarantinedRequest[] {
  const { self, instanceIds } = opts
  const considered = quarantined.slice(-MAX_CONSIDERED * instanceIds.length).map(request => {
    return { request, rank: contracts.toRendezvousOrder(request.fingerprint, instanceIds, id => id).indexOf(self) }
  })
  return considered
    .filter(({ rank }) => rank < ANNOUNCERS)
    .sort((a, b) => b.rank - a.rank)
    .slice(-MAX_REQUESTS)
    .map(({ request: { fingerprint, crashed } }) => ({ fingerprint, crashed: crashed.slice(-MAX_CRASHES) }))
}

/** Applies the requests that other entry instances, or earlier starts of this one, have announced. */
export function applyRecords (records: readonly discovery.Record[], quarantine: crashQuarantines.CrashQuarantine, now: number): void {
  for (const record of records) {
    if (record.kind !== 'entry') continue
    const reports = [...record.quarantined ?? [], ...record.inherited ?? []].flatMap(({ fingerprint, crashed }) => crashed.map((endpoint, i) => {
      return crashReports.toCrashReport(fingerprint, { crashed: [endpoint], agoMs: (crashed.length - i) * CRASH_INTERVAL_MS })
    }))
    quarantine.merge(reports, now, `record of ${record.id}`, false)
  }
}
