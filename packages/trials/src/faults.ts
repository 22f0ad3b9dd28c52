/** Fault injection for the soak run. Plans are drawn by fast-check from a seed. */
import * as fs from 'node:fs'
import * as fc from 'fast-check'
import * as undici from 'undici'
import type * as fleets from './fleet.js'

export const FAULT_KINDS = [
  'killRouter', 'freezeRouter', 'stopRouter', 'cutRouter', 'silenceRouter', 'forgetLinks',
  'killControl', 'freezeControl', 'cutControl', 'silenceControl', 'wipeControl',
  'killEngine', 'freezeEngine', 'leaveEngine', 'flapEngine',
  'stallStream', 'gapStream', 'cutStream', 'crossStream', 'duplicateStream', 'engineError', 'silentPlain',
  'raceOperators', 'surge', 'poison'
] as const
export type FaultKind = typeof FAULT_KINDS[number]

/** Most routers, control instances or engines with an active fault at the same time. */
const MAX_FAULTY_PER_ROLE = 2

/** One fault of a plan: `pauseMs` precedes it, and `target` selects an item among those that are free at that time. */
export interface Fault { kind: FaultKind, target: number, durationMs: number, pauseMs: number }

/**
 * Draws a plan of faults; equal seeds give equal plans.
 * @returns the faults in order; every kind occurs once before any occurs twice
 */
export function drawPlan (seed: number, length: number): Fault[] {
  const details = fc.record({ target: fc.nat(1000), durationMs: fc.integer({ min: 800, max: 7500 }), pauseMs: fc.integer({ min: 300, max: 1800 }) })
  const rounds = Math.ceil(length / FAULT_KINDS.length)
  const kinds = fc.sample(fc.shuffledSubarray([...FAULT_KINDS], { minLength: FAULT_KINDS.length }), { seed, numRuns: rounds }).flat()
  return fc.sample(details, { seed, numRuns: length }).map((item, i) => ({ ...item, kind: kinds[i] }))
}

/** The parts of a soak run that faults act on. */
export interface FaultContext {
  fleet: fleets.Fleet
  /** Ids of processes with an active fault, which get no second one. */
  busy: Set<string>
  /** Returns whether no fault is active, every control replica is a voter and none is being repaired. */
  isFullyReplicated (): Promise<boolean>
  raceOperators (): Promise<void>
  surge (): Promise<void>
  poison (): Promise<void>
}

export type RevertFault = () => Promise<void>

/**
 * Injects a fault.
 * @returns a function that reverts it, or undefined if the fault would exceed what the fleet tolerates now
 */
export async function injectFault (ctx: FaultContext, fault: Fault): Promise<RevertFault | undefined> {
  switch (fault.kind) {
    case 'killRouter': return await onRouter(ctx, fault, async node => {
      await node.process.kill()
      return async () => { node.start() }
    })
    case 'freezeRouter': return await onRouter(ctx, fault, async node => {
      node.process.freeze()
      return async () => { node.process.thaw() }
    })
    case 'stopRouter': return await onRouter(ctx, fault, async node => {
      const stopped = node.process.stop()
      return async () => {
        await stopped
        node.start()
      }
    })
    case 'cutRouter': return await onRouter(ctx, fault, async node => setRelays(node.relays, 'cut'))
    case 'silenceRouter': return await onRouter(ctx, fault, async node => setRelays(node.relays, 'silent'))
    case 'forgetLinks': return await onRouter(ctx, fault, async node => {
      for (const item of node.relays) item.blackholeOpenConnections()
      return async () => {}
    })
    case 'killControl': return await onControl(ctx, fault, async node => {
      await node.process.kill()
      return async () => { node.start() }
    })
    case 'freezeControl': return await onControl(ctx, fault, async node => {
      node.process.freeze()
      return async () => { node.process.thaw() }
    })
    case 'cutControl': return await onControl(ctx, fault, async node => setRelays(relaysAround(ctx, node), 'cut'))
    case 'silenceControl': return await onControl(ctx, fault, async node => setRelays(relaysAround(ctx, node), 'silent'))
    case 'wipeControl': {
      // The fleet tolerates the loss of one disk at a time: the previous repair must be complete.
      if (!await ctx.isFullyReplicated()) return undefined
      return await onControl(ctx, fault, async node => {
        await node.process.kill()
        fs.rmSync(node.dataFolder, { recursive: true, force: true })
        return async () => { node.start() }
      })
    }
    case 'killEngine': return await onEngine(ctx, fault, async node => {
      await node.process.kill()
      return async () => { node.start() }
    })
    case 'freezeEngine': return await onEngine(ctx, fault, async node => {
      node.process.freeze()
      return async () => { node.process.thaw() }
    })
    case 'leaveEngine': return await onEngine(ctx, fault, async node => {
      await post(`${node.url}/leave`)
      return async () => {
        await pause(4500)
        await node.process.kill()
        node.start()
      }
    })
    case 'flapEngine': return await onEngine(ctx, fault, async node => {
      for (let i = 0; i < 2; i++) {
        await node.process.kill()
        node.start()
        await pause(900)
      }
      return async () => {}
    })
    case 'stallStream': return await onStream(ctx, fault, 'stall')
    case 'gapStream': return await onStream(ctx, fault, 'gap')
    case 'cutStream': return await onStream(ctx, fault, 'cut')
    case 'crossStream': return await onStream(ctx, fault, 'cross')
    case 'duplicateStream': return await onStream(ctx, fault, 'duplicate')
    case 'engineError': return await onStream(ctx, fault, 'error')
    case 'silentPlain': {
      await post(`${ctx.fleet.plains[fault.target % ctx.fleet.plains.length].url}/silent`)
      return async () => {}
    }
    case 'raceOperators':
      await ctx.raceOperators()
      return async () => {}
    case 'surge':
      await ctx.surge()
      return async () => {}
    case 'poison':
      await ctx.poison()
      return async () => {}
  }
}

function setRelays (relays: readonly fleets.NamedRelay[], mode: 'cut' | 'silent'): RevertFault {
  for (const item of relays) item.setMode(mode)
  return async () => { for (const item of relays) item.setMode('open') }
}

/** Returns all relays to and from a control instance. */
function relaysAround (ctx: FaultContext, node: fleets.ControlNode): fleets.NamedRelay[] {
  const others = [...ctx.fleet.routers, ...ctx.fleet.controls].flatMap(other => other.relays.filter(item => item.target === node.id))
  return [...node.relays, ...others]
}

/** Injects a fault into a free item of the list, unless `limit` items already have one. */
async function injectOnFree<T extends { id: string }> (ctx: FaultContext, list: readonly T[], target: number, limit: number, inject: (node: T) => Promise<RevertFault>): Promise<RevertFault | undefined> {
  const busyCount = list.filter(node => ctx.busy.has(node.id)).length
  const free = list.filter(node => !ctx.busy.has(node.id))
  if (busyCount >= limit || free.length === 0) return undefined
  const node = free[target % free.length]
  ctx.busy.add(node.id)
  const revert = await inject(node)
  return async () => {
    await revert()
    ctx.busy.delete(node.id)
  }
}

const onRouter = async (ctx: FaultContext, fault: Fault, inject: (node: fleets.RouterNode) => Promise<RevertFault>): Promise<RevertFault | undefined> => await injectOnFree(ctx, ctx.fleet.routers, fault.target, MAX_FAULTY_PER_ROLE, inject)
const onControl = async (ctx: FaultContext, fault: Fault, inject: (node: fleets.ControlNode) => Promise<RevertFault>): Promise<RevertFault | undefined> => await injectOnFree(ctx, ctx.fleet.controls, fault.target, MAX_FAULTY_PER_ROLE, inject)
const onEngine = async (ctx: FaultContext, fault: Fault, inject: (node: fleets.EndpointNode) => Promise<RevertFault>): Promise<RevertFault | undefined> => await injectOnFree(ctx, ctx.fleet.engines, fault.target, MAX_FAULTY_PER_ROLE, inject)

const onStream = async (ctx: FaultContext, fault: Fault, kind: string): Promise<RevertFault | undefined> => await onEngine(ctx, fault, async node => {
  await post(`${node.url}/fault`, { fault: kind })
  return async () => {}
})

async function post (url: string, body: unknown = {}): Promise<void> {
  await undici.request(url, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body), signal: AbortSignal.timeout(2000) })
    .then(async res => { await res.body.dump() })
    .catch(() => {})
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
