/** Endpoints by id, by service and by address, so that neither a request nor a record costs more the more others there are. */
import type * as endpointPools from './endpointPool.js'

/** The endpoints of a pool. */
export interface EndpointIndex {
  get (id: string): endpointPools.Endpoint | undefined
  /** Adds an endpoint, or replaces the one with its id; again after a change of its service. */
  put (endpoint: endpointPools.Endpoint): void
  remove (id: string): void
  all (): IterableIterator<endpointPools.Endpoint>
  ofService (service: string): Iterable<endpointPools.Endpoint>
  /**
   * Notes the start of an endpoint at its address.
   * @returns the noted ones that started there earlier, which are then no longer noted
   */
  addStart (endpoint: endpointPools.Endpoint): endpointPools.Endpoint[]
  /** Forgets the starts of endpoints that were removed or replaced. */
  pruneStarts (): void
}

/** Creates an empty index. */
export function createEndpointIndex (): EndpointIndex {
  const endpointById = new Map<string, endpointPools.Endpoint>()
  const serviceById = new Map<string, string>()
  const groupByService = new Map<string, Map<string, endpointPools.Endpoint>>()
  /** The earliest start is the last of each list, and a later one removes it: each start is compared a bounded number of times. */
  const startsByAddress = new Map<string, endpointPools.Endpoint[]>()

  const isCurrent = (endpoint: endpointPools.Endpoint): boolean => endpointById.get(endpoint.id) === endpoint

  const leaveService = (id: string): void => {
    const service = serviceById.get(id)
    if (service === undefined) return
    const group = groupByService.get(service)
    group?.delete(id)
    if (group?.size === 0) groupByService.delete(service)
    serviceById.delete(id)
  }

  return {
    get: id => endpointById.get(id),
    put (endpoint) {
      const { id, record: { service } } = endpoint
      endpointById.set(id, endpoint)
      if (serviceById.get(id) !== service) leaveService(id)
      serviceById.set(id, service)
      const group = groupByService.get(service)
      if (group === undefined) groupByService.set(service, new Map([[id, endpoint]]))
      else group.set(id, endpoint)
    },
    remove (id) {
      leaveService(id)
      endpointById.delete(id)
    },
    all: () => endpointById.values(),
    ofService: service => groupByService.get(service)?.values() ?? [],
    addStart (endpoint) {
      const { address, startedAt } = endpoint.record
      const starts = startsByAddress.get(address)
      if (starts === undefined) {
        startsByAddress.set(address, [endpoint])
        return []
      }
      const earlier: endpointPools.Endpoint[] = []
      for (let last = starts.at(-1); last !== undefined && (!isCurrent(last) || last.record.startedAt < startedAt); last = starts.at(-1)) {
        starts.pop()
        if (isCurrent(last)) earlier.push(last)
      }
      starts.push(endpoint)
      return earlier
    },
    pruneStarts () {
      for (const [address, starts] of startsByAddress) {
        const current = starts.filter(isCurrent)
        if (current.length === 0) startsByAddress.delete(address)
        else if (current.length < starts.length) startsByAddress.set(address, current)
      }
    }
  }
}
