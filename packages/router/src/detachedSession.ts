/** Attempts whose entry instance went away. */
import type * as sessions from './session.js'

/** An attempt whose entry instance went away is kept this long for it to attach again, milliseconds. */
const DETACHED_MS = 3000
const LOOK_MS = 500

/**
 * Ends an attempt whose entry instance went away and did not come back.
 * @param session the attempt
 * @param drop ends it
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
    if (detachedAt === undefined || performance.now() - detachedAt < DETACHED_MS) return
    clearInterval(timer)
    drop()
  }, LOOK_MS)
}
