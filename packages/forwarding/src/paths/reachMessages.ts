/** Messages by which entry instances find out who reaches which endpoints. */
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as boundedLists from '../gossip/boundedList.js'

/** Endpoints in one question; a sender with more of them asks again. */
export const MAX_ASKED_ENDPOINTS = 64

/** Asks an entry instance which endpoints it reaches without the help of others. */
export const reachCall = z.object({
  t: z.literal('reach'),
  /** Id and address of each endpoint. */
  endpoints: boundedLists.boundedList(z.tuple([boundedLists.key, boundedLists.key]), MAX_ASKED_ENDPOINTS),
  /** Age of a response of an endpoint, in milliseconds, up to which the endpoint counts as reached without a probe. */
  maxAgeMs: contracts.input.durationMs
})
/** Asks an entry instance which endpoints it reaches without the help of others. */
export type ReachCall = z.infer<typeof reachCall>

/** Ids of the endpoints that the instance reaches, and the number of requests and tunnels that it serves. */
export const reachReply = z.object({ reached: boundedLists.keyList(MAX_ASKED_ENDPOINTS), load: boundedLists.requests })
/** Ids of the endpoints that the instance reaches, and the number of requests and tunnels that it serves. */
export type ReachReply = z.infer<typeof reachReply>

/** Target of a tunnel: an endpoint by id and address, since its address may belong to another one later. */
export function toTarget (endpoint: { id: string, record: { address: string } }): string {
  return `${endpoint.id} ${endpoint.record.address}`
}
