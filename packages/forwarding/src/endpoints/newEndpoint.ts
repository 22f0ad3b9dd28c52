/** Endpoints as they are first announced. */
import type * as net from 'node:net'
import type * as discovery from '@kingcupdeck/discovery'
import type * as endpointPools from './endpointPool.js'

/** Options of {@link createEndpoint}. */
export interface EndpointOptions {
  /** Opens a connection to an endpoint. @throws DialError when that fails */
  dial: (endpoint: endpointPools.Endpoint, helper?: string) => Promise<net.Socket>
  /** Returns whether a connection may be used for a further request; true by default. */
  mayReuse?: (socket: net.Socket) => boolean
  /** End of its warm-up, 0 if it is warm. */
  coldUntil: number
}

/** Creates an endpoint that was sent nothing yet. */
export function createEndpoint (record: discovery.EndpointRecord, { dial, mayReuse, coldUntil }: EndpointOptions): endpointPools.Endpoint {
  const endpoint: endpointPools.Endpoint = {
    id: record.id,
    record,
    agent: undefined,
    mayReuse: mayReuse ?? (() => true),
    dial: async helper => await dial(endpoint, helper),
    helpers: undefined,
    answeredAt: -Infinity,
    acceptedAt: -Infinity,
    inFlight: 0,
    peerInFlight: 0,
    queueDelay: undefined,
    peerQueueDelayMs: undefined,
    backoffUntil: 0,
    failures: 0,
    loggedFailures: 0,
    suspectedColdBefore: -Infinity,
    excesses: 0,
    excessUntil: -Infinity,
    misdirectedAt: undefined,
    coldUntil,
    suspectedColdAt: -Infinity,
    downListeners: new Set(),
    answerListeners: new Set()
  }
  return endpoint
}
