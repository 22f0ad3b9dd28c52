/** Selects the entry instances whose addresses a client gets. */
import type * as discovery from '@kingcupdeck/discovery'

/** Location of a client, as far as it is known. */
export interface ClientLocation { zone: string | undefined, region: string | undefined }

/** Minimum number of instances in a zone for its clients to get only their addresses: a single one may fail. */
const MIN_ZONE_INSTANCES = 2

/** Share of the instances that must have their paths to the endpoints for the others to be left out: the others' clients come to them. */
const MIN_SOUND_SHARE = 0.5

/**
 * Selects among ready instances: the client's availability zone goes before its region, and both before the rest. Other regions are a
 * last resort, because the requests of a client may be bound to its region.
 * @param isReachable returns whether this instance can reach another one; if it reaches none, all are eligible
 */
export function selectInstances (ready: readonly discovery.EntryRecord[], client: ClientLocation, isReachable: (item: discovery.EntryRecord) => boolean): readonly discovery.EntryRecord[] {
  const reachable = ready.filter(isReachable)
  const candidates = toSound(reachable.length > 0 ? reachable : ready)
  const sameZone = candidates.filter(item => item.zone === client.zone)
  if (sameZone.length >= MIN_ZONE_INSTANCES) return sameZone
  const sameRegion = candidates.filter(item => item.region === client.region)
  return sameRegion.length > 0 ? sameRegion : candidates
}

/** Leaves out instances that reach endpoints only through others, unless too few would remain. */
function toSound (list: readonly discovery.EntryRecord[]): readonly discovery.EntryRecord[] {
  const sound = list.filter(item => item.isImpaired !== true)
  return sound.length >= MIN_SOUND_SHARE * list.length ? sound : list
}
