/** Parts of prompts that crash endpoints, in requests of which no two are alike, and the requests beside them. */
import type * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as ava from 'ava'
import * as crashBehaviours from './helpers/crashBehaviours.js'
import * as helper from './helpers/testEntry.js'
import type * as routeTables from '../src/admission/routeTable.js'

const test = ava.default
const ENDPOINTS = 12
const SENDS = 12
const SEND_INTERVAL_MS = 150
/** Crashes after which no request with the part must be sent. */
const MAX_CRASHES = 3
const TIMEOUTS = { targetMs: 10_000, timeoutMs: 20_000 }
const DEADLINE = { 'x-deadline-ms': '20000' }
const BAD = 'bad'

/** Returns whether a request has the part {@link BAD}, not as its last one. */
function isBad ({ headers }: { headers: http.IncomingHttpHeaders }): boolean {
  return String(headers['x-parts'] ?? '').split(',').map(item => item.split(':')[0]).slice(0, -1).includes(BAD)
}

/** Starts endpoints that crash with requests that have the part {@link BAD}, and serve all others. */
async function startEndpoints (t: ava.ExecutionContext, crash: crashBehaviours.Crash): Promise<helper.TestEndpoint[]> {
  const endpoints: helper.TestEndpoint[] = []
  for (let i = 0; i < ENDPOINTS; i++) {
    endpoints.push(await helper.startEndpoint(`e${i}`, (req, res, count) => {
      if (isBad(req)) crash(req, res, () => { endpoints[i].close() })
      else helper.healthy(req, res, count)
    }))
  }
  t.teardown(() => { endpoints.forEach(item => { item.close() }) })
  return endpoints
}

async function startEntry (t: ava.ExecutionContext, endpoints: helper.TestEndpoint[], change: Partial<routeTables.Route>): Promise<helper.TestEntry> {
  const entry = await helper.startEntry([helper.toRoute({ ...TIMEOUTS, hasPrompt: true, ...change })], endpoints, { retrySlack: 1000 })
  t.teardown(() => { entry.close() })
  return entry
}

let serial = 0
async function send (entry: helper.TestEntry, parts: string[]): Promise<helper.TestResponse> {
  serial++
  const list = [...parts, `own-${serial}`].map(id => `${id}:100`).join(',')
  return await entry.send({ method: 'POST', path: `/a/${serial}`, body: `body ${serial}`, headers: { ...DEADLINE, 'x-parts': list } })
}

function countCrashed (endpoints: helper.TestEndpoint[]): number {
  return endpoints.filter(item => item.requests.some(isBad)).length
}

const CASES: Array<[name: string, crash: crashBehaviours.Crash, change: Partial<routeTables.Route>, toPrompt: (i: number) => string[]]> = [
  ['buffered', crashBehaviours.beforeResponse, {}, () => ['root', BAD]],
  ['may run once', crashBehaviours.beforeResponse, { kind: 'once', maxAttempts: 1 }, () => ['root', BAD]],
  ['route without prompts', crashBehaviours.beforeResponse, { hasPrompt: false }, () => ['root', BAD]],
  ['stream that is not resumable', crashBehaviours.afterEvent, { kind: 'stream', maxAttempts: 1 }, () => ['root', BAD]],
  ['resumable stream', crashBehaviours.afterEvent, { kind: 'stream', isResumable: true, maxAttempts: 2 }, () => ['root', BAD]],
  ['neither length nor chunks', crashBehaviours.insideUnframed, { maxAttempts: 1 }, () => ['root', BAD]],
  ['first part', crashBehaviours.beforeResponse, {}, i => [BAD, `topic-${i % 3}`]],
  ['with changing neighbours', crashBehaviours.beforeResponse, {}, i => ['root', `before-${i}`, BAD, `after-${i}`]],
  ['one of hundreds', crashBehaviours.beforeResponse, {}, () => ['root', ...Array.from({ length: 300 }, (_, i) => `turn-${i}`), BAD]]
]

for (const [name, crash, change, toPrompt] of CASES) {
  // Guards against a part that crashes one endpoint after the other because no request that has it comes twice.
  test(`a part of prompts stops after three crashes: ${name}`, async t => {
    const endpoints = await startEndpoints(t, crash)
    const entry = await startEntry(t, endpoints, change)
    let last: helper.TestResponse | undefined
    for (let i = 0; i < SENDS; i++) {
      t.is((await send(entry, ['root', 'sound'])).status, 200)
      last = await send(entry, toPrompt(i))
      await timers.setTimeout(SEND_INTERVAL_MS)
    }
    t.is(countCrashed(endpoints), MAX_CRASHES)
    t.is(last?.status, 503)
    t.true(Number(last?.headers['retry-after']) >= 10)
    t.is((await send(entry, ['root', 'topic-0'])).status, 200)
  })
}

// Guards against a sound part that is held back because it was only seen beside the crashing one.
test('a part that only came with a crashing one is served without it', async t => {
  const endpoints = await startEndpoints(t, crashBehaviours.beforeResponse)
  const entry = await startEntry(t, endpoints, {})
  for (let i = 0; i < SENDS; i++) {
    await send(entry, ['rare', BAD])
    await timers.setTimeout(SEND_INTERVAL_MS)
  }
  t.is((await send(entry, ['rare'])).status, 200)
  t.is((await send(entry, ['rare', 'other'])).status, 200)
  t.is((await send(entry, ['rare', BAD])).status, 503)
  t.is(countCrashed(endpoints), MAX_CRASHES)
})

// Guards against a part that is trusted because of runs that it completed before it began to crash endpoints.
test('a part that turns bad is sent at most three times more than a new one', async t => {
  let hasTurned = false
  const endpoints: helper.TestEndpoint[] = []
  for (let i = 0; i < ENDPOINTS; i++) {
    endpoints.push(await helper.startEndpoint(`e${i}`, (req, res, count) => {
      if (hasTurned && isBad(req)) endpoints[i].close()
      else helper.healthy(req, res, count)
    }))
  }
  t.teardown(() => { endpoints.forEach(item => { item.close() }) })
  const entry = await startEntry(t, endpoints, {})
  for (let i = 0; i < 10; i++) t.is((await send(entry, ['root', BAD])).status, 200)
  hasTurned = true
  let crashed = 0
  for (let i = 0; i < 40; i++) {
    const { status } = await send(entry, ['root', BAD])
    if (status === 502) crashed++
    t.is((await send(entry, ['root', 'sound'])).status, 200)
    await timers.setTimeout(SEND_INTERVAL_MS)
  }
  t.true(crashed <= 2 * MAX_CRASHES, `${crashed} crashes`)
})

// Guards against a crash that is taken for the end of an answer, and then speaks for what caused it.
test('an answer without a length that a crash cut off is not passed for whole', async t => {
  const endpoints = await startEndpoints(t, crashBehaviours.insideUnframed)
  const entry = await startEntry(t, endpoints, { maxAttempts: 1 })
  const response = await send(entry, ['root', BAD])
  t.true(response.status === 502 || !response.isComplete)
})
