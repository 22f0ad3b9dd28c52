/** Hands the choice of an endpoint what it depends on: the endpoints as they are now, and what the request shares. */
import * as admission from './admission.js'
import * as chooseEndpoints from './chooseEndpoint.js'
import type * as clientCalls from './clientCall.js'
import type * as endpointPools from './endpointPool.js'
import * as numbers from './numbers.js'

/** A request that no endpoint ran, or the rest of a stream, may be offered to this many of them. */
export const MAX_SENDS = 4

/** What came of the choice. */
export type Selection =
  | ({ kind: 'picked' } & SelectedEndpoint)
  /** The request would wait too long wherever it may go, for this time at least. */
  | { kind: 'busy', delayMs: number }
  | { kind: 'none' }

/** An endpoint with the reason for its choice and its load out of that of all. */
export interface SelectedEndpoint { endpoint: endpointPools.Endpoint, why: string, /** Address of the endpoint whose cache may hold the prompt. */ fetchFrom: string | undefined }

/**
 * Chooses among the endpoints that were not tried yet.
 * @param call the request
 * @param tried ids of those that were
 * @param delayLimitMs where the request would wait longer than this it is not sent, milliseconds
 * @returns the endpoint, or why there is none
 */
export function selectEndpoint (call: clientCalls.ClientCall, tried: ReadonlySet<string>, delayLimitMs: number): Selection {
  const { ctx, route } = call
  const now = ctx.now()
  const maxConnections = call.table.services.get(call.service)?.maxConnections ?? Infinity
  const share = Math.max(2, Math.floor(maxConnections / ctx.gossip.instanceCount()))
  const usable = ctx.pool.usable(call.service, now).map((item): chooseEndpoints.Candidate => ({
    id: item.id,
    zone: item.record.zone,
    load: item.inFlight + item.peerInFlight,
    ownInFlight: item.inFlight,
    slots: Math.max(1, item.record.slots),
    isCold: item.record.coldMs > 0,
    delayMs: item.queueDelay.estimateMs(now) ?? item.peerQueueDelayMs ?? 0,
    freeConnections: share - item.inFlight,
    ageMs: toAge(item)
  }))
  const worse = ctx.outliers.findOutliers(call.service, usable, now)
  const candidates = usable.filter(item => !worse.has(item.id) && !tried.has(item.id))
  const affinity = route.hasPrompt ? toAffinity(admission.findHeader(call.req.rawHeaders, ctx.names.promptParts)) : undefined
  const choice = chooseEndpoints.chooseEndpoint(candidates, { affinity, zone: ctx.zone, delayLimitMs }, Math.random())
  if (choice.kind !== 'chosen') return choice
  const endpoint = ctx.pool.get(choice.id)
  if (endpoint === undefined) return { kind: 'none' }
  const source = affinity === undefined || call.table.services.get(call.service)?.canFetch !== true ? undefined : findSource(call, tried, affinity, endpoint.id)
  const why = `${choice.why} ${endpoint.inFlight + endpoint.peerInFlight}/${numbers.sum(candidates.map(item => item.load))}${source === undefined ? '' : ` from ${source.id}`}`
  return { kind: 'picked', endpoint, why, fetchFrom: source?.record.address }
}

function findSource (call: clientCalls.ClientCall, tried: ReadonlySet<string>, affinity: string, chosen: string): endpointPools.Endpoint | undefined {
  const { ctx } = call
  const sources = ctx.pool.reachable(call.service, ctx.now())
    .filter(item => item.id === chosen || !tried.has(item.id))
    .map((item): chooseEndpoints.CacheSource => ({ id: item.id, ageMs: toAge(item) }))
  const id = chooseEndpoints.chooseCacheSource(sources, affinity, chosen)
  return id === undefined ? undefined : ctx.pool.get(id)
}

/** The clocks of two machines may differ by seconds, which moves a newcomer's share of prompts by a few in a hundred at most. */
function toAge (endpoint: endpointPools.Endpoint): number {
  return endpoint.record.startedAt === 0 ? Infinity : Math.max(0, Date.now() - endpoint.record.startedAt)
}

/** The parts of a prompt that it shares with others: all but the last one. */
function toAffinity (parts: string | undefined): string | undefined {
  if (parts === undefined) return undefined
  const ids = parts.split(',').map(part => part.split(':')[0].trim())
  return ids.length > 1 ? ids.slice(0, -1).join(',') : undefined
}
