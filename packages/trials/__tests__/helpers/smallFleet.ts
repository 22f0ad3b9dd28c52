/** A small fleet for one test, and short ways to talk to it. */
import * as ava from 'ava'
import * as contracts from '@kingcupdeck/contracts'
import * as localFleet from '../../src/localFleet.js'

export { pause, waitUntil } from '../../src/localFleet.js'

/** A small fleet. */
export type SmallFleet = localFleet.LocalFleet

/**
 * Starts a small fleet; it ends with the test.
 * @param t the test, or its hook
 * @param opts what it is made of
 * @returns the fleet, ready
 */
export async function startSmallFleet (t: { teardown?: ava.ExecutionContext['teardown'] }, opts: localFleet.LocalFleetOptions = {}): Promise<SmallFleet> {
  const fleet = await localFleet.startLocalFleet(opts)
  t.teardown?.(fleet.stop)
  return fleet
}

/** A request to a fleet, with its answer. */
export interface Reply { status: number, headers: Headers, body: unknown }

/**
 * Sends JSON as a client account.
 * @param url the address
 * @param account the account; its demo token is used
 * @param body the body
 * @param headers further headers
 * @returns the answer
 */
export async function post (url: string, account: string, body: unknown, headers: Record<string, string> = {}): Promise<Reply> {
  const res = await fetch(url, { method: 'POST', headers: { authorization: `Bearer demo-${account}`, 'content-type': 'application/json', ...headers }, body: typeof body === 'string' ? body : JSON.stringify(body) })
  return { status: res.status, headers: res.headers, body: await res.json() }
}

/**
 * The error in an answer.
 * @param reply the answer
 * @returns its error object
 */
export function toError (reply: Reply): contracts.ErrorBody['error'] {
  return (reply.body as contracts.ErrorBody).error
}
