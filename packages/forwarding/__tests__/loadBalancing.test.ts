/** Simulation of load balancing without affinity: short requests on a few small endpoints. */
import * as ava from 'ava'
import * as chooseEndpoints from '../src/placement/chooseEndpoint.js'
import * as helper from './helpers/random.js'

const test = ava.default

interface Load { instances: number, endpoints: number, slots: number, perSecond: number, workMs: number, gossipIntervalMs: number, lateMs: number }
interface SimulationResult { late: number, refused: number, requests: number }
type Choose = (candidates: chooseEndpoints.Candidate[], zone: string, draw: number) => string

const MAX_QUEUE = 24
const SECONDS = 20
const ZONES = 3

interface Work { instance: number, arrivedAt: number }
interface Model { running: Array<{ work: Work, endsAt: number }>, queue: Work[], speed: number }

/**
 * Simulates a load in steps of a millisecond. Endpoints differ in speed and have bounded queues; instances exchange their loads
 * periodically.
 */
function simulate (load: Load, choose: Choose, seed: number): SimulationResult {
  const random = helper.createRandom(seed)
  const models: Model[] = Array.from({ length: load.endpoints }, (_, i) => ({ running: [], queue: [], speed: 0.85 + 0.3 * i / Math.max(1, load.endpoints - 1) }))
  const own = Array.from({ length: load.instances }, () => new Array<number>(load.endpoints).fill(0))
  const gossiped = own.map(item => [...item])
  const gossipedSum = new Array<number>(load.endpoints).fill(0)
  const result: SimulationResult = { late: 0, refused: 0, requests: 0 }
  for (let now = 0; now < SECONDS * 1000; now++) {
    for (const [i, model] of models.entries()) {
      for (const { work } of model.running.filter(item => item.endsAt <= now)) {
        own[work.instance][i]--
        result.requests++
        if (now - work.arrivedAt > load.lateMs) result.late++
      }
      model.running = model.running.filter(item => item.endsAt > now)
      while (model.running.length < load.slots && model.queue.length > 0) {
        const work = model.queue.shift() as Work
        model.running.push({ work, endsAt: now + load.workMs * model.speed * (0.4 + 1.2 * random()) })
      }
    }
    for (let k = 0; k < load.instances; k++) {
      if ((now + k * 37) % load.gossipIntervalMs !== 0) continue
      for (let i = 0; i < load.endpoints; i++) {
        gossipedSum[i] += own[k][i] - gossiped[k][i]
        gossiped[k][i] = own[k][i]
      }
    }
    if (random() >= load.perSecond / 1000) continue
    const instance = Math.floor(random() * load.instances)
    const candidates = models.map((_, i): chooseEndpoints.Candidate => ({
      id: String(i),
      zone: `z${i % ZONES}`,
      load: own[instance][i] + gossipedSum[i] - gossiped[instance][i],
      ownInFlight: own[instance][i],
      slots: load.slots,
      isCold: false,
      delayMs: 0,
      freeConnections: 100,
      ageMs: Infinity
    }))
    const chosen = Number(choose(candidates, `z${instance % ZONES}`, random()))
    if (models[chosen].queue.length >= MAX_QUEUE) {
      result.requests++
      result.refused++
      continue
    }
    own[instance][chosen]++
    models[chosen].queue.push({ instance, arrivedAt: now })
  }
  return result
}

const byOwn: Choose = (candidates, zone, draw) => {
  const choice = chooseEndpoints.chooseEndpoint(candidates, { affinity: undefined, zone, delayLimitMs: Infinity }, draw)
  return choice.kind === 'chosen' ? choice.id : ''
}

/** Baseline: the least loaded endpoint by gossiped loads, preferring the availability zone of the instance. */
const byGossip: Choose = (candidates, zone, draw) => {
  const mean = candidates.reduce((sum, item) => sum + item.load, 0) / candidates.length
  const sameZone = candidates.filter(item => item.zone === zone && item.load + 1 <= Math.min(1.5 * mean + 2.5, item.slots))
  const pool = sameZone.length > 0 ? sameZone : candidates
  const lowest = Math.min(...pool.map(item => item.load))
  const tied = pool.filter(item => item.load < lowest + 1)
  return tied[Math.floor(draw * tied.length)].id
}

function toShare (load: Load, choose: Choose): number {
  const results = [1, 2, 3].map(seed => simulate(load, choose, seed))
  return results.reduce((sum, item) => sum + (item.late + item.refused) / item.requests, 0) / results.length
}

// Guards against all instances selecting the same endpoint by outdated gossip.
test('many instances spread short requests evenly over endpoints', t => {
  const load: Load = { instances: 64, endpoints: 5, slots: 6, perSecond: 300, workMs: 71, gossipIntervalMs: 1160, lateMs: 330 }
  const baseline = toShare(load, byGossip)
  const current = toShare(load, byOwn)
  t.true(baseline > 0.25, `${baseline} by gossiped loads`)
  t.true(current < 0.03, `${current} by own requests in flight`)
})

test('few requests are late at high utilization', t => {
  const load: Load = { instances: 8, endpoints: 3, slots: 6, perSecond: 330, workMs: 43, gossipIntervalMs: 300, lateMs: 185 }
  const share = toShare(load, byOwn)
  t.true(share < 0.01, `${share} late or rejected`)
})
