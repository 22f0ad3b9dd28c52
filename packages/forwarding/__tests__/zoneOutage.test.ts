/** Detection of unreachable availability zones. */
import * as ava from 'ava'
import * as timers from 'node:timers/promises'
import * as telemetry from '@kingcupdeck/telemetry'
import type * as endpointPools from '../src/endpoints/endpointPool.js'
import * as zoneOutages from '../src/endpoints/zoneOutage.js'
import * as zoneProbers from '../src/endpoints/zoneProber.js'
import * as randoms from './helpers/random.js'

const test = ava.default
const log = telemetry.createLog({ instance: 'test', level: 'silent' })
const ZONES = new Set(['z0', 'z1', 'z2'])
const SILENT = { why: 'no connection', isSilent: true }

test('a zone is avoided after two silent endpoints, and used again after a response', t => {
  const outages = zoneOutages.createZoneOutages(() => ZONES)
  t.false(outages.recordSilence('z0', 'e1', 0))
  t.false(outages.recordSilence('z0', 'e1', 100), 'the same endpoint again')
  t.true(outages.recordSilence('z0', 'e2', 200))
  t.true(outages.isAvoided('z0'))
  t.true(outages.recordAnswer('z0'))
  t.false(outages.isAvoided('z0'))
})

test('silent endpoints of a zone that responds in between, or long ago, are no outage', t => {
  const outages = zoneOutages.createZoneOutages(() => ZONES)
  outages.recordSilence('z0', 'e1', 0)
  outages.recordAnswer('z0')
  t.false(outages.recordSilence('z0', 'e2', 100))
  t.false(outages.recordSilence('z0', 'e3', 5000))
  t.false(outages.isAvoided('z0'))
})

// An instance that is cut off itself must not avoid all endpoints.
test('no zone is avoided while none responds', t => {
  const outages = zoneOutages.createZoneOutages(() => ZONES)
  for (const zone of ZONES) for (const id of ['e1', 'e2']) outages.recordSilence(zone, id, 0)
  for (const zone of ZONES) t.false(outages.isAvoided(zone))
  outages.recordAnswer('z1')
  t.true(outages.isAvoided('z0'))
})

function toEndpoints (count: number): endpointPools.Endpoint[] {
  return Array.from({ length: count }, (_, i) => ({ id: `e${i}`, downListeners: new Set() }) as unknown as endpointPools.Endpoint)
}

test('a suspect zone is probed until it responds, and waiting requests are aborted', async t => {
  const outages = zoneOutages.createZoneOutages(() => ZONES)
  const endpoints = toEndpoints(9)
  let aborted = 0
  for (const endpoint of endpoints) endpoint.downListeners.add(() => { aborted++ })
  let isDown = true
  const probeZone = zoneProbers.createZoneProber({ outages, endpointsIn: () => endpoints, probe: async () => isDown ? SILENT : undefined, log })
  outages.recordSilence('z0', 'e0', 0)
  outages.recordSilence('z0', 'e1', 0)
  const ended = probeZone('z0')
  await timers.setTimeout(50)
  t.is(aborted, endpoints.length)
  t.true(outages.isAvoided('z0'))
  isDown = false
  await Promise.all([ended, timers.setTimeout(1000)])
  t.false(outages.isAvoided('z0'))
  t.is(aborted, endpoints.length)
})

// Two of many endpoints may crash at the same time; the rest of their zone must stay in use.
test('a zone in which other endpoints accept connections is used again at once, and no request is aborted', async t => {
  const outages = zoneOutages.createZoneOutages(() => ZONES)
  const endpoints = toEndpoints(9)
  for (const endpoint of endpoints) endpoint.downListeners.add(() => { t.fail('aborted') })
  const probeZone = zoneProbers.createZoneProber({ outages, endpointsIn: () => endpoints, probe: async () => ({ why: 'refused', isSilent: false }), log })
  outages.recordSilence('z0', 'e0', 0)
  outages.recordSilence('z0', 'e1', 0)
  await probeZone('z0')
  t.false(outages.isAvoided('z0'))
})

/** Connect timeout that a request spends on a silent endpoint, in milliseconds. */
const CONNECT_TIMEOUT_MS = 350
const MAX_ATTEMPTS = 4
const INSTANCES = 63
const ENDPOINTS_PER_ZONE = 33
const REQUESTS_PER_SECOND = 7

/** Replays the loss of a zone at one instance. @returns requests that waited for two silent endpoints or more */
function replayZoneLoss (seed: number, isZoneAware: boolean): number {
  const random = randoms.createRandom(seed)
  const outages = zoneOutages.createZoneOutages(() => ZONES)
  const backoffUntil = new Map<string, number>()
  let waited = 0
  for (let at = 0; at < 8000; at += 1000 / REQUESTS_PER_SECOND) {
    let now = at
    let silent = 0
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const candidates = [...ZONES].flatMap(zone => Array.from({ length: ENDPOINTS_PER_ZONE }, (_, i) => ({ zone, id: `${zone}-${i}` })))
        .filter(item => (backoffUntil.get(item.id) ?? 0) <= now && !(isZoneAware && outages.isAvoided(item.zone)))
      const chosen = candidates[Math.floor(random() * candidates.length)]
      if (chosen.zone !== 'z0') {
        outages.recordAnswer(chosen.zone)
        break
      }
      silent++
      now += CONNECT_TIMEOUT_MS
      backoffUntil.set(chosen.id, now + 1000)
      outages.recordSilence('z0', chosen.id, now)
    }
    if (silent > 1) waited++
  }
  return waited
}

// Load pattern: a third of the endpoints falls silent at once, and each instance sees few requests a second.
test('at the loss of a zone hardly any request waits for a second silent endpoint', t => {
  const before = Array.from({ length: INSTANCES }, (_, i) => replayZoneLoss(i, false)).reduce((sum, count) => sum + count, 0)
  const after = Array.from({ length: INSTANCES }, (_, i) => replayZoneLoss(i, true)).reduce((sum, count) => sum + count, 0)
  t.log({ before, after })
  t.true(after <= INSTANCES, `${after} requests of ${INSTANCES} instances waited`)
  t.true(after < before / 3, `${after} requests, ${before} without the detection`)
})

// Guards against a zone that is avoided for ever because one request could not be ended.
test('a request that cannot be ended does not end the probes of its zone', async t => {
  const outages = zoneOutages.createZoneOutages(() => ZONES)
  const endpoints = toEndpoints(3)
  let aborted = 0
  endpoints[0].downListeners.add(() => { throw new Error('test') })
  for (const endpoint of endpoints) endpoint.downListeners.add(() => { aborted++ })
  let isDown = true
  const probeZone = zoneProbers.createZoneProber({ outages, endpointsIn: () => endpoints, probe: async () => isDown ? SILENT : undefined, log })
  outages.recordSilence('z0', 'e0', 0)
  outages.recordSilence('z0', 'e1', 0)
  const ended = probeZone('z0')
  await timers.setTimeout(50)
  isDown = false
  await t.notThrowsAsync(Promise.all([ended, timers.setTimeout(1000)]))
  t.is(aborted, endpoints.length)
  t.false(outages.isAvoided('z0'))
})
