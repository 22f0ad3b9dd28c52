/** In-memory traces of recent requests, for `kingcupdeck explain`. */

/** One decision, with the time since the trace was opened. */
export interface TraceStep { atMs: number, step: string, why: string }

/** Records the decisions for one request. */
export interface Trace {
  record (step: string, why?: string): void
}

/** Traces of recent requests. */
export interface Traces {
  open (requestId: string): Trace
  /** Returns a request's decisions, or undefined if the trace is unknown or evicted. */
  find (requestId: string): TraceStep[] | undefined
}

const MAX_TRACES = 5000
const MAX_STEPS = 60

/** Creates an empty trace store, which evicts the oldest trace when full. */
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
