/** What was decided for recent requests and why, for `kingcupdeck explain`. */

/** One decision. */
export interface TraceStep { atMs: number, step: string, why: string }

/** The decisions for one request. */
export interface Trace {
  /** Notes a decision. */
  record (step: string, why?: string): void
}

/** Traces of recent requests. */
export interface Traces {
  open (requestId: string): Trace
  /** @returns the decisions, or undefined where the request is not known (any more) */
  find (requestId: string): TraceStep[] | undefined
}

const MAX_TRACES = 5000
const MAX_STEPS = 60

/**
 * Creates the traces of an instance.
 * @returns none yet
 */
export function createTraces (): Traces {
  const traces = new Map<string, TraceStep[]>()
  return {
    open (requestId) {
      const steps: TraceStep[] = []
      const startedAt = performance.now()
      traces.set(requestId, steps)
      if (traces.size > MAX_TRACES) traces.delete(traces.keys().next().value as string)
      return {
        record (step, why = '') {
          if (steps.length < MAX_STEPS) steps.push({ atMs: Math.round((performance.now() - startedAt) * 10) / 10, step, why })
        }
      }
    },
    find: requestId => traces.get(requestId)
  }
}
