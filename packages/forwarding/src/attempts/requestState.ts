/** Retry state of a request: where it was sent, and how many endpoints may have run it. */
import type * as clientCalls from './clientCall.js'
import type * as clientResponses from './clientResponse.js'
import * as routeTables from '../admission/routeTable.js'

/** Retry state of a request. */
export interface RequestState {
  /** Ids of the endpoints that were tried. */
  readonly tried: Set<string>
  /** Number of endpoints that received the request, whether they ran it or not. */
  sends: number
  /** Number of endpoints that may have run it. */
  runs: number
  /** Error response of an endpoint, sent to the client if no other endpoint succeeds. */
  fallback: clientResponses.BufferedResponse | undefined
}

export function createRequestState (): RequestState {
  return { tried: new Set(), sends: 0, runs: 0, fallback: undefined }
}

/** Returns whether one more endpoint may run a request. */
export function mayRun (route: routeTables.Route, runs: number): boolean {
  return runs === 0 || (runs < route.maxAttempts && routeTables.isRepeatable(route))
}

/** Records that an endpoint may have run a request. From then on it must not be reported as not run. */
export function recordRun (call: clientCalls.ClientCall, state: RequestState): void {
  state.sends++
  state.runs++
  call.mayHaveRun = true
}
