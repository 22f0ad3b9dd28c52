/** Restriction of requests to regions. */
import * as ava from 'ava'
import * as routeTables from '../src/admission/routeTable.js'
import * as helper from './helpers/testEntry.js'

const test = ava.default
const REGION_BY_ZONE = { z1: 'north', z2: 'south', z3: 'west' }

interface TestRegions { entry: helper.TestEntry, counts: () => number[], close: () => void }

async function startRegions (t: ava.ExecutionContext, routeRegions: string[] | null, accountRegions: string[] | null): Promise<TestRegions> {
  const endpoints = await Promise.all(['e1', 'e2', 'e3'].map(async id => await helper.startEndpoint(id, helper.healthy)))
  const entry = await helper.startEntry([helper.toRoute({ regions: routeRegions })], [], { regionByZone: REGION_BY_ZONE, accounts: [{ name: 'a', keys: ['k'], rank: null, regions: accountRegions }] })
  endpoints.forEach((endpoint, i) => { entry.announce(endpoint, { zone: `z${i + 1}` }) })
  return {
    entry,
    counts: () => endpoints.map(item => item.requests.length),
    close () {
      entry.close()
      for (const endpoint of endpoints) endpoint.close()
    }
  }
}

async function sendMany (entry: helper.TestEntry): Promise<number[]> {
  const statuses: number[] = []
  for (let i = 0; i < 15; i++) statuses.push((await entry.send({ headers: { 'x-key': 'k' } })).status)
  return statuses
}

test('a request runs only in the regions of its route', async t => {
  const { entry, counts, close } = await startRegions(t, ['south', 'west'], null)
  t.true((await sendMany(entry)).every(status => status === 200))
  t.is(counts()[0], 0)
  close()
})

test('a request runs only in the regions that both its route and its client account allow', async t => {
  const { entry, counts, close } = await startRegions(t, ['north', 'south'], ['south', 'west'])
  t.true((await sendMany(entry)).every(status => status === 200))
  t.deepEqual(counts(), [0, 15, 0])
  close()
})

test('a request is rejected at once if its route and its client account allow no common region', async t => {
  const { entry, counts, close } = await startRegions(t, ['north'], ['south'])
  t.true((await sendMany(entry)).every(status => status === 403))
  t.deepEqual(counts(), [0, 0, 0])
  close()
})

test('an endpoint in a zone of unknown region runs unrestricted requests only', async t => {
  const endpoint = await helper.startEndpoint('e1', helper.healthy)
  const entry = await helper.startEntry([helper.toRoute({ regions: ['north'] }), helper.toRoute({ name: 'free', pathPrefix: '/b/' })], [endpoint], { regionByZone: {} })
  t.is((await entry.send()).status, 503)
  t.is((await entry.send({ path: '/b/x' })).status, 200)
  entry.close()
  endpoint.close()
})

test('without a restriction there are no allowed regions to check', t => {
  t.is(routeTables.toAllowedRegions(helper.toRoute(), undefined), undefined)
})
