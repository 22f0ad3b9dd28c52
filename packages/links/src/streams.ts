/** Small bridges to `most`: sources that the program feeds, and periodic work as a stream. */
import * as events from 'node:events'
import * as most from 'most'

/** A stream with the function that feeds it. */
export interface Subject<T> { stream: most.Stream<T>, next: (value: T) => void }

/**
 * Creates a stream that the program feeds; every observer gets each value.
 * @returns the stream and its feeder
 */
export function createSubject<T> (): Subject<T> {
  const emitter = new events.EventEmitter()
  emitter.setMaxListeners(0)
  return {
    stream: most.fromEvent<T>('value', emitter),
    next: value => { emitter.emit('value', value) }
  }
}

/**
 * Does work at intervals until told to stop. A turn that takes longer than the interval delays the next one; what a turn
 * throws goes to the handler and does not end the series.
 * @param intervalMs from the start of one turn to the next
 * @param work one turn
 * @param onError told of what a turn throws
 * @returns the stop
 */
export function startPeriodic (intervalMs: number, work: () => Promise<void> | void, onError: (err: unknown) => void): () => void {
  const stop = createSubject<null>()
  let isBusy = false
  const turn = async (): Promise<void> => {
    if (isBusy) return
    isBusy = true
    try {
      await work()
    } catch (err) {
      onError(err)
    } finally {
      isBusy = false
    }
  }
  void most.periodic(intervalMs).until(stop.stream).observe(() => { void turn() })
  return () => { stop.next(null) }
}
