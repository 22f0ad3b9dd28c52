/** Watches the memory of the process, so that an end for lack of memory can be told from a kill. */
import * as v8 from 'node:v8'
import type * as logs from './log.js'

/** What the memory is compared with: the heap's limit, or the machine's. */
export type MemoryLimit = 'heap' | 'machine'

/** Use of memory, bytes. */
export interface MemoryUse { rss: number, heap: number, heapLimit: number }

/** Shares of a limit at which a line is logged. */
export const MEMORY_LEVELS = [0.7, 0.85, 0.95]
/** The same level is logged once in this time. */
const LOG_INTERVAL_MS = 60_000
const BYTES_PER_MB = 2 ** 20

/** Options of {@link createMemoryWatch}. */
export interface MemoryWatchOptions {
  /** Memory that the machine allows the process, bytes. */
  machineLimit: () => number
  log: logs.Log
  /** Called when a level was reached that had not been reached for a while. */
  onLevel?: (of: MemoryLimit, share: number, use: MemoryUse) => void
  read?: () => MemoryUse
  now?: () => number
}

/** Watches the memory of a process. */
export interface MemoryWatch {
  /** Compares the use with the limits; to be called periodically. */
  check: () => void
  /** Returns the highest share of a limit at any check. */
  peakShare: (of: MemoryLimit) => number
}

/** Returns the present use of memory. */
export function readMemoryUse (): MemoryUse {
  const heap = v8.getHeapStatistics()
  return { rss: process.memoryUsage.rss(), heap: heap.used_heap_size, heapLimit: heap.heap_size_limit }
}

/** Creates a watch, which does nothing by itself. */
export function createMemoryWatch (opts: MemoryWatchOptions): MemoryWatch {
  const read = opts.read ?? readMemoryUse
  const now = opts.now ?? (() => performance.now())
  const peaks: Record<MemoryLimit, number> = { heap: 0, machine: 0 }
  /** When each level was logged last, by limit. */
  const loggedAt: Record<MemoryLimit, number[]> = { heap: [], machine: [] }
  let failureLoggedAt = -Infinity

  /** Reading takes a file descriptor, and a process may have none left. */
  const tryRead = (): MemoryUse | undefined => {
    try {
      return read()
    } catch (err) {
      if (now() - failureLoggedAt >= LOG_INTERVAL_MS) {
        failureLoggedAt = now()
        opts.log.event('memoryUnknown', { detail: err instanceof Error ? err.message : String(err) })
      }
      return undefined
    }
  }

  const note = (of: MemoryLimit, share: number, use: MemoryUse): void => {
    peaks[of] = Math.max(peaks[of], share)
    const level = MEMORY_LEVELS.filter(item => share >= item).length - 1
    if (level < 0 || now() - (loggedAt[of][level] ?? -Infinity) < LOG_INTERVAL_MS) return
    // A higher level stands for the lower ones.
    for (let i = 0; i <= level; i++) loggedAt[of][i] = now()
    opts.log.event('memoryShort', { of, share: Number(share.toFixed(2)), rssMb: toMb(use.rss), heapMb: toMb(use.heap), heapLimitMb: toMb(use.heapLimit), machineLimitMb: toMb(opts.machineLimit()) })
    opts.onLevel?.(of, share, use)
  }

  return {
    check () {
      const use = tryRead()
      if (use === undefined) return
      note('heap', use.heap / use.heapLimit, use)
      if (opts.machineLimit() > 0) note('machine', use.rss / opts.machineLimit(), use)
    },
    peakShare: of => peaks[of]
  }
}

function toMb (bytes: number): number {
  return Math.round(bytes / BYTES_PER_MB)
}
