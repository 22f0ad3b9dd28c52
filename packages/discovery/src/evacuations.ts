/** The evacuated availability zones of the fleet, whose endpoints receive no requests. */
import * as z from 'zod'

/** The evacuated availability zones, as of one revision. */
export const evacuations = z.object({
  /** Number of changes so far. */
  revision: z.number().int().nonnegative(),
  zones: z.array(z.string())
})
/** The evacuated availability zones, as of one revision. */
export type Evacuations = z.infer<typeof evacuations>

/** Evacuations as a control instance reports them. */
export const evacuationReport = evacuations.extend({
  /** Zones that orders in its log evacuate of which it does not know whether they are committed; absent without such orders. */
  pending: z.array(z.string()).optional()
})
/** Evacuations as a control instance reports them. */
export type EvacuationReport = z.infer<typeof evacuationReport>

/** No zone was ever evacuated. */
export const NO_EVACUATIONS: Evacuations = { revision: 0, zones: [] }

/** Returns the evacuations for a message; undefined before the first order, which keeps messages short. */
export function toEvacuationField<T extends EvacuationReport> (held: T): T | undefined {
  return held.revision > 0 || held.pending !== undefined ? held : undefined
}

/**
 * Returns the evacuations after a change of one zone.
 * @param isEvacuated whether requests to the zone stop or are allowed again
 */
export function changeEvacuation (held: Evacuations, zone: string, isEvacuated: boolean): Evacuations {
  const others = held.zones.filter(item => item !== zone)
  return { revision: held.revision + 1, zones: isEvacuated ? [...others, zone].sort() : others }
}
