/** What an owner does at intervals: looks for silent endpoints, hands endpoints over after a new view, sends orders. */
import * as undici from 'undici'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as membership from '@kingcupdeck/membership'
import * as telemetry from '@kingcupdeck/telemetry'
import * as ownedEndpoint from './ownedEndpoint.js'
import type * as owners from './owner.js'

/** What the tasks work with. */
export interface OwnerTaskOptions {
  owner: owners.Owner
  member: membership.Membership
  table: membership.EndpointTable
  gossip: membership.Gossip
  log: telemetry.Log
  invariants: telemetry.Invariants
  sendTo (peer: contracts.Instance, event: contracts.PeerEvent): void
}

const SWEEP_MS = 500
/** Endpoints of a dead owner find the new one with their next announcement. */
const UNHEARD_MS = 12_000
const ORDER_CHECK_MS = 700
const ORDER_AGAIN_MS = 4000
const ORDER_TIMEOUT_MS = 1500

/**
 * Starts the tasks.
 * @param opts what they work with
 * @returns the stop
 */
export function startOwnerTasks (opts: OwnerTaskOptions): () => void {
  const heardOf = new Map<string, number>()
  const stops = [
    links.startPeriodic(SWEEP_MS, () => { sweep(opts, heardOf) }, () => {}),
    links.startPeriodic(ORDER_CHECK_MS, async () => { await sendOrders(opts) }, () => {})
  ]
  const views = opts.member.viewNumbers.observe(() => { handOver(opts) })
  const pools = opts.member.poolLoadUpdates.observe(() => { for (const endpoint of opts.owner.endpoints.values()) opts.owner.admitQueued(endpoint) })
  views.catch(() => {})
  pools.catch(() => {})
  return () => { for (const stop of stops) stop() }
}

/** Marks endpoints that fell silent, those among them that never announced themselves to this owner. */
function sweep (opts: OwnerTaskOptions, heardOf: Map<string, number>): void {
  const now = performance.now()
  if (!opts.member.isServing()) {
    heardOf.clear()
    return
  }
  for (const endpoint of opts.owner.endpoints.values()) {
    const isSilent = endpoint.announcement !== undefined && ownedEndpoint.isUnresponsive(endpoint)
    if (isSilent && !endpoint.isMarkedGone) opts.owner.markGone(endpoint)
    opts.owner.admitQueued(endpoint)
  }
  opts.owner.removeIdle()
  for (const entry of opts.table.all()) {
    const isUnheard = entry.state !== 'gone' && opts.owner.owns(entry) && opts.owner.endpoints.get(entry.id)?.announcement === undefined
    if (!isUnheard) {
      heardOf.delete(entry.id)
      continue
    }
    const since = heardOf.get(entry.id) ?? now
    heardOf.set(entry.id, since)
    if (now - since < UNHEARD_MS) continue
    opts.log.event('endpointGone', { endpoint: entry.id })
    opts.gossip.merge({ ...entry, state: 'gone' })
  }
}

/**
 * After a new view, gives endpoints that another instance owns now to that instance, with the count that still runs here.
 * What runs goes on; what waits is sent back to be routed anew.
 */
function handOver (opts: OwnerTaskOptions): void {
  const self = opts.member.self()
  for (const endpoint of opts.owner.endpoints.values()) {
    const entry = opts.table.get(endpoint.id)
    const { announcement } = endpoint
    if (entry === undefined || announcement === undefined) continue
    const next = opts.member.views.ownerOf(entry)
    if (next === undefined || next.id === self.id) continue
    endpoint.announcement = undefined
    opts.owner.declineQueue(endpoint, 'not_owner')
    opts.sendTo(next, { t: 'handover', announcement, inFlight: endpoint.sessions.size + endpoint.inheritedLoad })
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
  const wanted = toDesiredModels(doc, announcement)
  if (wanted === undefined || isSame(wanted, announcement.carries)) return false
  const isNew = opts.member.documentVersion() > endpoint.highestFence
  return isNew || performance.now() - endpoint.orderedAt > ORDER_AGAIN_MS
}

/**
 * Finds what an engine should carry.
 * @param doc the document
 * @param announcement the engine
 * @returns the wanted models, or undefined where the document says nothing
 */
export function toDesiredModels (doc: contracts.Document, announcement: contracts.Announcement): contracts.ServedModel[] | undefined {
  const entries = Object.values(doc.carriages).filter(item => item.service === announcement.service)
  const entry = entries.find(item => item.engine === announcement.endpoint) ?? entries.find(item => item.engine === '*')
  return entry?.models.map(id => ({ model: id, adapter: doc.models[id].adapter, version: doc.models[id].version }))
}

function isSame (wanted: contracts.ServedModel[], carried: contracts.ServedModel[]): boolean {
  const toText = (list: contracts.ServedModel[]): string => list.map(item => `${item.model} ${item.adapter} ${item.version}`).sort().join('\n')
  return toText(wanted) === toText(carried)
}

/**
 * Orders the wanted end state. The configuration version is the fencing number. Guards against old orders at engines that
 * ignore that number: only the owner sends orders, it holds a lease when it does, its document never reverts, and it
 * refuses any order below the highest that it sent or that the engine said it obeyed.
 */
async function sendOrder (opts: OwnerTaskOptions, doc: contracts.Document, endpoint: ownedEndpoint.OwnedEndpoint): Promise<void> {
  const { announcement } = endpoint
  const fence = opts.member.documentVersion()
  if (announcement === undefined || fence < endpoint.highestFence || !opts.member.isServing()) return
  const carries = toDesiredModels(doc, announcement)
  if (carries === undefined) return
  opts.invariants.check('fenceNeverReverts', fence >= endpoint.highestFence, () => `order ${fence} after ${endpoint.highestFence} to ${endpoint.id}`)
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
    // The order names the end state, so the next turn sends it again.
  }
}
