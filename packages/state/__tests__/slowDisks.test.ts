/** Replicas whose writes take longer than a call waits for its reply, on virtual time: when changes are committed. */
import * as ava from 'ava'
import * as fc from 'fast-check'
import type * as state from '../src/index.js'
import * as virtual from './helpers/virtualCluster.js'

const test = ava.default
const SEEDS = 10
const RUNS = 40
const TIMING = { heartbeatMs: 200, electionMinMs: 700, electionMaxMs: 1300 }
const CALL_TIMEOUT_MS = 800
const SYNC_MS = { min: 900, max: 1600 }
const PROPOSE_INTERVAL_MS = 500
/** Messages and steps of the test. */
const SLACK_MS = 150
/** A change waits for the call and the write in progress, its own write, and the heartbeat that asks for it. */
const BOUND_MS = CALL_TIMEOUT_MS + 2 * SYNC_MS.max + 2 * TIMING.heartbeatMs + SLACK_MS

/** Proposes commands in equal intervals while disks are slow. @returns for each command how long it took to be acknowledged */
async function measure (seed: number, ms: number): Promise<number[]> {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c', 'd', 'e'], seed, Infinity)
  cluster.usesFiles = true
  cluster.timing = TIMING
  cluster.callTimeoutMs = CALL_TIMEOUT_MS
  for (const name of cluster.names) await cluster.start(name)
  await cluster.clock.advance(8000)
  cluster.syncMs = SYNC_MS
  const durations: number[] = []
  const proposedAt: number[] = []
  for (let at = 0; at < ms + BOUND_MS; at += 50) {
    if (at < ms && at % PROPOSE_INTERVAL_MS === 0) {
      cluster.propose(String(proposedAt.length))
      proposedAt.push(at)
      durations.push(Infinity)
    }
    await cluster.clock.advance(50)
    for (const command of cluster.acknowledged) durations[Number(command)] = Math.min(durations[Number(command)], at + 50 - proposedAt[Number(command)])
  }
  if (cluster.violations.length > 0) throw new Error(cluster.violations[0])
  return durations
}

// Guards against changes that are not committed while further ones arrive, since followers reply only once all of them are synced.
test('a change is committed once it is synced, whatever is written behind it', async t => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const [first] = await measure(seed, 10_000)
    t.true(first <= BOUND_MS, `seed ${seed}: ${first} ms`)
  }
})

// Guards against followers that write each call's entries by themselves, and fall behind further with each call.
test('changes take no longer the more of them were made before', async t => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const longest = Math.max(...await measure(seed, 30_000))
    t.true(longest <= BOUND_MS, `seed ${seed}: ${longest} ms`)
  }
})

// Guards against acknowledgements of entries that are not on the disk, or that another leader has replaced.
test('what was acknowledged during writes is kept whatever ends them', async t => {
  const plan = fc.array(fc.record({
    target: fc.integer({ min: 0, max: 4 }),
    kind: fc.constantFrom('crash', 'crashLeader', 'isolate', 'isolateLeader', 'none'),
    faultMs: fc.integer({ min: 100, max: 4000 }),
    pauseMs: fc.integer({ min: 0, max: 3000 }),
    syncMs: fc.constantFrom(10, 300, 900, 1500)
  }), { minLength: 3, maxLength: 10 })
  await fc.assert(fc.asyncProperty(plan, fc.integer({ min: 1, max: 1e6 }), async (faults, seed) => {
    const cluster = new virtual.VirtualCluster(['a', 'b', 'c', 'd', 'e'], seed)
    cluster.timing = TIMING
    cluster.callTimeoutMs = CALL_TIMEOUT_MS
    for (const name of cluster.names) await cluster.start(name)
    await cluster.clock.advance(5000)
    let n = 0
    const run = async (ms: number): Promise<void> => {
      for (let at = 0; at < ms; at += 100) {
        cluster.propose(`command-${n++}`)
        await cluster.clock.advance(100)
        cluster.checkLeaders()
      }
    }
    for (const { target, kind, faultMs, pauseMs, syncMs } of faults) {
      cluster.syncMs = { min: 0.5 * syncMs, max: 1.5 * syncMs }
      const leader = cluster.leader()?.name
      const name = kind.endsWith('Leader') && leader !== undefined ? leader : cluster.names[target]
      if (kind.startsWith('crash')) cluster.crash(name)
      if (kind.startsWith('isolate')) cluster.network.isolated.add(name)
      await run(faultMs)
      cluster.network.isolated.delete(name)
      if (kind.startsWith('crash')) await cluster.start(name, false)
      await run(pauseMs)
    }
    cluster.syncMs = { min: 1, max: 9 }
    await cluster.clock.advance(30_000)
    for (const name of cluster.names) cluster.crash(name)
    for (const name of cluster.names) await cluster.start(name, false)
    await cluster.clock.advance(20_000)
    const applied = new Set(cluster.applied(cluster.leader()?.name ?? cluster.names[0]))
    t.deepEqual(cluster.violations, [])
    t.deepEqual(cluster.acknowledged.filter(command => !applied.has(command)), [], 'an acknowledged command is lost')
  }), { numRuns: RUNS, seed: 73 })
})

// Guards against an acknowledgement of entries of a former leader, which the new one may not have.
test('the first heartbeat of a leader is answered without acknowledging any entry', async t => {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], 3)
  for (const name of cluster.names) await cluster.start(name)
  await cluster.clock.advance(5000)
  cluster.propose('command')
  await cluster.clock.advance(1000)
  const leader = cluster.leader()?.name ?? ''
  const [follower, other] = cluster.names.filter(name => name !== leader).map(name => cluster.node(name).process.replica)
  const status = follower?.status()
  const toMember = (name: string): state.Member => ({ name, incarnation: status?.voters.find(id => id.startsWith(`${name}#`))?.split('#')[1] ?? '' })
  const beat = async (name: string, term: number): Promise<number | undefined> => {
    const answer = follower?.handle({ t: 'heartbeat', term, leader: toMember(name), commit: 0, quorumAgeMs: 0 })
    await cluster.clock.advance(100)
    const reply = await answer
    return reply?.t === 'append' && reply.isOk ? reply.match : undefined
  }
  const term = status?.term ?? 0
  t.is(await beat(leader, term), status?.lastIndex)
  t.is(await beat(other?.status().name ?? '', term + 1), 0)
})
