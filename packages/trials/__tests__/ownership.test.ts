/** Guarantees of an owner for its endpoints: load cap, no requests to leaving engines, and orders in fencing order. */
import * as ava from 'ava'
import * as contracts from '@kingcupdeck/contracts'
import * as smallFleet from './helpers/smallFleet.js'

// Serial, since concurrent fleets in one process slow each other down until timeouts fail.
const test = ava.default.serial
const chat = (content: string, words = 20): unknown => ({ model: 'frame-assistant', max_tokens: words, messages: [{ role: 'user', content }] })

// Guards against an engine overloaded by several entry instances that each see a part of its load.
test('no engine exceeds the load cap in a burst', async t => {
  const fleet = await smallFleet.startSmallFleet(t, { routers: 4, engines: 4 })
  const total = 56
  const replies = await Promise.all(Array.from({ length: total }, async (_, i) => await smallFleet.post(`${fleet.routers[i % 4].url}/v1/chat/completions`, 'clerks', chat(`same ${i % 3}`))))
  t.deepEqual(replies.filter(reply => reply.status !== 200).map(reply => reply.body), [])
  const cap = Math.ceil(1.25 * (total + 1) / 4)
  for (const engine of fleet.engines) t.true(engine.model.totals.maxLoad <= cap, `${engine.model.totals.maxLoad} over ${cap}`)
  for (const router of fleet.routers) t.is(router.invariants().loadCap.broken, 0)
  t.true(fleet.routers.some(router => router.invariants().loadCap.checked > 0))
})

test('a leaving engine finishes its requests and gets no new ones', async t => {
  const fleet = await smallFleet.startSmallFleet(t, { engines: 2 })
  const send = async (i: number): Promise<smallFleet.Reply> => await smallFleet.post(`${fleet.routers[i % 2].url}/v1/chat/completions`, 'clerks', chat(`frame ${i}`, 60))
  const before = Promise.all(Array.from({ length: 12 }, async (_, i) => await send(i)))
  await smallFleet.waitUntil(() => fleet.engines[0].runs.size + fleet.engines[1].runs.size === 12)
  await fleet.engines[0].leave()
  const startedBefore = fleet.engines[0].runs.size
  const after = await Promise.all(Array.from({ length: 12 }, async (_, i) => await send(100 + i)))
  t.true([...await before, ...after].every(reply => reply.status === 200))
  t.is(fleet.engines[0].runs.size, startedBefore)
  t.deepEqual(fleet.engines[0].lateStarts, [])
})

// Guards against a second prefill of the whole chat after a move.
test('a chat that moves to another engine has its KV cache imported', async t => {
  const fleet = await smallFleet.startSmallFleet(t, { engines: 1 })
  const url = `${fleet.routers[0].url}/v1/chat/completions`
  const messages: Array<{ role: string, content: string }> = [{ role: 'user', content: 'gold '.repeat(600) }]
  const turn = async (): Promise<void> => {
    const reply = await smallFleet.post(url, 'clerks', { model: 'frame-assistant', max_tokens: 8, messages }, { 'x-chat-id': 'one' })
    const { content } = (reply.body as { choices: Array<{ message: { content: string } }> }).choices[0].message
    messages.push({ role: 'assistant', content }, { role: 'user', content: 'and then' })
  }
  await turn()
  await fleet.addEngine('engine-2')
  await fleet.engines[0].leave()
  await smallFleet.waitUntil(async () => (await fetch(`http://127.0.0.1:${fleet.engines[1].port}/stats`).then(async res => await res.json() as { carries: unknown[] })).carries.length === 2)
  await smallFleet.waitUntil(async () => (await fetch(`${fleet.routers[0].url}/health`).then(async res => await res.json() as { endpoints: number })).endpoints === 1)
  await turn()
  const { totals } = fleet.engines[1].model
  t.true(totals.imported >= 560, `imported ${totals.imported}`)
  t.true(totals.cached / totals.prompt > 0.9, `${totals.cached} of ${totals.prompt}`)
})

// Guards against orders out of fencing order, for engines with and without a check of fencing numbers.
for (const checksFencing of [true, false]) {
  test(`engines load the models of a changed document in fencing order (checksFencing: ${checksFencing})`, async t => {
    const fleet = await smallFleet.startSmallFleet(t, { engines: 2, checksFencing })
    const target = `${fleet.controls[0].url}/v1/config`
    const headers = { authorization: 'Bearer demo-operator', 'content-type': 'application/json' }
    const { version, document } = await fetch(target, { headers }).then(async res => await res.json() as { version: number, document: contracts.Document })
    document.models['frame-assistant'].version = '4'
    const put = await fetch(`${target}?base=${version}&operation=upgrade`, { method: 'PUT', headers, body: JSON.stringify(document) })
    t.is(put.status, 200)
    await smallFleet.waitUntil(async () => {
      const all = await Promise.all(fleet.engines.map(async engine => await fetch(`http://127.0.0.1:${engine.port}/stats`).then(async res => await res.json() as { carries: contracts.ServedModel[] })))
      return all.every(stats => stats.carries.some(item => item.model === 'frame-assistant' && item.version === '4'))
    })
    for (const engine of fleet.engines) {
      const fences = engine.orders.map(order => order.fence)
      t.deepEqual(fences, [...fences].sort((a, b) => a - b))
      t.true(engine.orders.every(order => order.isObeyed))
    }
  })
}

// The stopping instance is entry and owner of running requests. Guards against requests cut off by its shutdown.
test('a graceful shutdown interrupts no request', async t => {
  const fleet = await smallFleet.startSmallFleet(t, { routers: 2, engines: 2 })
  const streams = Promise.all([0, 1].map(async i => await smallFleet.post(`${fleet.routers[i].url}/v1/chat/completions`, 'clerks', chat(`long ${i}`, 400))))
  await smallFleet.waitUntil(() => fleet.engines.some(engine => engine.model.load() > 0))
  const stopped = fleet.routers[0].shutdown()
  await smallFleet.pause(1500)
  const late = await smallFleet.post(`${fleet.routers[0].url}/v1/chat/completions`, 'clerks', chat('an old address'))
  t.is(late.status, 200, 'a caller with the old address was not served')
  const list = await fetch(`${fleet.routers[1].url}/v1/addresses`, { headers: { authorization: 'Bearer demo-clerks' } }).then(async res => await res.json() as contracts.AddressList)
  t.deepEqual(list.addresses.map(item => item.instance), ['r2'])
  for (const reply of await streams) t.is(reply.status, 200, JSON.stringify(reply.body))
  await stopped
  const after = await smallFleet.post(`${fleet.routers[1].url}/v1/chat/completions`, 'clerks', chat('afterwards'))
  t.is(after.status, 200)
})

// The connection stays open but delivers nothing, as after a NAT table loss. New connections work.
test('an unresponsive link is replaced and answers are complete', async t => {
  const fleet = await smallFleet.startSmallFleet(t, { routers: 3, engines: 3, isRelayed: true })
  const replies = Promise.all(Array.from({ length: 9 }, async (_, i) => await smallFleet.post(`${fleet.routers[i % 3].url}/v1/chat/completions`, 'clerks', chat(`silent ${i}`, 500))))
  await smallFleet.pause(400)
  for (const relay of fleet.relays) relay.blackholeOpenConnections()
  for (const reply of await replies) t.is(reply.status, 200, JSON.stringify(reply.body))
  t.true(fleet.logLines.some(line => line.includes('"event":"linkSilent"')))
})

// The restarted engine refuses every request and so has no load. Guards against retries that all go to this engine.
test('chats move away from an engine that restarted without its models', async t => {
  const fleet = await smallFleet.startSmallFleet(t, { routers: 2, engines: 3 })
  const turn = async (i: number): Promise<smallFleet.Reply> => await smallFleet.post(`${fleet.routers[i % 2].url}/v1/chat/completions`, 'clerks', chat(`opening ${i}`, 40), { 'x-chat-id': `chat-${i}` })
  const first = await Promise.all(Array.from({ length: 40 }, async (_, i) => await turn(i)))
  t.true(first.every(reply => reply.status === 200))
  const dead = fleet.engines[1]
  dead.kill()
  const restarted = await fleet.addEngine('engine-2', Object.keys(fleet.document.zones)[1], dead.port)
  restarted.refuseOrders()
  const second = await Promise.all(Array.from({ length: 40 }, async (_, i) => await turn(i)))
  t.deepEqual(second.filter(reply => reply.status !== 200).map(reply => reply.body), [])
})

// Guards against two owners: after its lease expired, another instance may own the endpoints.
test('an instance without a lease refuses requests as not run', async t => {
  const fleet = await smallFleet.startSmallFleet(t, { routers: 1, engines: 1 })
  const url = `${fleet.routers[0].url}/v1/chat/completions`
  t.is((await smallFleet.post(url, 'clerks', chat('before'))).status, 200)
  await fleet.controls[0].shutdown()
  await smallFleet.waitUntil(() => fleet.routers[0].member.leaseRemainingMs() < 0)
  const runs = fleet.engines[0].runs.size
  const reply = await smallFleet.post(url, 'clerks', chat('after'))
  t.is(smallFleet.toError(reply).code, 'not_serving')
  t.is(smallFleet.toError(reply).ran, 'no')
  t.is(fleet.engines[0].runs.size, runs)
})
