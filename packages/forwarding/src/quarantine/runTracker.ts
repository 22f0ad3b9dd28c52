/**
 * Runs of requests at endpoints, to tell which of them were lost because their endpoint went down. A run has the keys of all suspects
 * that it carries: the request and the parts of its prompt. An endpoint is identified by its incarnation, so that a later start of it is
 * another one.
 */
import type * as crashEvidences from './crashEvidence.js'

/**
 * How a run ended: with a success, without a complete response, without a response because the client left or the deadline passed,
 * or in a way that says nothing about crashes.
 */
export type RunEnd = 'completed' | 'lost' | 'abandoned' | 'inconclusive'

/** A request that was sent to an endpoint. */
export interface Run {
  /** Records that the endpoint has begun to respond; before that, the request may have been waiting. */
  begin (now: number): void
  /** Records how the run ended; only the first call counts. */
  end (how: RunEnd, now: number): void
}

/** How an endpoint was found to be down: it refused a connection, did not answer, or was announced with a later start. */
export type DownReason = 'refused' | 'silent' | 'restarted'

/** Runs that are in flight, and those that may turn out to be lost in a crash. */
export interface RunTracker {
  /** @param tried those of the keys for which the run is a trial */
  startRun (keys: readonly string[], endpoint: string, now: number, tried?: readonly string[]): Run
  /** Records that an endpoint is down; the runs that it lost become crashes. */
  confirmDown (endpoint: string, now: number, reason: DownReason): void
  /**
   * Records that an endpoint responded.
   * @param sentAt when the request that it responded to was sent
   */
  confirmUp (endpoint: string, sentAt: number): void
  /** Forgets the runs that an endpoint lost: the path to it was lost. */
  excuse (endpoint: string): void
  /**
   * Returns the endpoints that are not known to be down and have a request in flight.
   * @param before start of the runs that are considered, on the monotonic clock
   */
  endpointsOf (key: string, before: number): Set<string>
  /**
   * Returns the start of the latest run of a suspect to which an endpoint that is not known to be down responds.
   * @param forMs time for which it has been responding at least, in milliseconds
   * @returns on the monotonic clock; -Infinity without such a run
   */
  lastResponding (key: string, forMs: number, now: number): number
  /** Forgets what is too old to matter. */
  prune (now: number): void
}

/** Options of {@link createRunTracker}. */
export interface RunTrackerOptions {
  onCompleted: (keys: readonly string[], startedAt: number, now: number) => void
  /** Called for each run that was in flight at a crash. */
  onCrash: (keys: readonly string[], tried: readonly string[], crash: crashEvidences.Crash, now: number) => void
  /** Returns by how much earlier what is seen now may have happened, in milliseconds; none by default. */
  lagMs?: () => number
}

/** A run counts as lost in a crash if its endpoint is found to be unreachable within this time. */
const UNREACHABLE_MS = 3000
/** A process that ends may respond for this time after it lost a run. */
const ENDING_MS = 400
/** A run counts as lost in a crash if a later start of its endpoint is announced within this time. */
const RESTARTED_MS = 15_000
/** Time for which an endpoint is known to be down. */
const DOWN_RETENTION_MS = 600_000
/** Lost runs of an endpoint that are kept. */
const MAX_LOST_RUNS = 1000

interface RunState { endpoint: string, startedAt: number, begunAt: number }
interface LostRun {
  keys: readonly string[]
  tried: readonly string[]
  how: 'lost' | 'abandoned'
  startedAt: number
  at: number
  lateMs: number
  /** Whether the endpoint, or a later start of it, has responded to a request that was sent a while afterwards. */
  isOutlived: boolean
}

/** Creates an empty tracker. */
export function createRunTracker ({ onCompleted, onCrash, lagMs = () => 0 }: RunTrackerOptions): RunTracker {
  /** By key. */
  const runs = new Map<string, Set<RunState>>()
  const lostRuns = new Map<string, LostRun[]>()
  const downs = new Map<string, { at: number, reason: DownReason }>()
  /** Runs that became crashes, which are lost runs again if their endpoint turns out to be up. */
  const crashedRuns = new Map<string, LostRun[]>()

  const add = (key: string, run: RunState): void => {
    const list = runs.get(key)
    if (list === undefined) runs.set(key, new Set([run]))
    else list.add(run)
  }

  const remove = (key: string, run: RunState): void => {
    const list = runs.get(key)
    list?.delete(run)
    if (list?.size === 0) runs.delete(key)
  }

  const recordLost = (endpoint: string, run: LostRun): void => {
    const down = downs.get(endpoint)
    if (down !== undefined && isCrash(run, run.at - down.at, down.reason)) {
      push(crashedRuns, endpoint, run)
      onCrash(run.keys, run.tried, toCrash(endpoint, run), run.at)
    } else push(lostRuns, endpoint, run)
  }

  return {
    startRun (keys, endpoint, now, tried = []) {
      const run: RunState = { endpoint, startedAt: now, begunAt: Infinity }
      for (const key of keys) add(key, run)
      let isEnded = false
      return {
        begin (at) { run.begunAt = Math.min(run.begunAt, at) },
        end (how, at) {
          if (isEnded) return
          isEnded = true
          for (const key of keys) remove(key, run)
          switch (how) {
            case 'completed': onCompleted(keys, now, at); break
            case 'lost':
            case 'abandoned': recordLost(endpoint, { keys, tried, how, startedAt: now, at, lateMs: lagMs(), isOutlived: false }); break
            case 'inconclusive': break
          }
        }
      }
    },
    confirmDown (endpoint, now, reason) {
      downs.set(endpoint, { at: now, reason })
      const lost = lostRuns.get(endpoint)
      if (lost === undefined) return
      const crashed = lost.filter(run => isCrash(run, now - run.at, reason))
      lostRuns.set(endpoint, lost.filter(run => !crashed.includes(run)))
      for (const run of crashed) {
        push(crashedRuns, endpoint, run)
        onCrash(run.keys, run.tried, toCrash(endpoint, run), now)
      }
    },
    confirmUp (endpoint, sentAt) {
      for (const run of lostRuns.get(endpoint) ?? []) if (run.at + ENDING_MS < sentAt) run.isOutlived = true
      const down = downs.get(endpoint)
      if (down === undefined || down.at >= sentAt) return
      downs.delete(endpoint)
      // It may have restarted under its id, and its new start may not be announced yet.
      for (const run of crashedRuns.get(endpoint) ?? []) push(lostRuns, endpoint, run)
      crashedRuns.delete(endpoint)
    },
    excuse (endpoint) { lostRuns.delete(endpoint) },
    endpointsOf (key, before) {
      const list = [...runs.get(key) ?? []].filter(run => run.startedAt < before && !downs.has(run.endpoint))
      return new Set(list.map(run => run.endpoint))
    },
    lastResponding (key, forMs, now) {
      let latest = -Infinity
      for (const run of runs.get(key) ?? []) if (now - run.begunAt > forMs && !downs.has(run.endpoint)) latest = Math.max(latest, run.startedAt)
      return latest
    },
    prune (now) {
      for (const [endpoint, { at }] of downs) if (now - at > DOWN_RETENTION_MS) downs.delete(endpoint)
      for (const runs of [lostRuns, crashedRuns]) {
        for (const [endpoint, list] of runs) if (list.every(run => now - run.at > RESTARTED_MS)) runs.delete(endpoint)
      }
    }
  }
}

function toCrash (endpoint: string, { at, startedAt, lateMs }: LostRun): crashEvidences.Crash {
  return { endpoint, at, startedAt, lateMs }
}

/** Adds a run of an endpoint, and drops those that are too old to matter. */
function push (runs: Map<string, LostRun[]>, endpoint: string, run: LostRun): void {
  const list = runs.get(endpoint) ?? []
  runs.set(endpoint, list)
  while (list.length > 0 && (list.length >= MAX_LOST_RUNS || run.at - list[0].at > RESTARTED_MS)) list.shift()
  list.push(run)
}

/**
 * Returns whether a run was lost because its endpoint went down.
 * @param apartMs time between the two, in milliseconds
 */
function isCrash ({ how, isOutlived }: LostRun, apartMs: number, reason: DownReason): boolean {
  switch (reason) {
    case 'refused': return !isOutlived && apartMs < UNREACHABLE_MS
    // An overloaded endpoint does not answer either, and then clients leave.
    case 'silent': return !isOutlived && how === 'lost' && apartMs < UNREACHABLE_MS
    // The response came from the later start.
    case 'restarted': return apartMs < RESTARTED_MS
  }
}
