/** Aborts attempts whose entry instance has disconnected. */
import type * as sessions from './session.js'

/** Time allowed for the entry instance to reattach. */
const REATTACH_TIMEOUT_MS = 3000
const POLL_INTERVAL_MS = 500

/**
 * Watches an attempt and aborts it when its entry instance stays detached.
 * @param drop aborts the attempt
 */
export function watchDetached (session: sessions.Session, drop: () => void): void {
  let detachedAt: number | undefined
  const timer = setInterval(() => {
    if (session.state === 'ended') {
      clearInterval(timer)
      return
    }
    if (session.isAttached()) detachedAt = undefined
    else detachedAt ??= performance.now()
    if (detachedAt === undefined || performance.now() - detachedAt < REATTACH_TIMEOUT_MS) return
    clearInterval(timer)
    drop()
  }, POLL_INTERVAL_MS)
}
