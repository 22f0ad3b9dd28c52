/** Background tasks of an owner: detects unresponsive endpoints, hands endpoints over after a view change, sends orders. */
import * as undici from 'undici'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as membership from '@kingcupdeck/membership'
import * as telemetry from '@kingcupdeck/telemetry'
import * as ownedEndpoint from './ownedEndpoint.js'
import type * as owners from './owner.js'

/** Dependencies of {@link startOwnerTasks}. */
export interface OwnerTaskOptions {
  owner: owners.Owner
  member: membership.Membership
  table: membership.EndpointTable
  gossip: membership.Gossip
  log: telemetry.Log
  invariants: telemetry.Invariants
  sendTo (peer: contracts.Instance, event: contracts.PeerEvent): void
}

const SWEEP_INTERVAL_MS = 500
/** Time allowed for an endpoint to announce itself to a new owner. */
const UNANNOUNCED_TIMEOUT_MS = 12_000
const ORDER_CHECK_INTERVAL_MS = 700
const ORDER_RETRY_MS = 4000
const ORDER_TIMEOUT_MS = 1500

/**
 * Starts the background tasks.
 * @returns stops the tasks
 */
export function startOwnerTasks (opts: OwnerTaskOptions): () => void {
  const unannouncedSince = new Map<string, number>()
  const stops = [
    links.startPeriodic(SWEEP_INTERVAL_MS, () => { sweep(opts, unannouncedSince) }, () => {}),
    links.startPeriodic(ORDER_CHECK_INTERVAL_MS, async () => { await sendOrders(opts) }, () => {})
  ]
  const views = opts.member.viewNumbers.observe(() => { handOver(opts) })
  const pools = opts.member.poolLoadUpdates.observe(() => { for (const endpoint of opts.owner.endpoints.values()) opts.owner.admitQueued(endpoint) })
  views.catch(() => {})
  pools.catch(() => {})
  return () => { for (const stop of stops) stop() }
}

/** Marks unresponsive endpoints as gone, including those that never announced themselves to this owner. */
function sweep (opts: OwnerTaskOptions, unannouncedSince: Map<string, number>): void {
  const now = performance.now()
  if (!opts.member.isServing()) {
    unannouncedSince.clear()
    return
  }
  for (const endpoint of opts.owner.endpoints.values()) {
    const isUnresponsive = endpoint.announcement !== undefined && ownedEndpoint.isUnresponsive(endpoint)
    if (isUnresponsive && !endpoint.isMarkedGone) opts.owner.markGone(endpoint)
    opts.owner.admitQueued(endpoint)
  }
  opts.owner.removeIdle()
  for (const entry of opts.table.all()) {
    const isUnannounced = entry.state !== 'gone' && opts.owner.owns(entry) && opts.owner.endpoints.get(entry.id)?.announcement === undefined
    if (!isUnannounced) {
      unannouncedSince.delete(entry.id)
      continue
    }
    const since = unannouncedSince.get(entry.id) ?? now
    unannouncedSince.set(entry.id, since)
    if (now - since < UNANNOUNCED_TIMEOUT_MS) continue
    opts.log.event('endpointGone', { endpoint: entry.id })
    opts.gossip.merge({ ...entry, state: 'gone' })
  }
}

/**
 * Hands over endpoints that another instance owns after a view change, with the number of requests still in flight here.
 * Requests in flight continue; queued requests are declined, so that their entry instances place them again.
 */
function handOver (opts: OwnerTaskOptions): void {
  const self = opts.member.self()
  for (const endpoint of opts.owner.endpoints.values()) {
    const entry = opts.table.get(endpoint.id)
    const { announcement } = endpoint
    if (entry === undefined || announcement === undefined) continue
    const newOwner = opts.member.views.ownerOf(entry)
    if (newOwner === undefined || newOwner.id === self.id) continue
    endpoint.announcement = undefined
    opts.owner.declineQueue(endpoint, 'not_owner')
    opts.sendTo(newOwner, { t: 'handover', announcement, inFlight: endpoint.sessions.size + endpoint.inheritedLoad })
  }
}

async function sendOrders (opts: OwnerTaskOptions): Promise<void> {
  const doc = opts.member.document()
  if (doc === null || !opts.member.isServing()) return
  const due = [...opts.owner.endpoints.values()].filter(endpoint => isOrderDue(opts, doc, endpoint))
  await Promise.all(due.map(async endpoint => { await sendOrder(opts, doc, endpoint) }))
}

function isOrderDue (opts: OwnerTaskOptions, doc: contracts.Document, endpoint: ownedEndpoint.OwnedEndpoint): boolean {
  const { announcement } = endpoint
  const entry = opts.table.get(endpoint.id)
  if (announcement?.state !== 'ready' || entry === undefined || !opts.owner.owns(entry)) return false
  const desired = toDesiredModels(doc, announcement)
  if (desired === undefined || isSame(desired, announcement.carries)) return false
  const isNewVersion = opts.member.documentVersion() > endpoint.highestFence
  return isNewVersion || performance.now() - endpoint.orderedAt > ORDER_RETRY_MS
}

/** Returns the models that the configuration document assigns to an engine, or undefined if it has no entry for it. */
export function toDesiredModels (doc: contracts.Document, announcement: contracts.Announcement): contracts.ServedModel[] | undefined {
  const entries = Object.values(doc.carriages).filter(item => item.service === announcement.service)
  const entry = entries.find(item => item.engine === announcement.endpoint) ?? entries.find(item => item.engine === '*')
  return entry?.models.map(id => ({ model: id, adapter: doc.models[id].adapter, version: doc.models[id].version }))
}

function isSame (desired: contracts.ServedModel[], carried: contracts.ServedModel[]): boolean {
  const toText = (list: contracts.ServedModel[]): string => list.map(item => `${item.model} ${item.adapter} ${item.version}`).sort().join('\n')
  return toText(desired) === toText(carried)
}

/**
 * Sends an engine its desired models, with the document version as fencing number. Engines that do not check the number
 * are protected too: only an owner with a lease sends orders, its document version never decreases, and it sends no order
 * below the highest fencing number that it sent or that the engine announced.
 */
async function sendOrder (opts: OwnerTaskOptions, doc: contracts.Document, endpoint: ownedEndpoint.OwnedEndpoint): Promise<void> {
  const { announcement } = endpoint
  const fence = opts.member.documentVersion()
  if (announcement === undefined || fence < endpoint.highestFence || !opts.member.isServing()) return
  const carries = toDesiredModels(doc, announcement)
  if (carries === undefined) return
  opts.invariants.check('fenceNeverReverts', fence >= endpoint.highestFence, () => `order with fencing number ${fence} for ${endpoint.id}, which already has ${endpoint.highestFence}`)
  endpoint.highestFence = fence
  endpoint.orderedAt = performance.now()
  try {
    const res = await undici.request(`http://${endpoint.address}/orders`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ fence, carries } satisfies contracts.Order),
      signal: AbortSignal.timeout(ORDER_TIMEOUT_MS)
    })
    await res.body.dump()
    opts.log.event(res.statusCode < 300 ? 'orderSent' : 'orderRefused', { endpoint: endpoint.id, fence, status: res.statusCode })
  } catch {
    // Orders are idempotent, so the next run sends this one again.
  }
}
