/** Periodic checks of all links of a process with one shared timer, to avoid a wake-up per link. */
import * as telemetry from '@kingcupdeck/telemetry'

/** A periodic check of a link. */
export type LinkCheck = (now: number, /** Whether this process was suspended since the last check. */ wasSuspended: boolean) => void

/** Interval between checks; small compared to the timeout of a busy link. */
export const CHECK_INTERVAL_MS = 350

const checks = new Set<LinkCheck>()
let timer: NodeJS.Timeout | undefined
let lastCheckAt = 0

/**
 * Starts the periodic check of a link. An error in it is logged, and keeps no other link from being checked.
 * @returns a function that stops it
 */
export function monitorLink (check: LinkCheck, log: telemetry.Log): () => void {
  const guard = telemetry.createStepGuard(log, 'link')
  const guarded: LinkCheck = (now, wasSuspended) => { guard(() => { check(now, wasSuspended) }) }
  checks.add(guarded)
  if (timer === undefined) {
    lastCheckAt = performance.now()
    timer = setInterval(checkAll, CHECK_INTERVAL_MS)
    timer.unref()
  }
  return () => {
    checks.delete(guarded)
    if (checks.size > 0) return
    clearInterval(timer)
    timer = undefined
  }
}

/** Returns the number of open links of this process. */
export function openLinkCount (): number {
  return checks.size
}

/** Returns the number of open TCP connections of this process, including those that are not links. */
export function openSocketCount (): number {
  return process.getActiveResourcesInfo().filter(kind => kind === 'TCPSocketWrap').length
}

function checkAll (): void {
  const now = performance.now()
  const wasSuspended = now - lastCheckAt > 3 * CHECK_INTERVAL_MS
  lastCheckAt = now
  for (const check of [...checks]) check(now, wasSuspended)
}
