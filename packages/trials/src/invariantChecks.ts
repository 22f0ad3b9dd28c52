/** Checks of a test run: invariants that the instances assert themselves, summed over restarts, and checks made from outside. */
import * as fleets from './fleet.js'

/** How often a check was made, and how often it failed. */
export interface Tally { checked: number, broken: number }

/** Checks of a test run, counted by name. */
export interface Checks {
  check (name: string, holds: boolean, detail: () => string): void
  /** Adds a tally that was counted elsewhere. */
  add (name: string, tally: Tally): void
  readonly tallies: Map<string, Tally>
  /** Descriptions of the first failed checks. */
  readonly details: string[]
}

const MAX_DETAILS = 20

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

/** Polls the health of all instances across their restarts. */
export interface HealthMonitor {
  poll (): Promise<void>
  /** Adds the tallies of all instances to the checks. */
  finish (): void
  /** Returns the document version of each router instance that answered the last poll, and whether the instance serves. */
  versions (): Map<string, { version: number, serving: boolean }>
}

export function createHealthMonitor (fleet: fleets.Fleet, checks: Checks): HealthMonitor {
  const latestTallies = new Map<string, Record<string, Tally>>()
  const talliesBeforeRestart: Array<Record<string, Tally>> = []
  const versions = new Map<string, { version: number, serving: boolean }>()

  const pollControl = async (node: fleets.ControlNode): Promise<void> => {
    const health = await fleets.getJson(`${node.url}/health`).catch(() => undefined) as Health | undefined
    if (health !== undefined) recordTallies(node.id, health.invariants, 'voteSyncedBeforeSent')
  }

  /** Stores the tallies and returns whether the process restarted since the last poll, which shows as a decrease of `counter`. */
  const recordTallies = (id: string, tallies: Record<string, Tally>, counter: string): boolean => {
    const before = latestTallies.get(id)
    const isRestarted = before !== undefined && before[counter].checked > tallies[counter].checked
    if (isRestarted) talliesBeforeRestart.push(before)
    latestTallies.set(id, tallies)
    return isRestarted
  }

  const pollRouter = async (node: fleets.RouterNode): Promise<void> => {
    const health = await fleets.getJson(`${node.url}/health`).catch(() => undefined) as Health | undefined
    if (health === undefined) {
      versions.delete(node.id)
      return
    }
    const isRestarted = recordTallies(node.id, health.invariants, 'loadCap')
    const previous = versions.get(node.id)
    if (health.serving) checks.check('versionNeverFallsWhileServing', isRestarted || previous === undefined || health.documentVersion >= previous.version, () => `${node.id} fell from ${previous?.version ?? 0} to ${health.documentVersion}`)
    versions.set(node.id, { version: health.documentVersion, serving: health.serving })
  }

  return {
    poll: async () => { await Promise.all([...fleet.routers.map(pollRouter), ...fleet.controls.map(pollControl)]) },
    finish () {
      for (const tallies of [...talliesBeforeRestart, ...latestTallies.values()]) {
        for (const [name, tally] of Object.entries(tallies)) checks.add(name, tally)
      }
    },
    versions: () => versions
  }
}
