/** Questions about lost paths, and who helps, without sockets. */
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as url from 'node:url'
import * as ava from 'ava'
import type * as discovery from '@kingcupdeck/discovery'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import type * as endpointPools from '../src/endpoints/endpointPool.js'
import * as reachMessages from '../src/paths/reachMessages.js'
import * as reachQueries from '../src/paths/reachQuery.js'
import * as tunnelServers from '../src/paths/tunnelServer.js'

const test = ava.default
const MAX_ASKED = 8
/** Longer than replies are waited for. */
const STALL_MS = 400

function toEndpoint (id: string, change: object = {}): endpointPools.Endpoint {
  return { id, record: { address: `10.0.0.${id.slice(1)}:80` }, answeredAt: -Infinity, helpers: undefined, dial: async () => new net.Socket(), ...change } as unknown as endpointPools.Endpoint
}

function toPeer (i: number, change: Partial<discovery.EntryRecord> = {}): discovery.EntryRecord {
  return { kind: 'entry', id: `i${i}`, startedAt: 1, seq: 1, zone: `z${i % 20}`, region: 'r', front: `f${i}`, inner: `n${i}`, state: 'ready', ...change }
}

interface Query {
  find: (endpoint: endpointPools.Endpoint) => Promise<reachQueries.Reach>
  calls: Array<{ peer: string, endpoints: number }>
}

/** @param reach returns the ids that a peer reaches; throws if it is down */
function createQuery (peers: discovery.EntryRecord[], reach: (peer: string, ids: string[]) => string[]): Query {
  const calls: Query['calls'] = []
  const connect = async (peer: string): Promise<links.Link> => ({
    async call (body: unknown) {
      const { endpoints } = reachMessages.reachCall.parse(body)
      calls.push({ peer, endpoints: endpoints.length })
      return { reached: reach(peer, endpoints.map(([id]) => id)), load: 1 }
    }
  }) as unknown as links.Link
  const find = reachQueries.createReachQuery({ zone: 'z1', region: 'r', peers: () => peers, connect, onLoad: () => {} })
  return { find: async endpoint => await find(endpoint, 0), calls }
}

// Guards against messages that grow with the fleet or with the endpoints of a lost path.
test('all lost paths of an instance are asked about in a few messages, in a fleet of any size', async t => {
  const { find, calls } = createQuery(Array.from({ length: 300 }, (_, i) => toPeer(i)), (peer, ids) => ids)
  const reaches = await Promise.all(Array.from({ length: 100 }, async (_, i) => await find(toEndpoint(`e${i}`))))
  t.true(reaches.every(item => item.helpers.length > 0))
  t.true(calls.length <= 2 * MAX_ASKED)
  t.true(calls.every(item => item.endpoints <= reachMessages.MAX_ASKED_ENDPOINTS))
  t.true(calls.some(item => item.peer === 'n1' || Number(item.peer.slice(1)) % 20 === 1), 'some of the same zone')
})

// Guards against endpoints that are taken for down because the process that asked stalled until its deadline.
test('a reply that arrived during a stall of the process counts', async t => {
  const connect = async (): Promise<links.Link> => ({
    async call (body: unknown) {
      // The status is read by another thread, as a reply is received by the kernel.
      const reply = fs.promises.stat(url.fileURLToPath(import.meta.url))
      const end = performance.now() + STALL_MS
      while (performance.now() < end);
      await reply
      const { endpoints } = reachMessages.reachCall.parse(body)
      return { reached: endpoints.map(([id]) => id), load: 1 }
    }
  }) as unknown as links.Link
  const find = reachQueries.createReachQuery({ zone: 'z1', region: 'r', peers: () => [toPeer(1)], connect, onLoad: () => {} })
  t.deepEqual((await find(toEndpoint('e1'), 0)).helpers, ['n1'])
})

// Guards against requests that leave the region to which they are bound.
test('instances of other regions are asked only if there is none in the same region', async t => {
  const far = toPeer(1, { region: 'other' })
  const both = createQuery([far, toPeer(2)], (peer, ids) => ids)
  t.deepEqual((await both.find(toEndpoint('e1'))).helpers, ['n2'])
  const onlyFar = createQuery([far], (peer, ids) => ids)
  t.deepEqual((await onlyFar.find(toEndpoint('e1'))).helpers, ['n1'])
})

// Guards against an instance that is down and holds up the verdict, or vouches for the endpoint by its silence.
test('instances that do not reply are no statement about an endpoint', async t => {
  const down = createQuery([toPeer(1)], () => { throw new Error('unreachable') })
  const unknown = await down.find(toEndpoint('e1'))
  t.false(unknown.isAnswered)
  t.deepEqual(unknown.helpers, [])
  const others = createQuery([toPeer(1), toPeer(2)], peer => { if (peer === 'n1') throw new Error('unreachable'); return [] })
  const reach = await others.find(toEndpoint('e1'))
  t.true(reach.isAnswered)
  t.deepEqual(reach.helpers, [])
})

test('an instance that is leaving is not asked', async t => {
  const { find, calls } = createQuery([toPeer(1, { state: 'leaving' }), toPeer(2)], (peer, ids) => ids)
  await find(toEndpoint('e1'))
  t.deepEqual(calls.map(item => item.peer), ['n2'])
})

function createServer (endpoints: endpointPools.Endpoint[], change: Partial<tunnelServers.TunnelServerOptions> = {}): tunnelServers.TunnelServer {
  const log = telemetry.createLog({ instance: 'test', level: 'silent' })
  return tunnelServers.createTunnelServer({ pool: { get: id => endpoints.find(item => item.id === id) }, dialDirectly: async () => new net.Socket(), isAccepting: () => true, isDraining: () => false, openRequests: () => 3, log, now: () => 0, ...change })
}

const toCall = (id: string): reachMessages.ReachCall => ({ t: 'reach', endpoints: [[id, toEndpoint(id).record.address]], maxAgeMs: 0 })

// Guards against requests that pass from one instance without a path to the next.
test('an instance helps only with its own path', async t => {
  const server = createServer([toEndpoint('e1'), toEndpoint('e2', { helpers: ['n9'] })])
  t.deepEqual((await server.answer(toCall('e1'))).reached, ['e1'])
  t.deepEqual((await server.answer(toCall('e2'))).reached, [])
  await t.throwsAsync(server.open(reachMessages.toTarget(toEndpoint('e2'))), { instanceOf: links.TunnelError })
})

// Guards against an open proxy, and against an address that belongs to another endpoint now.
test('an instance connects only to endpoints that it knows at their address', async t => {
  const server = createServer([toEndpoint('e1')])
  await t.throwsAsync(server.open('e7 10.0.0.7:80'), { instanceOf: links.TunnelError })
  await t.throwsAsync(server.open('e1 10.0.0.9:80'), { instanceOf: links.TunnelError })
})

test('an instance that drains helps, but is not proposed', async t => {
  const server = createServer([toEndpoint('e1')], { isDraining: () => true })
  t.deepEqual((await server.answer(toCall('e1'))).reached, [])
  t.truthy(await server.open(reachMessages.toTarget(toEndpoint('e1'))))
  const stopping = createServer([toEndpoint('e1')], { isAccepting: () => false })
  await t.throwsAsync(stopping.open(reachMessages.toTarget(toEndpoint('e1'))), { instanceOf: links.TunnelError })
})

// Guards against descriptors that run out at the only instance with a path.
test('the tunnels of an instance are bounded, and closed ones make room', async t => {
  const sockets: net.Socket[] = []
  const server = createServer([toEndpoint('e1')], { dialDirectly: async () => sockets[sockets.push(new net.Socket()) - 1] })
  const open = async (): Promise<net.Socket> => await server.open(reachMessages.toTarget(toEndpoint('e1')))
  for (let i = 0; i < 1000; i++) await open()
  await t.throwsAsync(open(), { instanceOf: links.TunnelError })
  sockets[0].emit('close')
  t.truthy(await open())
})
