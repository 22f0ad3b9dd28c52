/** Short requests of a plain service before a few small endpoints, replayed against a model of them. */
import * as ava from 'ava'
import * as chooseEndpoints from '../src/chooseEndpoint.js'
import * as helper from './helpers/random.js'

const test = ava.default

interface Load { instances: number, endpoints: number, slots: number, perSecond: number, workMs: number, tellMs: number, lateMs: number }
interface Replayed { late: number, refused: number, requests: number }
type Choose = (candidates: chooseEndpoints.Candidate[], zone: string, draw: number) => string

const QUEUE = 24
const SECONDS = 20
const ZONES = 3

interface Work { instance: number, arrivedAt: number }
interface Model { running: Array<{ work: Work, endsAt: number }>, queue: Work[], speed: number }

/**
 * Plays a load in steps of a millisecond. Endpoints differ in speed and queue what they have no place for, up to a length;
 * instances tell each other what they have under way every so often.
 */
function replay (load: Load, choose: Choose, seed: number): Replayed {
  const random = helper.createRandom(seed)
  const models: Model[] = Array.from({ length: load.endpoints }, (_, i) => ({ running: [], queue: [], speed: 0.85 + 0.3 * i / Math.max(1, load.endpoints - 1) }))
  const own = Array.from({ length: load.instances }, () => new Array<number>(load.endpoints).fill(0))
  const told = own.map(item => [...item])
  const sumTold = new Array<number>(load.endpoints).fill(0)
  const result: Replayed = { late: 0, refused: 0, requests: 0 }
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
      if ((now + k * 37) % load.tellMs !== 0) continue
      for (let i = 0; i < load.endpoints; i++) {
        sumTold[i] += own[k][i] - told[k][i]
        told[k][i] = own[k][i]
      }
    }
    if (random() >= load.perSecond / 1000) continue
    const instance = Math.floor(random() * load.instances)
    const candidates = models.map((_, i): chooseEndpoints.Candidate => ({
      id: String(i),
      zone: `z${i % ZONES}`,
      load: own[instance][i] + sumTold[i] - told[instance][i],
      ownInFlight: own[instance][i],
      slots: load.slots,
      isCold: false,
      delayMs: 0,
      freeConnections: 100,
      ageMs: Infinity
    }))
    const chosen = Number(choose(candidates, `z${instance % ZONES}`, random()))
    if (models[chosen].queue.length >= QUEUE) {
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

/** The rule before: the least loaded by what all instances told last, of the own zone while that seems to have room. */
const byTold: Choose = (candidates, zone, draw) => {
  const mean = candidates.reduce((sum, item) => sum + item.load, 0) / candidates.length
  const near = candidates.filter(item => item.zone === zone && item.load + 1 <= Math.min(1.5 * mean + 2.5, item.slots))
  const pool = near.length > 0 ? near : candidates
  const least = Math.min(...pool.map(item => item.load))
  const equals = pool.filter(item => item.load < least + 1)
  return equals[Math.floor(draw * equals.length)].id
}

function toShare (load: Load, choose: Choose): number {
  const plays = [1, 2, 3].map(seed => replay(load, choose, seed))
  return plays.reduce((sum, item) => sum + (item.late + item.refused) / item.requests, 0) / plays.length
}

// A market day: sales come in at 64 instances, and five endpoints have room for all of them. Seven of ten places are taken, yet
// a third of the sales were late or refused: all instances ran after the same news, a second old.
test('many instances spread short requests over endpoints that have room', t => {
  const load: Load = { instances: 64, endpoints: 5, slots: 6, perSecond: 300, workMs: 71, tellMs: 1160, lateMs: 330 }
  const before = toShare(load, byTold)
  const after = toShare(load, byOwn)
  t.true(before > 0.25, `${before} by what was told`)
  t.true(after < 0.03, `${after} by what each has under way`)
})

test('a few instances leave no request waiting long at eight tenths of the places', t => {
  const load: Load = { instances: 8, endpoints: 3, slots: 6, perSecond: 330, workMs: 43, tellMs: 300, lateMs: 185 }
  const share = toShare(load, byOwn)
  t.true(share < 0.01, `${share} late or refused`)
})
