/** Operator requests to any control instance, and replication between control instances. */
import * as ava from 'ava'
import type * as contracts from '@kingcupdeck/contracts'
import * as smallFleet from './helpers/smallFleet.js'

const test = ava.default.serial

const ask = async (url: string): Promise<{ status: number, body: contracts.FleetStatus }> => {
  const res = await fetch(`${url}/v1/status`, { headers: { authorization: 'Bearer demo-operator' } })
  return { status: res.status, body: await res.json() as contracts.FleetStatus }
}

const committedOn = async (url: string): Promise<number> => {
  const health = await fetch(`${url}/health`).then(async res => await res.json() as { replicas: Array<{ group: string, commit: number }> })
  return health.replicas.find(item => item.group === 'fleet')?.commit ?? 0
}

// Followers forward operator requests to the leader over connections of their own. Guards against the leader using these for
// replication, where every append failed until the quorum was lost.
test('operator requests to every control instance do not disturb replication', async t => {
  const fleet = await smallFleet.startSmallFleet(t, { controls: 3, routers: 1, engines: 1 })
  for (let round = 0; round < 3; round++) {
    for (const control of fleet.controls) t.is((await ask(control.url)).status, 200)
  }
  const { version, document } = await fetch(`${fleet.controls[0].url}/v1/config`, { headers: { authorization: 'Bearer demo-operator' } }).then(async res => await res.json() as { version: number, document: contracts.Document })
  const put = await fetch(`${fleet.controls[1].url}/v1/config?base=${version}&operation=one`, { method: 'PUT', headers: { authorization: 'Bearer demo-operator' }, body: JSON.stringify({ ...document, zones: { ...document.zones, extra: { title: 'one more' } } }) })
  t.is(put.status, 200)
  const { leader } = (await ask(fleet.controls[0].url)).body
  await smallFleet.waitUntil(async () => new Set(await Promise.all(fleet.controls.map(async control => await committedOn(control.url)))).size === 1, 8000)
  await fleet.controls[Number(leader.slice(1)) - 1].shutdown()
  const left = fleet.controls.filter((_, i) => `c${i + 1}` !== leader)
  await smallFleet.waitUntil(async () => (await ask(left[0].url)).status === 200, 15_000)
  t.not((await ask(left[1].url)).body.leader, leader)
})
