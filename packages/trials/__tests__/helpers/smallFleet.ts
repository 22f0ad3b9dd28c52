/** A small fleet for tests, and helpers to send requests to it. */
import * as ava from 'ava'
import * as contracts from '@kingcupdeck/contracts'
import * as localFleet from '../../src/localFleet.js'

export { pause, waitUntil } from '../../src/localFleet.js'

export type SmallFleet = localFleet.LocalFleet

/** Starts a small fleet, waits until it is ready, and stops it at the teardown of `t`. */
export async function startSmallFleet (t: { teardown?: ava.ExecutionContext['teardown'] }, opts: localFleet.LocalFleetOptions = {}): Promise<SmallFleet> {
  const fleet = await localFleet.startLocalFleet(opts)
  t.teardown?.(fleet.stop)
  return fleet
}

/** A response with its parsed JSON body. */
export interface Reply { status: number, headers: Headers, body: unknown }

/**
 * Posts JSON with the demo token of a client account.
 * @param body sent as it is if it is a string
 */
export async function post (url: string, account: string, body: unknown, headers: Record<string, string> = {}): Promise<Reply> {
  const res = await fetch(url, { method: 'POST', headers: { authorization: `Bearer demo-${account}`, 'content-type': 'application/json', ...headers }, body: typeof body === 'string' ? body : JSON.stringify(body) })
  return { status: res.status, headers: res.headers, body: await res.json() }
}

/** Returns the error object of a response body. */
export function toError (reply: Reply): contracts.ErrorBody['error'] {
  return (reply.body as contracts.ErrorBody).error
}
