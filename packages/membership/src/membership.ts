/**
 * Fleet membership of an entry instance: its lease, the fleet view, the configuration document, and fleet-wide loads and
 * limits. Received with lease renewals, and pushed by the control leader in between.
 */
import * as most from 'most'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as controlClient from './controlClient.js'
import * as fleetViews from './fleetViews.js'

/** Load that all other instances have on a pool, with the monotonic time of its receipt. */
export interface RemoteLoad extends contracts.PoolLoad { receivedAt: number }

/** Fleet membership of this instance. */
export interface Membership {
  readonly views: fleetViews.Views
  readonly control: controlClient.ControlClient
  /** @returns this instance with its current incarnation; 0 until a lease is granted */
  self (): contracts.Instance
  /** @returns whether the lease is valid, the document is known and the view contains this incarnation */
  isServing (): boolean
  /** @returns milliseconds until the lease expires; negative after expiry */
  leaseRemainingMs (): number
  document (): contracts.Document | null
  documentVersion (): number
  /** @returns the load that all other instances have on a pool; undefined before the first report */
  remoteLoad (pool: string): RemoteLoad | undefined
  /** @returns the fraction of a client account's demand that may pass; 1 when it is within its limit */
  accountShare (account: string): number
  /** Emits each new version of the configuration document. */
  readonly documents: most.Stream<contracts.Document>
  /** Emits the number of each new view. */
  readonly viewNumbers: most.Stream<number>
  /** Emits when the loads of other instances were received. */
  readonly poolLoadUpdates: most.Stream<null>
  /**
   * Schedules a load report to the control leader before the next renewal.
   * @param isUrgent shortens the delay, for when requests are queued for the load cap
   */
  reportLoads (isUrgent: boolean): void
  /** Announces that this instance accepts no new callers and owns no endpoints any more. */
  drain (): Promise<void>
  /** Returns the lease and stops renewing it. */
  leave (): Promise<void>
  stop (): void
}

export interface MembershipOptions {
  instance: Omit<contracts.Instance, 'incarnation' | 'leaving'>
  controls: readonly controlClient.ControlAddress[]
  secret: string
  log: telemetry.Log
  invariants: telemetry.Invariants
  count?: links.CountBytes
  /** @returns the load that this instance has on each pool */
  loads (): contracts.PoolLoad[]
  /** @returns the requests of each client account since the last call */
  collectDemand (): Array<{ account: string, count: number }>
}

const RENEW_TIMEOUT_MS = 2500
/** Delay that coalesces load reports between renewals. */
const REPORT_DELAY_MS = 200
const URGENT_REPORT_DELAY_MS = 15

/** Joins the fleet and renews the lease until stopped. */
export function createMembership (opts: MembershipOptions): Membership {
  const views = fleetViews.createViews()
  const documents = links.createSubject<contracts.Document>()
  const viewNumbers = links.createSubject<number>()
  const poolNews = links.createSubject<null>()
  let incarnation = 0
  let isLeaving = false
  let hasLeft = false
  let leaseExpiresAt = -Infinity
  let wasServing = false
  let document: contracts.Document | null = null
  let documentVersion = 0
  const pools = new Map<string, RemoteLoad>()
  let shares = new Map<string, number>()
  let reportTimer: NodeJS.Timeout | undefined
  let isReportUrgent = false

  let cachedSelf: contracts.Instance = { ...opts.instance, incarnation, leaving: isLeaving }
  const self = (): contracts.Instance => {
    if (cachedSelf.incarnation !== incarnation || cachedSelf.leaving !== isLeaving) cachedSelf = { ...opts.instance, incarnation, leaving: isLeaving }
    return cachedSelf
  }

  const control = controlClient.createControlClient({
    identity: { role: 'router', id: opts.instance.id },
    secret: opts.secret,
    log: opts.log,
    countBytes: opts.count,
    controls: opts.controls,
    onEvent: msg => { onEvent(msg) }
  })

  const onEvent = (msg: contracts.ControlEvent): void => {
    switch (msg.t) {
      case 'view': applyView(msg.view); acknowledgeView(); break
      case 'document': applyDocument(msg.document); acknowledgeView(); break
      case 'pools': applyPools(msg.pools); break
      case 'loads':
      case 'viewSeen': break
    }
  }

  const acknowledgeView = (): void => {
    control.send({ t: 'viewSeen', instance: opts.instance.id, incarnation, viewSeen: views.number(), documentVersion })
  }

  const applyView = (update: contracts.ViewUpdate): void => {
    if (views.apply(update)) viewNumbers.next(views.number())
  }

  // Guards against a reverted configuration: an isolated control leader or a delayed message may offer an older version.
  const applyDocument = (update: contracts.DocumentUpdate): void => {
    if (update.version <= documentVersion) return
    let next: contracts.Document
    if (update.whole !== undefined) next = update.whole as contracts.Document
    else if (document !== null && update.baseVersion === documentVersion && update.changes !== undefined) next = contracts.applyChanges(document, update.changes)
    else return
    opts.invariants.check('documentNeverReverts', update.version > documentVersion, () => `version ${update.version} after ${documentVersion}`)
    document = next
    documentVersion = update.version
    opts.log.event('documentInForce', { version: documentVersion })
    documents.next(next)
  }

  const applyPools = (list: readonly contracts.PoolLoad[]): void => {
    const receivedAt = performance.now()
    pools.clear()
    for (const item of list) pools.set(item.pool, { ...item, receivedAt })
    poolNews.next(null)
  }

  const renew = async (): Promise<void> => {
    if (hasLeft) return
    const requestedIncarnation = incarnation
    // The lease starts before the renewal is sent, so that it expires here before it expires at the leader.
    const sentAt = performance.now()
    const reply = await control.call('fleet', {
      t: 'renew', id: opts.instance.id, incarnation, leaving: isLeaving, instance: incarnation === 0 ? self() : undefined, viewSeen: views.number(), documentVersion, loads: opts.loads(), demand: opts.collectDemand()
    }, RENEW_TIMEOUT_MS)
    switch (reply.t) {
      case 'lease':
        if (incarnation !== requestedIncarnation) return
        incarnation = reply.incarnation
        applyView(reply.view)
        if (reply.document !== undefined) applyDocument(reply.document)
        applyPools(reply.pools)
        shares = new Map(reply.limits.map(item => [item.account, item.share]))
        leaseExpiresAt = Math.max(leaseExpiresAt, sentAt + reply.leaseMs)
        break
      case 'lapsed':
        // Requests dispatched to the lapsed incarnation are void.
        if (reply.incarnation === incarnation) incarnation = 0
        leaseExpiresAt = -Infinity
        break
      default: break
    }
    logServingChange()
  }

  const logServingChange = (): void => {
    const isServingNow = isServing()
    if (isServingNow === wasServing) return
    wasServing = isServingNow
    opts.log.event(isServingNow ? 'leaseGranted' : 'leaseLost', { incarnation, view: views.number() })
  }

  const isServing = (): boolean => {
    if (performance.now() >= leaseExpiresAt || document === null || incarnation === 0) return false
    return views.find(opts.instance.id)?.incarnation === incarnation
  }

  const stopRenewing = links.startPeriodic(contracts.LEASE_RENEW_INTERVAL_MS, renew, () => { logServingChange() })
  // Deferred until the caller has the membership: the first renewal calls `opts.loads`.
  setImmediate(() => { renew().catch(() => {}) })

  return {
    views,
    control,
    self,
    isServing,
    leaseRemainingMs: () => leaseExpiresAt - performance.now(),
    document: () => document,
    documentVersion: () => documentVersion,
    remoteLoad: pool => pools.get(pool),
    accountShare: account => shares.get(account) ?? 1,
    documents: documents.stream,
    viewNumbers: viewNumbers.stream,
    poolLoadUpdates: poolNews.stream,
    reportLoads (isUrgent) {
      if (reportTimer !== undefined && (!isUrgent || isReportUrgent)) return
      clearTimeout(reportTimer)
      isReportUrgent = isUrgent
      reportTimer = setTimeout(() => {
        reportTimer = undefined
        if (isServing()) control.send({ t: 'loads', instance: opts.instance.id, incarnation, loads: opts.loads(), isUrgent })
      }, isUrgent ? URGENT_REPORT_DELAY_MS : REPORT_DELAY_MS)
    },
    async drain () {
      isLeaving = true
      await renew().catch(() => {})
    },
    async leave () {
      hasLeft = true
      await control.call('fleet', { t: 'leave', instance: opts.instance.id, incarnation }, RENEW_TIMEOUT_MS).catch(() => {})
      leaseExpiresAt = -Infinity
    },
    stop () {
      clearTimeout(reportTimer)
      stopRenewing()
      control.close()
    }
  }
}
