/** Runs an admitted request from its admission to the end of its response. */
import * as contracts from '@kingcupdeck/contracts'
import * as admission from '../admission/admission.js'
import * as clientCalls from '../attempts/clientCall.js'
import type * as entryContexts from './entryContext.js'
import * as forwards from '../attempts/forward.js'
import * as promptParts from '../attempts/promptParts.js'
import * as routeTables from '../admission/routeTable.js'
import type * as requestGuards from './requestGuard.js'
import * as suspectKeys from '../quarantine/suspectKey.js'
import * as unexpectedErrors from './unexpectedError.js'

/** An admitted request whose body was read. */
export interface AdmittedRequest {
  request: requestGuards.GuardedRequest
  ctx: entryContexts.EntryContext
  /** When the request headers were received. */
  startedAt: number
  /** The document that it was checked against. */
  table: routeTables.CompiledTable
  admitted: Extract<admission.Admission, { kind: 'admitted' }>
  body: Buffer
}

/** Forwards a request. Resolves when its response was written, or its client has left. */
export async function runAdmitted (opts: AdmittedRequest): Promise<void> {
  const { request, ctx, table, admitted, body, startedAt } = opts
  const { req, res } = request
  const { route, account, allowedRegions } = admitted
  const waitMs = Math.min(route.timeoutMs, admitted.clientDeadlineMs ?? Infinity)
  const service = routeTables.pickService(route, Math.random())
  const fingerprint = suspectKeys.toRequestKey(account?.name, req.method ?? '', req.url ?? '', body)
  const sharedParts = promptParts.toSharedParts(req.rawHeaders, ctx.names.promptParts)
  const call: clientCalls.ClientCall = {
    req,
    res,
    ctx,
    route,
    table,
    service,
    account: account?.name,
    accountRank: account?.rank ?? null,
    allowedRegions,
    attemptId: admitted.attemptId,
    body,
    fingerprint,
    sharedParts,
    suspects: [fingerprint, ...suspectKeys.toPartKeys(service, admission.findHeader(req.rawHeaders, ctx.names.model), sharedParts)],
    startedAt,
    deadlineAt: startedAt + waitMs,
    aborter: new AbortController(),
    attempts: [],
    isSent: false,
    mayHaveRun: false,
    firstByteAt: undefined
  }
  request.call = call
  const timer = setTimeout(() => { call.aborter.abort('the deadline has passed') }, contracts.input.toTimerMs(call.deadlineAt - ctx.now()))
  const onClose = (): void => {
    // A request that may run only once is not aborted, because it cannot be retried.
    if (!res.writableFinished && route.kind !== 'once') call.aborter.abort(clientCalls.CLIENT_LEFT)
  }
  res.on('close', onClose)
  ctx.metrics.open.inc()
  const recordEnd = ctx.durations.recordStart(route.name)
  let outcome = 'error'
  try {
    outcome = await forwards.forward(call).catch(err => unexpectedErrors.endWithError(call, err))
    logEnd(call, outcome)
  } finally {
    clearTimeout(timer)
    recordEnd(outcome.startsWith('2'))
    ctx.metrics.open.dec()
  }
}

function logEnd (call: clientCalls.ClientCall, outcome: string): void {
  const { ctx, route } = call
  const now = ctx.now()
  const labels = { account: ctx.metrics.toAccountLabel(call.account ?? ''), route: ctx.metrics.toRouteLabel(route.name) }
  if (call.firstByteAt !== undefined) ctx.metrics.firstByte.observe(labels, (call.firstByteAt - call.startedAt) / 1000)
  ctx.metrics.duration.observe(labels, (now - call.startedAt) / 1000)
  ctx.metrics.requests.inc({ route: labels.route, outcome: outcome.slice(0, 3) })
  ctx.log.event('requestEnded', {
    request: call.attemptId,
    fingerprint: call.fingerprint,
    route: route.name,
    account: call.account,
    service: call.service,
    outcome,
    document: call.table.version,
    waitMs: Math.round(call.deadlineAt - call.startedAt),
    firstMs: call.firstByteAt === undefined ? undefined : Math.round(call.firstByteAt - call.startedAt),
    totalMs: Math.round(now - call.startedAt),
    // Tells endpoints that this instance does not reach from endpoints that are busy.
    reach: outcome.startsWith('50') ? ctx.pool.describeReach(call.service, now) : undefined,
    attempts: call.attempts.map(item => `${item.endpoint} (${item.why}) ${item.outcome} ${item.ms}`).join('; ')
  })
}
