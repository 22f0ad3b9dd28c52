/**
 * An instance's membership: its lease, the view, the document in force, and the fleet-wide loads and limits, all of which
 * come with the renewals of the lease or are pushed in between.
 */
import * as most from 'most'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as controlClient from './controlClient.js'
import * as fleetViews from './fleetViews.js'

/** The load of a pool at all other instances, with when it was heard. */
export interface RemoteLoad extends contracts.PoolLoad { receivedAt: number }

/** What an instance is to its fleet. */
export interface Membership {
  readonly views: fleetViews.Views
  readonly control: controlClient.ControlClient
  /** @returns this instance as the view names it */
  self (): contracts.Instance
  /** @returns whether the lease lasts, the document is known and the view holds this instance */
  isServing (): boolean
  /** @returns milliseconds of lease left; negative once it ran out */
  leaseRemainingMs (): number
  document (): contracts.Document | null
  documentVersion (): number
  /** @returns what all other instances have in flight on a pool */
  remoteLoad (pool: string): RemoteLoad | undefined
  /** @returns the share of a client account's traffic that may pass, 1 when it is within its limit */
  accountShare (account: string): number
  /** Each new version of the document that came into force. */
  readonly documents: most.Stream<contracts.Document>
  /** Each new view. */
  readonly viewNumbers: most.Stream<number>
  /** Ticks when the loads of other instances were heard. */
  readonly poolLoadUpdates: most.Stream<null>
  /** Tells the leader of changed loads without waiting for the next renewal; at once where requests wait for the cap. */
  reportLoads (isUrgent: boolean): void
  /** Tells the fleet that this instance takes no new callers and owns nothing any more. */
  drain (): Promise<void>
  /** Gives the lease back. */
  leave (): Promise<void>
  stop (): void
}

/** What a membership is built from. */
export interface MembershipOptions {
  instance: Omit<contracts.Instance, 'incarnation' | 'leaving'>
  controls: readonly controlClient.ControlAddress[]
  secret: string
  log: telemetry.Log
  invariants: telemetry.Invariants
  count?: links.CountBytes
  /** @returns what this instance has in flight, per pool */
  loads (): contracts.PoolLoad[]
  /** @returns requests per client account since the last call */
  collectDemand (): Array<{ account: string, count: number }>
}

const RENEW_TIMEOUT_MS = 2500
/** At most this often, loads are reported between renewals. */
const REPORT_MS = 200
const URGENT_REPORT_MS = 15

/**
 * Joins the fleet and keeps the lease until stopped.
 * @param opts who this instance is
 * @returns the membership; it serves once the first lease is granted
 */
export function createMembership (opts: MembershipOptions): Membership {
  const views = fleetViews.createViews()
  const documents = links.createSubject<contracts.Document>()
  const viewNumbers = links.createSubject<number>()
  const poolNews = links.createSubject<null>()
  let incarnation = 0
  let isLeaving = false
  let hasLeft = false
  let leaseUntil = -Infinity
  let wasServing = false
  let document: contracts.Document | null = null
  let documentVersion = 0
  const pools = new Map<string, RemoteLoad>()
  let shares = new Map<string, number>()
  let reportTimer: NodeJS.Timeout | undefined
  let isReportUrgent = false

  let known: contracts.Instance = { ...opts.instance, incarnation, leaving: isLeaving }
  const self = (): contracts.Instance => {
    if (known.incarnation !== incarnation || known.leaving !== isLeaving) known = { ...opts.instance, incarnation, leaving: isLeaving }
    return known
  }

  const control = controlClient.createControlClient({
    identity: { role: 'router', id: opts.instance.id },
    secret: opts.secret,
    log: opts.log,
    countBytes: opts.count,
    controls: opts.controls,
    onEvent: msg => { takeEvent(msg) }
  })

  const takeEvent = (msg: contracts.ControlEvent): void => {
    switch (msg.t) {
      case 'view': takeView(msg.view); sendSeen(); break
      case 'document': takeDocument(msg.document); sendSeen(); break
      case 'pools': takePools(msg.pools); break
      case 'loads':
      case 'viewSeen': break
    }
  }

  const sendSeen = (): void => {
    control.send({ t: 'viewSeen', instance: opts.instance.id, incarnation, viewSeen: views.number(), documentVersion })
  }

  const takeView = (update: contracts.ViewUpdate): void => {
    if (views.apply(update)) viewNumbers.next(views.number())
  }

  // Guards against a reverted configuration: an isolated control leader, or a message that was long under way, may
  // offer an older version. Versions are given by the log, so a lower one is always older news.
  const takeDocument = (update: contracts.DocumentUpdate): void => {
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

  const takePools = (list: readonly contracts.PoolLoad[]): void => {
    const heardAt = performance.now()
    pools.clear()
    for (const item of list) pools.set(item.pool, { ...item, receivedAt: heardAt })
    poolNews.next(null)
  }

  const renew = async (): Promise<void> => {
    if (hasLeft) return
    const asked = incarnation
    // The lease counts from before the renewal is sent: however long the answer takes, the leader's count ends later.
    const sentAt = performance.now()
    const reply = await control.call('fleet', {
      t: 'renew', id: opts.instance.id, incarnation, leaving: isLeaving, instance: incarnation === 0 ? self() : undefined, viewSeen: views.number(), documentVersion, loads: opts.loads(), demand: opts.collectDemand()
    }, RENEW_TIMEOUT_MS)
    switch (reply.t) {
      case 'lease':
        if (incarnation !== asked) return
        incarnation = reply.incarnation
        takeView(reply.view)
        if (reply.document !== undefined) takeDocument(reply.document)
        takePools(reply.pools)
        shares = new Map(reply.limits.map(item => [item.account, item.share]))
        leaseUntil = Math.max(leaseUntil, sentAt + reply.leaseMs)
        break
      case 'lapsed':
        // Requests that were handed to the lapsed incarnation are void from now on.
        if (reply.incarnation === incarnation) incarnation = 0
        leaseUntil = -Infinity
        break
      default: break
    }
    noteServing()
  }

  const noteServing = (): void => {
    const isServingNow = isServing()
    if (isServingNow === wasServing) return
    wasServing = isServingNow
    opts.log.event(isServingNow ? 'leaseGranted' : 'leaseLost', { incarnation, view: views.number() })
  }

  const isServing = (): boolean => {
    if (performance.now() >= leaseUntil || document === null || incarnation === 0) return false
    return views.find(opts.instance.id)?.incarnation === incarnation
  }

  const stopRenewing = links.startPeriodic(contracts.LEASE_RENEW_INTERVAL_MS, renew, () => { noteServing() })
  // Not before the caller holds what this returns: the first renewal asks it for its loads.
  setImmediate(() => { renew().catch(() => {}) })

  return {
    views,
    control,
    self,
    isServing,
    leaseRemainingMs: () => leaseUntil - performance.now(),
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
      }, isUrgent ? URGENT_REPORT_MS : REPORT_MS)
    },
    async drain () {
      isLeaving = true
      await renew().catch(() => {})
    },
    async leave () {
      hasLeft = true
      await control.call('fleet', { t: 'leave', instance: opts.instance.id, incarnation }, RENEW_TIMEOUT_MS).catch(() => {})
      leaseUntil = -Infinity
    },
    stop () {
      clearTimeout(reportTimer)
      stopRenewing()
      control.close()
    }
  }
}
