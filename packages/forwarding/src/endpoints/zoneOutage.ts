/**
 * Detects that a whole availability zone is unreachable. Endpoints that stop responding in the same zone at the same time, with no
 * response of any other in between, are evidence against the rest of it: without it, requests would find each of them silent, one
 * timeout at a time.
 */

/** Outages of availability zones as seen by this instance. */
export interface ZoneOutages {
  /** Records an endpoint to which no connection could be established in time. @returns whether its zone became suspect by this */
  recordSilence (zone: string, endpointId: string, now: number): boolean
  /** Records a response or a connection of an endpoint. @returns whether an outage of its zone ended by this */
  recordAnswer (zone: string): boolean
  /** Returns whether a zone is avoided. */
  isAvoided (zone: string): boolean
  /** Returns the suspect zones. */
  suspects (): string[]
}

/** Silent endpoints without a response of another one in between from which on a zone is suspect. */
const MIN_SILENT_ENDPOINTS = 2
/** Maximum time between the first and the last of them. */
const SILENCE_MAX_AGE_MS = 3000

/**
 * Creates a detector.
 * @param zones returns the zones of all known endpoints
 */
export function createZoneOutages (zones: () => ReadonlySet<string>): ZoneOutages {
  const silentByZone = new Map<string, Map<string, number>>()
  const suspects = new Set<string>()

  return {
    recordSilence (zone, endpointId, now) {
      const silent = silentByZone.get(zone) ?? new Map<string, number>()
      silentByZone.set(zone, silent)
      silent.set(endpointId, now)
      for (const [id, at] of silent) if (now - at > SILENCE_MAX_AGE_MS) silent.delete(id)
      if (silent.size < MIN_SILENT_ENDPOINTS || suspects.has(zone)) return false
      suspects.add(zone)
      return true
    },
    recordAnswer (zone) {
      silentByZone.delete(zone)
      return suspects.delete(zone)
    },
    isAvoided (zone) {
      // If no zone responds, the outage is on this side.
      return suspects.has(zone) && [...zones()].some(item => !suspects.has(item))
    },
    suspects: () => [...suspects]
  }
}
