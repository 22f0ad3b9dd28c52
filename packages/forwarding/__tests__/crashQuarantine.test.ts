/** Quarantine of requests that crash endpoints, and service of requests that were only in flight beside them. */
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as crashBehaviours from './helpers/crashBehaviours.js'
import * as stallClocks from './helpers/stallClock.js'
import * as helper from './helpers/testEntry.js'
import type * as routeTables from '../src/admission/routeTable.js'

const test = ava.default
const ENDPOINTS = 9
const SENDS = 9
const SEND_INTERVAL_MS = 250
/** Crashes after which the request must not be sent again. */
const MAX_CRASHES = 3
const TIMEOUTS = { targetMs: 10_000, timeoutMs: 20_000 }
const DEADLINE = { 'x-deadline-ms': '20000' }
const CRASHING = '/a/crashing'
/** Longest stall of the machine at which all sends after an outage fall in the time within which its cause need not be known. */
const MAX_STALL_MS = 500

/** Starts endpoints that crash with the request {@link CRASHING} and keep all others in flight. */
async function startEndpoints (t: ava.ExecutionContext, crash: crashBehaviours.Crash, opts: { acceptsForMs?: number, /** Whether it accepts connections again at once. */ isRestarted?: boolean } = {}): Promise<helper.TestEndpoint[]> {
  const endpoints: helper.TestEndpoint[] = []
  for (let i = 0; i < (ENDPOINTS); i++) {
    endpoints.push(await helper.startEndpoint(`e${i}`, (req, res) => {
      if (req.url !== CRASHING) return
      crash(req, res, () => {
        const { isRestarted = false, acceptsForMs } = opts
        if (!isRestarted && acceptsForMs === undefined) endpoints[i].stopListening()
        endpoints[i].disconnect()
        if (acceptsForMs !== undefined) setTimeout(() => { endpoints[i].close() }, acceptsForMs)
      })
    }))
  }
  t.teardown(() => { endpoints.forEach(item => { item.close() }) })
  return endpoints
}

async function startEntry (t: ava.ExecutionContext, endpoints: helper.TestEndpoint[], change: Partial<routeTables.Route>): Promise<helper.TestEntry> {
  const entry = await helper.startEntry([helper.toRoute({ ...TIMEOUTS, ...change })], endpoints, { retrySlack: 1000 })
  t.teardown(() => { entry.close() })
  return entry
}

function countCrashed (endpoints: helper.TestEndpoint[]): number {
  return endpoints.filter(item => item.requests.some(req => req.url === CRASHING)).length
}

async function sendCrashing (entry: helper.TestEntry, body = 'crash'): Promise<helper.TestResponse> {
  return await entry.send({ method: 'POST', path: CRASHING, body, headers: DEADLINE })
}

/** Sends the crashing request again and again, and checks how many endpoints it crashed and what its client received last. */
async function checkCrashing (t: ava.ExecutionContext, endpoints: helper.TestEndpoint[], entry: helper.TestEntry): Promise<void> {
  let last: helper.TestResponse | undefined
  for (let i = 0; i < SENDS; i++) {
    last = await sendCrashing(entry)
    await timers.setTimeout(SEND_INTERVAL_MS)
  }
  t.is(countCrashed(endpoints), MAX_CRASHES)
  t.is(last?.status, 503)
  t.true(Number(last?.headers['retry-after']) >= 10)
}

const CRASHING_ROUTES: Array<[name: string, crash: crashBehaviours.Crash, change: Partial<routeTables.Route>]> = [
  ['buffered, one attempt', crashBehaviours.beforeResponse, { maxAttempts: 1 }],
  ['buffered, two attempts', crashBehaviours.beforeResponse, { maxAttempts: 2 }],
  ['may run once', crashBehaviours.beforeResponse, { kind: 'once', maxAttempts: 1 }],
  ['stream, not resumable, before the headers', crashBehaviours.beforeResponse, { kind: 'stream', maxAttempts: 1 }],
  ['stream, not resumable, before the first event', crashBehaviours.afterHeaders, { kind: 'stream', maxAttempts: 1 }],
  ['stream, not resumable, after an event', crashBehaviours.afterEvent, { kind: 'stream', maxAttempts: 1 }],
  ['stream, resumable, before the headers', crashBehaviours.beforeResponse, { kind: 'stream', isResumable: true, maxAttempts: 2 }],
  ['stream, resumable, before the first event', crashBehaviours.afterHeaders, { kind: 'stream', isResumable: true, maxAttempts: 2 }],
  ['stream, resumable, after an event', crashBehaviours.afterEvent, { kind: 'stream', isResumable: true, maxAttempts: 2 }],
  ['stream, resumable, more attempts than crashes', crashBehaviours.afterEvent, { kind: 'stream', isResumable: true, maxAttempts: 6 }]
]

for (const [name, crash, change] of CRASHING_ROUTES) {
  // Guards against a request that is sent on after it has crashed three endpoints.
  test(`a crashing request stops after three crashes: ${name}`, async t => {
    const endpoints = await startEndpoints(t, crash)
    await checkCrashing(t, endpoints, await startEntry(t, endpoints, change))
  })
}

// Guards against a crash that goes unnoticed because the port still accepts connections right after it.
test('a crash is found out if the port accepts connections for a while longer', async t => {
  const endpoints = await startEndpoints(t, crashBehaviours.beforeResponse, { acceptsForMs: 100 })
  await checkCrashing(t, endpoints, await startEntry(t, endpoints, { maxAttempts: 1 }))
})

// Guards against a crash that goes unnoticed because the endpoint is back before it is probed.
test('a crash is found out by the next start of its endpoint', async t => {
  const endpoints = await startEndpoints(t, crashBehaviours.afterEvent, { isRestarted: true })
  const entry = await startEntry(t, endpoints, { kind: 'stream', maxAttempts: 1 })
  const starts = new Map(endpoints.map(item => [item, 0]))
  for (let i = 0; i < SENDS; i++) {
    await sendCrashing(entry)
    await timers.setTimeout(SEND_INTERVAL_MS / 2)
    for (const endpoint of endpoints) {
      if (starts.get(endpoint) === endpoint.requests.length) continue
      starts.set(endpoint, endpoint.requests.length)
      entry.announce(endpoint, { id: `${endpoint.id}-${endpoint.requests.length}`, startedAt: 1 + endpoint.requests.length })
    }
  }
  t.is(endpoints.reduce((sum, item) => sum + item.requests.length, 0), MAX_CRASHES)
})

// Guards against requests beside the crashing one that take the blame, or hide it.
test('a crashing request is quarantined beside many others, which are not', async t => {
  const endpoints = await startEndpoints(t, crashBehaviours.afterEvent)
  const entry = await startEntry(t, endpoints, { kind: 'stream', maxAttempts: 1 })
  const others = Array.from({ length: 30 }, async (_, i) => await entry.send({ method: 'POST', path: '/a/other', body: `other ${i}`, headers: DEADLINE }).catch(() => undefined))
  // One request is in flight at all endpoints, so it is lost in each crash.
  const popular = Array.from({ length: 4 * ENDPOINTS }, async () => await entry.send({ method: 'POST', path: '/a/popular', body: 'popular', headers: DEADLINE }).catch(() => undefined))
  await until(() => endpoints.every(item => item.requests.some(req => req.url === '/a/popular')))
  await checkCrashing(t, endpoints, entry)
  t.true(await reaches(entry, endpoints, '/a/popular', 'popular'))
  for (let i = 0; i < 30; i++) t.true(await reaches(entry, endpoints, '/a/other', `other ${i}`))
  entry.server.destroy()
  await Promise.all([...others, ...popular])
})

for (const change of [{ maxAttempts: 2 }, { kind: 'stream' as const, maxAttempts: 1 }, { kind: 'stream' as const, isResumable: true, maxAttempts: 2 }]) {
  const name = [change.kind ?? 'idempotent', change.isResumable === true ? ', resumable' : ''].join('')
  // Guards against rejecting a request that was in flight everywhere when endpoints were lost for another reason.
  test(`a popular request is served after four endpoints are lost at once: ${name}`, async t => {
    t.deepEqual(await stallClocks.playWithoutStall(MAX_STALL_MS, async () => await playOutage(t, change)), [true, true, true, true])
  })
}

/** Loses four endpoints at once while a request is in flight at all of them. @returns whether it reached an endpoint each time that it was sent then */
async function playOutage (t: ava.ExecutionContext, change: Partial<routeTables.Route>): Promise<boolean[]> {
  const endpoints = await startEndpoints(t, crashBehaviours.beforeResponse)
  const entry = await startEntry(t, endpoints, change)
  const others = Array.from({ length: 30 }, async (_, i) => await entry.send({ method: 'POST', path: '/a/other', body: `other ${i}`, headers: DEADLINE }).catch(() => undefined))
  const popular = Array.from({ length: 4 * ENDPOINTS }, async () => await entry.send({ method: 'POST', path: '/a/popular', body: 'popular', headers: DEADLINE }).catch(() => undefined))
  await until(() => endpoints.every(item => item.requests.some(req => req.url === '/a/popular')))
  for (const endpoint of endpoints.slice(0, 4)) endpoint.close()
  const reached: boolean[] = []
  for (let i = 0; i < 4; i++) {
    reached.push(await reaches(entry, endpoints, '/a/popular', 'popular'))
    await timers.setTimeout(300)
  }
  entry.server.destroy()
  await Promise.all([...others, ...popular])
  return reached
}

// Guards against rejecting a request that follows crashes but has since succeeded.
test('crashes before a completed run do not count', async t => {
  let isCrashing = true
  const endpoints: helper.TestEndpoint[] = []
  for (let i = 0; i < 6; i++) endpoints.push(await helper.startEndpoint(`e${i}`, (req, res, count) => { if (isCrashing) endpoints[i].close(); else helper.healthy(req, res, count) }))
  const entry = await startEntry(t, endpoints, { maxAttempts: 1 })
  t.teardown(() => { endpoints.forEach(item => { item.close() }) })
  const crash = async (): Promise<void> => {
    isCrashing = true
    await sendCrashing(entry)
    await timers.setTimeout(100)
    isCrashing = false
  }
  await crash()
  await crash()
  t.is((await sendCrashing(entry)).status, 200)
  await crash()
  t.is((await sendCrashing(entry)).status, 200)
})

// Guards against taking back a crash because of a response of the process that was started at the address afterwards.
test('a crash counts although another process responds at the address of the endpoint', async t => {
  const endpoint = await helper.startEndpoint('e0', (req, res) => { res.writeHead(421, { 'x-attempt': req.headers['x-attempt'], 'x-not-run': '1' }).end() })
  const entry = await startEntry(t, [endpoint], { maxAttempts: 1 })
  t.teardown(() => { endpoint.close() })
  for (const incarnation of ['e0@1', 'e1@1', 'e2@1']) {
    entry.quarantine.startRun(['x'], incarnation, performance.now()).end('lost', performance.now())
    entry.quarantine.confirmDown(incarnation, performance.now(), 'refused')
  }
  t.true(entry.quarantine.isQuarantined(['x'], performance.now()))
  await entry.send()
  t.is(endpoint.requests.length, 1)
  t.true(entry.quarantine.isQuarantined(['x'], performance.now()))
})

/** Waits until a condition holds. */
async function until (isMet: () => boolean): Promise<void> {
  for (let i = 0; i < 500 && !isMet(); i++) await timers.setTimeout(10)
  if (!isMet()) throw new Error('the condition was not met within 5 s')
}

/** Returns whether a request reaches an endpoint; it is then left in flight. */
async function reaches (entry: helper.TestEntry, endpoints: helper.TestEndpoint[], path: string, body: string): Promise<boolean> {
  const count = (): number => endpoints.reduce((sum, item) => sum + item.requests.filter(req => req.url === path && req.body === body).length, 0)
  const before = count()
  const answer = entry.send({ method: 'POST', path, body, headers: DEADLINE }).catch(() => undefined)
  const arrival = until(() => count() > before).catch(() => undefined)
  await Promise.race([answer, arrival])
  return count() > before
}
