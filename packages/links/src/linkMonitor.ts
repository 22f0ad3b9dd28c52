/**
 * Looks after all links of a process in turns, with one timer. With a timer for each link, a process with 128 ends of links
 * woke up as often as it had links, and for nothing else.
 */

/** One look at one link. */
export type LinkCheck = (now: number, /** Whether this process stood still since the last look. */ wasFrozen: boolean) => void

/** Between two looks, milliseconds: a third of the time after which a silent link in use is given up. */
export const CHECK_INTERVAL_MS = 350

const looks = new Set<LinkCheck>()
let timer: NodeJS.Timeout | undefined
let lastLookAt = 0

/**
 * Has a link looked after.
 * @param look what is to be done with it each time
 * @returns how to end that
 */
export function monitorLink (look: LinkCheck): () => void {
  looks.add(look)
  if (timer === undefined) {
    lastLookAt = performance.now()
    timer = setInterval(lookAtAll, CHECK_INTERVAL_MS)
    timer.unref()
  }
  return () => {
    looks.delete(look)
    if (looks.size > 0) return
    clearInterval(timer)
    timer = undefined
  }
}

function lookAtAll (): void {
  const now = performance.now()
  const wasFrozen = now - lastLookAt > 3 * CHECK_INTERVAL_MS
  lastLookAt = now
  for (const look of [...looks]) look(now, wasFrozen)
}
