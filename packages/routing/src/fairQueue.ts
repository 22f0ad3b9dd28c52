/** The request queue of one endpoint: strict priority by rank, weighted fair queueing between client accounts within a rank. */

/** A queued request. */
export interface QueueEntry<T> {
  item: T
  /** Priority; lower ranks are served first. */
  rank: number
  account: string
  /** Weight of the account relative to the other accounts. */
  weight: number
}

/** The request queue of one endpoint. */
export interface FairQueue<T> {
  push (entry: QueueEntry<T>): void
  /** Removes and returns the first request, in queue order, that `accepts` admits. */
  take (accepts?: (item: T) => boolean): QueueEntry<T> | undefined
  /** @returns whether the request was queued */
  remove (item: T): boolean
  size (): number
  /** @returns the number of queued requests with this rank or a lower one, which are served first */
  countAhead (rank: number): number
  items (): T[]
}

interface Flow<T> { account: string, rank: number, virtualTime: number, entries: Array<QueueEntry<T>> }

export function createFairQueue<T> (): FairQueue<T> {
  let flows: Array<Flow<T>> = []
  const virtualTimes = new Map<number, number>()

  const find = (rank: number, account: string): Flow<T> => {
    const existing = flows.find(flow => flow.rank === rank && flow.account === account)
    if (existing !== undefined) return existing
    // A new flow starts at the rank's virtual time, so that an idle account accumulates no credit.
    const flow = { account, rank, virtualTime: virtualTimes.get(rank) ?? 0, entries: [] }
    flows.push(flow)
    return flow
  }

  const removeEmptyFlows = (): void => { flows = flows.filter(flow => flow.entries.length > 0) }

  return {
    push (entry) { find(entry.rank, entry.account).entries.push(entry) },
    take (accepts = () => true) {
      const ordered = [...flows].sort((a, b) => a.rank - b.rank || a.virtualTime - b.virtualTime)
      for (const flow of ordered) {
        const at = flow.entries.findIndex(entry => accepts(entry.item))
        if (at < 0) continue
        const [taken] = flow.entries.splice(at, 1)
        virtualTimes.set(flow.rank, flow.virtualTime)
        flow.virtualTime += 1 / taken.weight
        removeEmptyFlows()
        return taken
      }
      return undefined
    },
    remove (item) {
      for (const flow of flows) {
        const at = flow.entries.findIndex(entry => entry.item === item)
        if (at < 0) continue
        flow.entries.splice(at, 1)
        removeEmptyFlows()
        return true
      }
      return false
    },
    size: () => flows.reduce((sum, flow) => sum + flow.entries.length, 0),
    countAhead: rank => flows.reduce((sum, flow) => sum + (flow.rank <= rank ? flow.entries.length : 0), 0),
    items: () => flows.flatMap(flow => flow.entries.map(entry => entry.item))
  }
}
