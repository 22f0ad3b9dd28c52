/** Replicas whose writes take longer than a call waits for its reply, on virtual time: when changes are committed. */
import * as ava from 'ava'
import * as virtual from './helpers/virtualCluster.js'

const test = ava.default
const SEEDS = 10
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
