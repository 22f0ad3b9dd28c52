/**
 * One account of the bytes that a process holds for connections, requests and responses. Each of them has a bound of its own; the sum is
 * bounded here, by the memory of the machine and the limit of the heap, and what else the process takes of both. When it is exceeded, what
 * holds most is ended.
 */
import * as v8 from 'node:v8'

/** Bytes that one request or response holds. */
export interface Holder {
  /** Sets the number of bytes that it holds. */
  set (bytes: number): void
  add (bytes: number): void
  /** Sets what is called when it is ended because it holds most; undefined if it must not be ended. */
  onExcess: (() => void) | undefined
  /** Ends the holding; only the first call counts. */
  release (): void
}

/** The account. */
export interface HeldBytes {
  /** Creates a holder without bytes, which must not be ended yet. */
  open (): Holder
  /** Returns the sum. */
  total (): number
  /** Returns the number of holders with bytes. */
  count (): number
}

/** Share of the memory that may be held: the rest is for the program itself, and for what was released and not collected yet. */
const MEMORY_SHARE = 0.15
/** Why a request or response is ended when the limit is exceeded. */
export const HELD_EXCESS = 'this instance holds too many bytes, and most of them for this request'
/** What is held shrinks when the process takes more than this share of the memory. */
const MAX_USED_SHARE = 0.8
/** It does not shrink below this share: memory that was released and not returned counts as taken, and requests must be served beside it. */
const MIN_SHARE = 0.04
/** Limit if the memory of the machine is not known. */
const DEFAULT_LIMIT_BYTES = 48 * 2 ** 20
const READ_INTERVAL_MS = 500

/** Use of the heap, bytes. */
export interface HeapUse { used: number, limit: number }

/**
 * Returns the limit of the sum.
 * @param memoryBytes memory of the machine, undefined if unknown
 * @param othersBytes memory of the process without what is held
 * @param heap a process ends at the limit of its heap, whatever memory the machine has left
 */
export function toHeldLimit (memoryBytes: number | undefined, othersBytes = 0, heap: HeapUse = { used: 0, limit: Infinity }): number {
  if (memoryBytes === undefined) return DEFAULT_LIMIT_BYTES
  const room = Math.min(MAX_USED_SHARE * memoryBytes - othersBytes, MAX_USED_SHARE * heap.limit - heap.used)
  return Math.max(MIN_SHARE * memoryBytes, Math.min(MEMORY_SHARE * memoryBytes, room))
}

/** Options of {@link createHeldLimit}. */
export interface HeldLimitOptions {
  /** Memory of the machine, undefined if unknown. */
  memoryBytes: () => number | undefined
  /** Returns the sum of what is held. */
  total: () => number
  /** Returns the memory of the process. @throws Error when it cannot be read, as without a free file descriptor */
  readUsed?: () => number
  readHeap?: () => HeapUse
  now?: () => number
}

/** Returns the present use of the heap. */
function readHeapUse (): HeapUse {
  const heap = v8.getHeapStatistics()
  return { used: heap.used_heap_size, limit: heap.heap_size_limit }
}

/** Creates a function that returns the present limit of the sum. */
export function createHeldLimit ({ memoryBytes, total, readUsed = process.memoryUsage.rss, readHeap = readHeapUse, now = () => performance.now() }: HeldLimitOptions): () => number {
  let othersBytes = 0
  let heap = readHeap()
  let readAt = -Infinity
  return () => {
    if (now() - readAt >= READ_INTERVAL_MS) {
      readAt = now()
      heap = readHeap()
      try {
        othersBytes = readUsed() - total()
      } catch {
        // The memory watch logs it; what was read last holds.
      }
    }
    return toHeldLimit(memoryBytes(), othersBytes, heap)
  }
}

/**
 * Creates an account without holders.
 * @param toLimit returns the present limit of the sum
 */
export function createHeldBytes (toLimit: () => number): HeldBytes {
  /** Bytes of each holder. */
  const holders = new Map<Holder, number>()
  let total = 0

  const findLargest = (): Holder | undefined => {
    let largest: Holder | undefined
    let largestBytes = 0
    for (const [holder, bytes] of holders) {
      if (holder.onExcess === undefined || bytes <= largestBytes) continue
      largest = holder
      largestBytes = bytes
    }
    return largest
  }

  const enforce = (): void => {
    if (total <= toLimit()) return
    const largest = findLargest()
    if (largest === undefined) return
    const { onExcess } = largest
    largest.release()
    onExcess?.()
    enforce()
  }

  return {
    open () {
      let held = 0
      let isReleased = false
      const holder: Holder = {
        onExcess: undefined,
        set (bytes) {
          // Most streams never hold anything.
          if (isReleased || bytes === held) return
          total += bytes - held
          held = bytes
          if (bytes > 0) holders.set(holder, bytes)
          else holders.delete(holder)
          if (bytes > 0) enforce()
        },
        add (bytes) { holder.set(held + bytes) },
        release () {
          isReleased = true
          if (held === 0) return
          total -= held
          held = 0
          holders.delete(holder)
        }
      }
      return holder
    },
    total: () => total,
    count: () => holders.size
  }
}
