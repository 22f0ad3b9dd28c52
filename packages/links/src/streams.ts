/** Helpers for `most` streams: sources fed by the program, and periodic work. */
import * as events from 'node:events'
import * as most from 'most'

/** A stream and the function that emits its values. */
export interface Subject<T> { stream: most.Stream<T>, next: (value: T) => void }

/** Creates a multicast stream whose values are emitted by the program. */
export function createSubject<T> (): Subject<T> {
  const emitter = new events.EventEmitter()
  emitter.setMaxListeners(0)
  return {
    stream: most.fromEvent<T>('value', emitter),
    next: value => { emitter.emit('value', value) }
  }
}

/**
 * Runs work periodically, starting immediately. A run that is due while the previous one is pending is skipped, and a
 * failed run does not stop the series.
 * @param intervalMs time between the starts of two runs
 * @param onError receives what a run throws
 * @returns a function that stops the series
 */
export function startPeriodic (intervalMs: number, work: () => Promise<void> | void, onError: (err: unknown) => void): () => void {
  const stop = createSubject<null>()
  let isRunning = false
  const run = async (): Promise<void> => {
    if (isRunning) return
    isRunning = true
    try {
      await work()
    } catch (err) {
      onError(err)
    } finally {
      isRunning = false
    }
  }
  void most.periodic(intervalMs).until(stop.stream).observe(() => { void run() })
  return () => { stop.next(null) }
}
