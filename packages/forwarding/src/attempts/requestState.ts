/** Retry state of a request: where it was sent, and how many endpoints may have run it. */
import type * as clientCalls from './clientCall.js'
import * as clientResponses from './clientResponse.js'
import * as routeTables from '../admission/routeTable.js'

/** Retry state of a request. */
export interface RequestState {
  /** Ids of the endpoints that were tried. */
  readonly tried: Set<string>
  /** Number of endpoints that received the request, whether they ran it or not. */
  sends: number
  /** Number of endpoints that it could not be sent to because of a value of theirs, or of its own. */
  unsendable: number
  /** Number of endpoints that may have run it. */
  runs: number
  /** Ids of the endpoints that may be tried again, because only the path to them was lost; each once. */
  readonly excused: Set<string>
  /** Resolve when it is known whether the paths to endpoints that could not be connected to are lost. */
  readonly verdicts: Set<Promise<void>>
  /** Whether the request may be sent once more as a trial, because the endpoint of its trial could not be connected to. */
  holdsTrialPermit: boolean
  /** Error response of an endpoint, sent to the client if no other endpoint succeeds. */
  fallback: clientResponses.BufferedResponse | undefined
}

export function createRequestState (): RequestState {
  return { tried: new Set(), sends: 0, unsendable: 0, runs: 0, excused: new Set(), verdicts: new Set(), holdsTrialPermit: false, fallback: undefined }
}

/** Returns whether one more endpoint may run a request. */
export function mayRun (route: routeTables.Route, runs: number): boolean {
  return runs === 0 || (runs < route.maxAttempts && routeTables.isRepeatable(route))
}

/** Returns whether the client has left or too little time remains for an attempt. A run that has begun may go on without the client. */
export function isOver (call: clientCalls.ClientCall): boolean {
  return call.aborter.signal.aborted || call.res.destroyed || call.deadlineAt - call.ctx.now() < clientResponses.MIN_REMAINING_MS
}

/**
 * Takes one retry of a request from the budget of its service.
 * @param share share of the budget that may be used, the whole by default
 * @returns false if it is exhausted
 */
export function trySpendRetry ({ ctx, service }: clientCalls.ClientCall, share?: number): boolean {
  return ctx.retryBudget(service).trySpend(ctx.now(), ctx.gossip.instanceCount(), share)
}

/** Returns whether a request may only be sent once a trial of its suspects is permitted. */
export function needsTrialPermit ({ ctx, suspects }: clientCalls.ClientCall, state: RequestState): boolean {
  return !state.holdsTrialPermit && ctx.quarantine.judge(suspects, ctx.now()).kind === 'trial'
}

/** Asks for the permit of a trial, which is valid until an endpoint was connected to. @returns whether it was granted */
export async function requestTrialPermit ({ ctx, suspects }: clientCalls.ClientCall, state: RequestState): Promise<boolean> {
  state.holdsTrialPermit = await ctx.trialPermits.maySend(suspects)
  return state.holdsTrialPermit
}

/** Records that an endpoint may have run a request. From then on it must not be reported as not run. */
export function recordRun (call: clientCalls.ClientCall, state: RequestState): void {
  state.sends++
  state.runs++
  call.mayHaveRun = true
}

/** Lets a request be sent to an endpoint again after a connection to it failed. */
export function excuse (state: RequestState, endpointId: string): void {
  if (state.excused.has(endpointId)) return
  state.excused.add(endpointId)
  state.tried.delete(endpointId)
}

/**
 * Waits until it is known which paths are lost, if a request has no endpoint left.
 * @returns whether there was anything to wait for
 */
export async function awaitVerdicts (call: clientCalls.ClientCall, state: RequestState): Promise<boolean> {
  if (state.verdicts.size === 0 || call.aborter.signal.aborted) return false
  await Promise.all(state.verdicts)
  return true
}
