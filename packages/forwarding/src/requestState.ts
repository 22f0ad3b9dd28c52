/** A request on its way from endpoint to endpoint: where it was sent, and how many endpoints may have run it. */
import type * as clientResponses from './clientResponse.js'
import type * as clientCalls from './clientCall.js'
import * as routeTables from './routeTable.js'

/** A request on its way from endpoint to endpoint. */
export interface RequestState {
  /** What makes it the same request when it is sent again. */
  readonly fingerprint: string
  /** Ids of the endpoints that were tried. */
  readonly tried: Set<string>
  /** Endpoints that read the request, whether they ran it or not. */
  sends: number
  /** Endpoints that may have run it, whatever they answered. */
  runs: number
  /** A failure that an endpoint answered, held back while a better answer is tried for. */
  fallback: clientResponses.BufferedResponse | undefined
}

/**
 * Creates the course of a request that was sent nowhere yet.
 * @param fingerprint what makes it the same request when it is sent again
 * @returns the course
 */
export function createRequestState (fingerprint: string): RequestState {
  return { fingerprint, tried: new Set(), sends: 0, runs: 0, fallback: undefined }
}

/**
 * Tells whether one more endpoint may run a request.
 * @param route its route
 * @param runs how many endpoints may have run it
 * @returns whether the route allows it
 */
export function mayRun (route: routeTables.Route, runs: number): boolean {
  return runs === 0 || (runs < route.maxAttempts && routeTables.isRepeatable(route))
}

/**
 * Notes that an endpoint may have run a request. From here on nobody may be told that it did not run.
 * @param call the request
 * @param course its course
 */
export function recordRun (call: clientCalls.ClientCall, course: RequestState): void {
  course.sends++
  course.runs++
  call.mayHaveRun = true
}
