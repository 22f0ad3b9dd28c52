/** How long the responses of each route have lasted lately, including those that are not complete yet. */

/** Durations of the responses of all routes. */
export interface RouteDurations {
  /**
   * Records the start of a request.
   * @returns to be called at its end, with whether its response is complete
   */
  recordStart (route: string): (isComplete: boolean) => void
  /** Returns whether nearly all requests of a route end within a time, in milliseconds; false without enough requests to tell. */
  isNearlySure (route: string, ms: number): boolean
}

/** A request; one without a complete response lasts at least until its end, or until now. */
interface Observation { startedAt: number, endedAt: number | undefined, isComplete: boolean }

/** Requests of a route that are remembered. */
const MAX_OBSERVATIONS = 200
/** Routes that are remembered, those that were used first are forgotten: routes come and go with the documents. */
const MAX_ROUTES = 200
/** Requests of a route that must have been observed for long enough. */
const MIN_OBSERVATIONS = 5
/** Highest share of the requests of a route that may last longer. */
const MAX_LONGER_SHARE = 0.01
/** Requests must have ended within this share of the time, so that a somewhat longer one still does. */
const TIME_SHARE = 0.8

/**
 * Creates durations without requests.
 * @param now returns milliseconds on the monotonic clock
 */
export function createRouteDurations (now: () => number): RouteDurations {
  const observations = new Map<string, Observation[]>()

  const listOf = (route: string): Observation[] => {
    const known = observations.get(route)
    if (known !== undefined) return known
    const [oldest] = observations.keys()
    if (observations.size >= MAX_ROUTES) observations.delete(oldest)
    const list: Observation[] = []
    observations.set(route, list)
    return list
  }

  return {
    recordStart (route) {
      const list = listOf(route)
      const observation: Observation = { startedAt: now(), endedAt: undefined, isComplete: false }
      list.push(observation)
      if (list.length > MAX_OBSERVATIONS) list.shift()
      return isComplete => {
        observation.endedAt = now()
        observation.isComplete = isComplete
      }
    },
    isNearlySure (route, ms) {
      const current = now()
      const list = (observations.get(route) ?? []).map(({ startedAt, endedAt, isComplete }) => ({ observedMs: (isComplete ? current : endedAt ?? current) - startedAt, durationMs: isComplete ? (endedAt ?? current) - startedAt : Infinity }))
      return list.some(({ durationMs }) => durationMs <= TIME_SHARE * ms && isBound(list, durationMs))
    }
  }
}

/**
 * Returns whether nearly all requests end within a time. Only those that were observed for so long count, so that young requests do
 * not make a route look quick.
 * @param list time for which each request was observed, and its duration, Infinity if it has no complete response
 */
function isBound (list: ReadonlyArray<{ observedMs: number, durationMs: number }>, ms: number): boolean {
  const observed = list.filter(item => item.observedMs >= ms)
  return observed.length >= MIN_OBSERVATIONS && observed.filter(item => item.durationMs > ms).length <= MAX_LONGER_SHARE * observed.length
}
