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

/** No zone was ever evacuated. */
export const NO_EVACUATIONS: Evacuations = { revision: 0, zones: [] }

/** Returns the evacuations for a message; undefined before the first one, which keeps messages short. */
export function toEvacuationField (held: Evacuations): Evacuations | undefined {
  return held.revision > 0 ? held : undefined
}

/**
 * Returns the evacuations after a change of one zone.
 * @param isEvacuated whether requests to the zone stop or are allowed again
 */
export function changeEvacuation (held: Evacuations, zone: string, isEvacuated: boolean): Evacuations {
  const others = held.zones.filter(item => item !== zone)
  return { revision: held.revision + 1, zones: isEvacuated ? [...others, zone].sort() : others }
}
