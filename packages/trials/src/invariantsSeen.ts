/** Invariants of a trial: those that the instances assert themselves, gathered over restarts, and those seen from outside. */
import type * as fleets from './fleet.js'
import * as fleetTools from './fleet.js'

/** How often a check was made, and how often it did not hold. */
export interface Tally { checked: number, broken: number }

/** Checks of a trial. */
export interface Checks {
  check (name: string, holds: boolean, detail: () => string): void
  /** Adds tallies that instances counted themselves. */
  add (name: string, tally: Tally): void
  readonly tallies: Map<string, Tally>
  readonly details: string[]
}

const MAX_DETAILS = 20

/** @returns no checks yet */
export function createChecks (): Checks {
  const tallies = new Map<string, Tally>()
  const details: string[] = []
  const add = (name: string, tally: Tally): void => {
    const sum = tallies.get(name) ?? { checked: 0, broken: 0 }
    tallies.set(name, { checked: sum.checked + tally.checked, broken: sum.broken + tally.broken })
  }
  return {
    tallies,
    details,
    add,
    check (name, holds, detail) {
      add(name, { checked: 1, broken: holds ? 0 : 1 })
      if (!holds && details.length < MAX_DETAILS) details.push(`${name}: ${detail()}`)
    }
  }
}

interface Health { documentVersion: number, serving: boolean, invariants: Record<string, Tally> }

/** Follows the router instances through their restarts. */
export interface HealthWatch {
  /** Looks once. */
  look (): Promise<void>
  /** Adds what the instances counted to the checks. */
  finish (): void
  /** @returns the version in force on each instance that answered last, and whether it serves */
  versions (): Map<string, { version: number, serving: boolean }>
}

/**
 * Creates a watch.
 * @param fleet the fleet
 * @param checks where breaks are counted
 * @returns the watch
 */
export function createHealthWatch (fleet: fleets.Fleet, checks: Checks): HealthWatch {
  const latest = new Map<string, Record<string, Tally>>()
  const ended: Array<Record<string, Tally>> = []
  const versions = new Map<string, { version: number, serving: boolean }>()

  const lookAtControl = async (node: fleets.ControlNode): Promise<void> => {
    const health = await fleetTools.getJson(`${node.url}/health`).catch(() => undefined) as Health | undefined
    if (health !== undefined) keep(node.id, health.invariants, 'voteSyncedBeforeSent')
  }

  /** @returns whether the process was started anew since the last look, by a count that only grows */
  const keep = (id: string, tallies: Record<string, Tally>, growing: string): boolean => {
    const before = latest.get(id)
    const isNewStart = before !== undefined && before[growing].checked > tallies[growing].checked
    if (isNewStart) ended.push(before)
    latest.set(id, tallies)
    return isNewStart
  }

  const lookAt = async (node: fleets.RouterNode): Promise<void> => {
    const health = await fleetTools.getJson(`${node.url}/health`).catch(() => undefined) as Health | undefined
    if (health === undefined) {
      versions.delete(node.id)
      return
    }
    const isNewStart = keep(node.id, health.invariants, 'loadCap')
    const known = versions.get(node.id)
    if (health.serving) checks.check('versionNeverFallsWhileServing', isNewStart || known === undefined || health.documentVersion >= known.version, () => `${node.id} fell from ${known?.version ?? 0} to ${health.documentVersion}`)
    versions.set(node.id, { version: health.documentVersion, serving: health.serving })
  }

  return {
    look: async () => { await Promise.all([...fleet.routers.map(lookAt), ...fleet.controls.map(lookAtControl)]) },
    finish () {
      for (const tallies of [...ended, ...latest.values()]) {
        for (const [name, tally] of Object.entries(tallies)) checks.add(name, tally)
      }
    },
    versions: () => versions
  }
}
