/** Replicas that all start again at once, one of them without its disk, on virtual time: how soon they have a leader, and what it knows. */
import * as ava from 'ava'
import type * as powerLossDisks from './helpers/powerLossDisk.js'
import * as seededRandom from './helpers/seededRandom.js'
import * as virtual from './helpers/virtualCluster.js'

const test = ava.default
const DRAWS = 25
/** Time after which changes must be in force again once all replicas have started, milliseconds. */
const BOUND_MS = 3000
const DOWN_MS = 1000
const TIMING = { heartbeatMs: 200, electionMinMs: 700, electionMaxMs: 1300 }

/** A disk, a network and how long after the first replica the last one starts; milliseconds. */
interface Conditions { syncMs: number, delayMs: number, spreadMs: number }

const CONDITIONS: Conditions[] = [
  { syncMs: 5, delayMs: 2, spreadMs: 150 },
  { syncMs: 20, delayMs: 10, spreadMs: 150 },
  { syncMs: 60, delayMs: 20, spreadMs: 200 },
  { syncMs: 5, delayMs: 2, spreadMs: 800 },
  { syncMs: 60, delayMs: 20, spreadMs: 800 },
  { syncMs: 100, delayMs: 3, spreadMs: 200 },
  { syncMs: 280, delayMs: 3, spreadMs: 200 }
]

/** Syncs of a disk that many processes share, or of a faulty one. */
const SLOW_SYNC_MS = { min: 140, max: 420 }

async function startGroup (seed: number): Promise<virtual.VirtualCluster> {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], seed, 20, true)
  cluster.usesFiles = true
  cluster.timing = TIMING
  cluster.callTimeoutMs = 800
  for (const name of cluster.names) await cluster.start(name)
  for (const name of ['d', 'e']) await cluster.add(name)
  await cluster.clock.advance(12_000)
  return cluster
}

/** Ends all replicas right after a change was sent, wipes one of them, and starts all again. @returns the time of the last start */
async function restartAll (cluster: virtual.VirtualCluster, conditions: Conditions, random: () => number, loss: powerLossDisks.PowerLoss): Promise<number> {
  const { syncMs, delayMs, spreadMs } = conditions
  cluster.syncMs = { min: 0.5 * syncMs, max: 1.5 * syncMs }
  cluster.network.delayMs = delayMs
  cluster.propose('last')
  await cluster.clock.advance(random() * (6 * syncMs + 10 * delayMs))
  const names = [...cluster.nodes.keys()]
  for (const name of names) cluster.losePower(name, loss)
  cluster.wipe(names[Math.floor(random() * names.length)])
  await cluster.clock.advance(DOWN_MS)
  const delays = names.map(() => random() * spreadMs)
  names.forEach((name, i) => { cluster.clock.schedule(delays[i], () => { void cluster.start(name, false) }) })
  return cluster.clock.now() + Math.max(...delays)
}

async function waitForLeader (cluster: virtual.VirtualCluster, ms: number): Promise<void> {
  for (let waited = 0; waited < ms && cluster.leader() === undefined; waited += 20) await cluster.clock.advance(20)
}

/** Starts three replicas that elect a leader. */
async function startThree (seed: number): Promise<{ cluster: virtual.VirtualCluster, leader: string }> {
  const cluster = new virtual.VirtualCluster(['a', 'b', 'c'], seed)
  cluster.timing = TIMING
  for (const name of cluster.names) await cluster.start(name)
  await waitForLeader(cluster, 10_000)
  return { cluster, leader: cluster.leader()?.name ?? '' }
}

/** Returns whether a replica leads, ready or not. */
function hasLeader (cluster: virtual.VirtualCluster): boolean {
  return cluster.names.some(name => cluster.node(name).process.replica?.status().role === 'leader')
}

// Guards against waiting once more for a lease that was over before the processes had started.
test('replicas whose processes started long ago need not wait for the lease of an earlier leader', async t => {
  for (let seed = 1; seed <= DRAWS; seed++) {
    const cluster = await startGroup(seed)
    cluster.loadMs = { min: 1500, max: 1500 }
    const lastStartAt = await restartAll(cluster, { ...CONDITIONS[0], spreadMs: 0 }, seededRandom.createRandom(seed), 'drawn')
    await waitForLeader(cluster, 20_000)
    const ms = Math.round(cluster.clock.now() - lastStartAt - cluster.loadMs.max)
    t.true(cluster.leader() !== undefined && ms < TIMING.electionMinMs, `seed ${seed}: a leader ${ms} ms after all have loaded`)
    t.deepEqual(cluster.violations, [])
  }
})

// Guards against replicas that split the votes of one election after the other, or do not start at all after a power loss.
for (const conditions of CONDITIONS) {
  const { syncMs, delayMs, spreadMs } = conditions
  test(`a common start elects a leader soon: syncs of ${syncMs} ms and messages of ${delayMs} ms and starts within ${spreadMs} ms`, async t => {
    for (let seed = 1; seed <= DRAWS; seed++) {
      const cluster = await startGroup(seed)
      for (const n of [1, 2, 3]) {
        cluster.propose(`before-${n}`)
        await cluster.clock.advance(300)
      }
      const lastStartAt = await restartAll(cluster, conditions, seededRandom.createRandom(seed), seed % 3 === 0 ? 'syncedOnly' : 'drawn')
      await waitForLeader(cluster, 20_000)
      const ms = Math.round(cluster.clock.now() - lastStartAt)
      t.true(cluster.leader() !== undefined && ms <= BOUND_MS, `seed ${seed}: a leader after ${ms} ms`)
      const applied = cluster.applied(cluster.leader()?.name ?? '')
      t.deepEqual(cluster.acknowledged.filter(command => !applied.includes(command)), [], `seed ${seed}: an acknowledged command is lost`)
      t.deepEqual(cluster.violations, [])
    }
  })
}

// Guards against elections that are lost one after the other on slow disks or a busy machine, although the votes were given.
test('a vote whose reply comes later than a call waits is counted', async t => {
  const { cluster, leader } = await startThree(5)
  cluster.syncMs = { min: 400, max: 500 }
  cluster.callTimeoutMs = 300
  cluster.crash(leader)
  await cluster.clock.advance(100)
  for (let ms = 0; ms < 8000 && !hasLeader(cluster); ms += 50) await cluster.clock.advance(50)
  t.true(hasLeader(cluster))
})

// Guards against a replica that leads one term twice: it may be elected again in a term that it has not stored.
test('a candidate does not lead before its own vote is on its disk', async t => {
  const { cluster, leader } = await startThree(7)
  const [stalled] = cluster.names.filter(name => name !== leader)
  cluster.stalledDisks.add(stalled)
  cluster.crash(leader)
  for (let ms = 0; ms < 8000; ms += 50) {
    await cluster.clock.advance(50)
    t.false(hasLeader(cluster), `after ${ms} ms`)
  }
  cluster.stalledDisks.delete(stalled)
  await waitForLeader(cluster, 10_000)
  t.true(hasLeader(cluster))
})

// Guards against leaders that are deposed, or not ready, because followers reply only after their disk has synced.
test('a leader stays ready while the disks of all replicas are slow', async t => {
  for (let seed = 1; seed <= DRAWS; seed++) {
    const cluster = await startGroup(seed)
    cluster.syncMs = SLOW_SYNC_MS
    await cluster.clock.advance(5000)
    const leaders = cluster.leaders.size
    let proposed = 0
    let missed = 0
    for (let ms = 0; ms < 30_000; ms += 50) {
      if (cluster.leader() === undefined) missed++
      if (ms % 500 === 0) cluster.propose(`slow-${proposed++}`)
      await cluster.clock.advance(50)
      cluster.checkLeaders()
    }
    await cluster.clock.advance(5000)
    const acknowledged = cluster.acknowledged.filter(command => command.startsWith('slow-')).length
    t.is(missed, 0, `seed ${seed}: no leader was ready at ${missed} of 600 times, ${cluster.leaders.size - leaders} others were elected`)
    t.is(acknowledged, proposed, `seed ${seed}`)
    t.deepEqual(cluster.violations, [])
  }
})
