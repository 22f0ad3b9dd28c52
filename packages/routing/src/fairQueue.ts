/**
 * The queue before one endpoint: by rank of priority first, then fair between client accounts by weight. An account that
 * surges makes its own queue long and nobody else's.
 */

/** A request that waits. */
export interface QueueEntry<T> {
  item: T
  rank: number
  account: string
  /** Share relative to the other accounts. */
  weight: number
}

/** The queue before one endpoint. */
export interface FairQueue<T> {
  push (waiting: QueueEntry<T>): void
  /** Takes the next request for which `accepts` holds. */
  take (accepts?: (item: T) => boolean): QueueEntry<T> | undefined
  /** Removes a request. @returns whether it was there */
  remove (item: T): boolean
  size (): number
  /** @returns how many requests of this rank or a better one wait */
  countAhead (rank: number): number
  /** @returns every waiting request */
  items (): T[]
}

interface Flow<T> { account: string, rank: number, virtualTime: number, waiting: Array<QueueEntry<T>> }

/**
 * Creates an empty queue.
 * @returns the queue
 */
export function createFairQueue<T> (): FairQueue<T> {
  let flows: Array<Flow<T>> = []
  const clocks = new Map<number, number>()

  const find = (rank: number, account: string): Flow<T> => {
    const known = flows.find(flow => flow.rank === rank && flow.account === account)
    if (known !== undefined) return known
    // A newcomer starts at the rank's clock: an account gains nothing from having been idle.
    const flow = { account, rank, virtualTime: clocks.get(rank) ?? 0, waiting: [] }
    flows.push(flow)
    return flow
  }

  const prune = (): void => { flows = flows.filter(flow => flow.waiting.length > 0) }

  return {
    push (waiting) { find(waiting.rank, waiting.account).waiting.push(waiting) },
    take (accepts = () => true) {
      const ordered = [...flows].sort((a, b) => a.rank - b.rank || a.virtualTime - b.virtualTime)
      for (const flow of ordered) {
        const at = flow.waiting.findIndex(waiting => accepts(waiting.item))
        if (at < 0) continue
        const [taken] = flow.waiting.splice(at, 1)
        clocks.set(flow.rank, flow.virtualTime)
        flow.virtualTime += 1 / taken.weight
        prune()
        return taken
      }
      return undefined
    },
    remove (item) {
      for (const flow of flows) {
        const at = flow.waiting.findIndex(waiting => waiting.item === item)
        if (at < 0) continue
        flow.waiting.splice(at, 1)
        prune()
        return true
      }
      return false
    },
    size: () => flows.reduce((sum, flow) => sum + flow.waiting.length, 0),
    countAhead: rank => flows.reduce((sum, flow) => sum + (flow.rank <= rank ? flow.waiting.length : 0), 0),
    items: () => flows.flatMap(flow => flow.waiting.map(waiting => waiting.item))
  }
}
