/** Refusals: sent promptly, with a retry time and a correct statement whether the request ran; and unauthenticated peers. */
import * as net from 'node:net'
import * as ava from 'ava'
import * as contracts from '@kingcupdeck/contracts'
import * as smallFleet from './helpers/smallFleet.js'

const test = ava.default
let fleet: smallFleet.SmallFleet
const closing: Array<() => Promise<void>> = []

test.before(async () => {
  fleet = await smallFleet.startSmallFleet({ teardown: run => { closing.push(run as () => Promise<void>) } }, {
    engines: 2,
    speed: { slots: 2, decodeMs: 20 },
    editDocument: doc => {
      doc.clientAccounts.galleries.requestsPerSecond = 5
      doc.clientAccounts.galleries.burst = 5
      doc.patience = { always: { priority: 'interactive', from: '00:00', to: '00:00', waitSeconds: 1 } }
    }
  })
})
test.after.always(async () => { for (const run of closing) await run() })

const url = (i = 0): string => `${fleet.routers[i].url}/v1/chat/completions`
const chat = (content: string, words = 8): unknown => ({ model: 'frame-assistant', max_tokens: words, messages: [{ role: 'user', content }] })

// Guards against limits that each instance applies on its own.
test.serial('the limit of a client account applies across instances, and refusals have a retry time', async t => {
  const startedAt = performance.now()
  const replies: smallFleet.Reply[] = []
  while (performance.now() - startedAt < 4000) {
    replies.push(...await Promise.all([0, 1].map(async i => await smallFleet.post(url(i), 'galleries', chat('surge', 1)))))
  }
  const refused = replies.filter(reply => reply.status === 429)
  t.true(refused.length > 0)
  for (const reply of refused) {
    t.is(smallFleet.toError(reply).code, 'account_limit')
    t.is(smallFleet.toError(reply).ran, 'no')
    t.true(Number(reply.headers.get('retry-after')) >= 1)
  }
  // Allows a full burst at each instance until the fleet-wide share arrives with a lease renewal.
  t.true(replies.length - refused.length <= 5 * 4 + 2 * 5 + 2 * 5, `${replies.length - refused.length} passed`)
  t.is((await smallFleet.post(url(), 'clerks', chat('someone else'))).status, 200)
})

// The engines are full. The refusal must come as soon as the wait is known to be too long, not after it.
test.serial('a request whose estimated wait exceeds its patience is refused at once', async t => {
  const busy = Array.from({ length: 30 }, async (_, i) => await smallFleet.post(url(i % 2), 'clerks', chat(`busy ${i}`, 100)))
  await smallFleet.pause(700)
  const startedAt = performance.now()
  const reply = await smallFleet.post(url(), 'clerks', chat('impatient'))
  const tookMs = performance.now() - startedAt
  t.is(smallFleet.toError(reply).code, 'patience_over')
  t.is(smallFleet.toError(reply).ran, 'no')
  t.true(Number(reply.headers.get('retry-after')) >= 1)
  t.true(tookMs < 1000, `refused after ${tookMs} ms`)
  const ids = (await Promise.all(busy)).filter(item => item.status !== 200).map(item => smallFleet.toError(item).request_id ?? '')
  for (const id of ids) t.false(fleet.engines.some(engine => engine.runs.has(id)), 'a request that was refused as not run did run')
})

test.serial('invalid requests get a typed error', async t => {
  const tooLarge = await smallFleet.post(url(), 'clerks', chat('x'.repeat(200_000)))
  t.is(smallFleet.toError(tooLarge).code, 'body_too_large')
  t.is(smallFleet.toError(await smallFleet.post(url(), 'clerks', '{"model":')).code, 'bad_request')
  t.is(smallFleet.toError(await smallFleet.post(url(), 'clerks', [])).code, 'bad_request')
  t.is(smallFleet.toError(await smallFleet.post(url(), 'nobody', chat('x'))).code, 'unauthenticated')
  t.is(smallFleet.toError(await smallFleet.post(`${fleet.routers[0].url}/v1/nothing`, 'clerks', {})).code, 'not_found')
  t.is(smallFleet.toError(await smallFleet.post(url(), 'clerks', chat('x'), { 'x-priority': 'royal' })).code, 'bad_request')
  t.is(smallFleet.toError(await smallFleet.post(`${fleet.routers[0].url}/v1/services/bookings/charge-deposit`, 'galleries', {})).code, 'unknown_service')
  t.is(smallFleet.toError(await smallFleet.post(`${fleet.routers[0].url}/v1/announcements`, 'clerks', { endpoint: 'x' })).code, 'bad_request')
})

test.serial('an announcement without the token of its service is refused', async t => {
  const announcement: contracts.Announcement = { endpoint: 'rogue', service: 'assistant', zone: 'bkk-a', host: '127.0.0.1', port: 1, boot: 1, seq: 1, state: 'ready', slots: 1, weight: 1, load: 0, carries: [], checksFencing: false, fence: 0, cacheEvents: [] }
  t.is(smallFleet.toError(await smallFleet.post(`${fleet.routers[0].url}/v1/announcements`, 'clerks', announcement)).code, 'unauthenticated')
})

// Sends an oversized frame, an HTTP request, and a frame that is no handshake.
test.serial('unauthenticated connections to the peer port are closed', async t => {
  const { port } = new URL(`http://${fleet.routers[0].peerAddress}`)
  for (const bytes of [Buffer.from([0x7f, 0xff, 0xff, 0xff]), Buffer.from('GET / HTTP/1.1\r\n\r\n'), Buffer.from([0, 0, 0, 3, 1, 2, 3])]) {
    const ended = await new Promise<boolean>(resolve => {
      const socket = net.connect(Number(port), '127.0.0.1', () => { socket.write(bytes) })
      socket.on('error', () => {})
      socket.on('close', () => { resolve(true) })
      socket.resume()
    })
    t.true(ended)
  }
})

test.serial('secrets are not logged', t => {
  const text = fleet.logLines.join('\n')
  t.true(text.length > 0)
  for (const secret of ['demo-clerks', 'demo-endpoint-assistant', 'demo-operator', 'a-secret-of-the-small-fleet']) t.false(text.includes(secret), secret)
})

test.serial('explain returns the steps of a request, at every instance and for operators only', async t => {
  const reply = await smallFleet.post(url(0), 'clerks', chat('explain me'))
  const id = reply.headers.get('x-request-id') ?? ''
  for (const router of fleet.routers) {
    const trace = await fetch(`${router.url}/v1/explain/${encodeURIComponent(id)}`, { headers: { authorization: 'Bearer demo-operator' } }).then(async res => await res.json() as { steps: Array<{ step: string }> })
    t.deepEqual(trace.steps.map(item => item.step).slice(-2), ['accepted', 'answered'])
  }
  t.is((await fetch(`${fleet.routers[0].url}/v1/explain/x`, { headers: { authorization: 'Bearer demo-clerks' } })).status, 401)
})

test.serial('metrics are labelled by client account and priority', async t => {
  const text = await fetch(`${fleet.routers[0].url}/metrics`).then(async res => await res.text())
  t.regex(text, /kingcupdeck_first_token_seconds_bucket\{le="0.37",account="clerks",priority="interactive"\}/)
  t.regex(text, /kingcupdeck_invariant_checked\{invariant="loadCap"\} [1-9]/)
})
