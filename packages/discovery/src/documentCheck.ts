/**
 * Confirms with a control instance that no newer document is committed, so that a request is rejected for good only by the latest
 * document. An announcement of a newer one may still be queued on a slow link, behind ticks that arrive late.
 */
import * as timers from 'node:timers/promises'

/** A control instance that can be asked. */
export interface CheckSource {
  address: string
  /**
   * Asks for the version of its document.
   * @returns whether the control instance had applied everything that was committed a short time ago
   */
  ask: () => Promise<boolean>
}

/** Options of {@link createDocumentCheck}. */
export interface DocumentCheckOptions {
  /** Subscribed control instances, in the order in which they are asked. */
  sources: () => CheckSource[]
  /** Called when a control instance could not be asked. */
  onFailure: (address: string, reason: string) => void
  /** Returns milliseconds on the monotonic clock. */
  now: () => number
}

/** A confirmation answers all requests that arrive within this time after it was begun, so that unknown paths do not load control instances. */
const REUSE_MS = 500
/** Pause after a confirmation that failed, as while all control instances start: requests within it are not confirmed. */
const RETRY_PAUSE_MS = 300
/** Another control instance is asked when one has not answered within this time. */
const HEDGE_DELAY_MS = 150

/**
 * Creates a check.
 * @returns a function that resolves to whether a current control instance was asked no longer ago than {@link REUSE_MS}
 */
export function createDocumentCheck (opts: DocumentCheckOptions): () => Promise<boolean> {
  /** When the latest confirmation was begun. */
  let confirmedAt = -Infinity
  let failedAt = -Infinity
  let pending: Promise<void> | undefined

  const isConfirmed = (): boolean => opts.now() - confirmedAt <= REUSE_MS

  const ask = async (source: CheckSource): Promise<void> => {
    const startedAt = opts.now()
    try {
      if (await source.ask()) confirmedAt = Math.max(confirmedAt, startedAt)
    } catch (err) {
      opts.onFailure(source.address, err instanceof Error ? err.message : String(err))
    }
  }

  const confirm = async (): Promise<void> => {
    const sources = opts.sources()
    for (const source of sources) {
      await Promise.race([ask(source), timers.setTimeout(HEDGE_DELAY_MS)])
      if (isConfirmed()) return
    }
    if (sources.length > 0) failedAt = opts.now()
  }

  return async () => {
    if (!isConfirmed() && opts.now() - failedAt > RETRY_PAUSE_MS) {
      pending ??= confirm().finally(() => { pending = undefined })
      await pending
    }
    return isConfirmed()
  }
}
