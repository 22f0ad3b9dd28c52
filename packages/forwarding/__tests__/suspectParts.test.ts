/** Parts of prompts as suspects: what speaks for them, what is told of them, and bounds; on virtual time. */
import * as ava from 'ava'
import * as telemetry from '@kingcupdeck/telemetry'
import * as crashQuarantines from '../src/quarantine/crashQuarantine.js'
import * as crashReports from '../src/quarantine/crashReport.js'
import * as promptParts from '../src/attempts/promptParts.js'
import * as suspectKeys from '../src/quarantine/suspectKey.js'
import * as trialPermits from '../src/quarantine/trialPermits.js'

const test = ava.default
const INTERVAL_MS = 1000

interface Setup {
  quarantine: crashQuarantines.CrashQuarantine
  /** Lets an endpoint crash with requests in flight, a while after the last one. */
  crash: (endpoint: string, ...requests: string[][]) => void
  complete: (keys: string[]) => void
  isHeld: (keys: string[]) => boolean
  now: () => number
}

function createSetup (opts: crashQuarantines.CrashQuarantineOptions = {}): Setup {
  const quarantine = crashQuarantines.createCrashQuarantine(opts)
  let at = 0
  return {
    quarantine,
    crash (endpoint, ...requests) {
      at += INTERVAL_MS
      const runs = requests.map(keys => quarantine.startRun(keys, endpoint, at))
      at += 50
      for (const run of runs) run.end('lost', at)
      quarantine.confirmDown(endpoint, at, 'refused')
    },
    complete (keys) {
      const run = quarantine.startRun(keys, 'up', at)
      at += 100
      run.end('completed', at)
    },
    isHeld: keys => quarantine.judge(keys, at).kind !== 'allowed',
    now: () => at
  }
}

const toKeys = (request: string, ...parts: string[]): string[] => [request, ...suspectKeys.toPartKeys('svc', 'm', parts)]

// Guards against a part that is cleared by a run that had begun before it turned bad.
test('a run that began before a crash does not clear a part', t => {
  const { quarantine, crash, complete, isHeld, now } = createSetup()
  complete(toKeys('r0', 'bad'))
  const early = quarantine.startRun(toKeys('r1', 'bad'), 'up', now())
  for (const i of [1, 2, 3]) crash(`e${i}`, toKeys(`x${i}`, 'bad'))
  early.end('completed', now())
  t.true(isHeld(toKeys('r2', 'bad')))
  complete(toKeys('r3', 'bad'))
  t.false(isHeld(toKeys('r4', 'bad')))
})

// Guards against holding back a part for a request that crashes endpoints, and against letting the request go because of the part.
test('a crashing request is held back, and the popular part of its prompt is not', t => {
  const { crash, complete, isHeld } = createSetup()
  for (const i of [1, 2, 3, 4, 5]) {
    crash(`e${i}`, toKeys('crashing', 'popular'), toKeys(`beside-${i}`, 'popular'))
    complete(toKeys(`other-${i}`, 'popular'))
  }
  t.true(isHeld(toKeys('crashing', 'popular')))
  t.true(isHeld(['crashing']))
  t.false(isHeld(toKeys('new', 'popular')))
})

// Guards against holding back a sound part for a request that carried it in each of its crashes, when little else with it was running.
test('a part that only a crashing request was lost with is served without that request', t => {
  const { crash, complete, isHeld } = createSetup()
  complete(toKeys('r0', 'shared'))
  for (const i of [1, 2, 3]) crash(`e${i}`, toKeys('crashing', 'shared'))
  t.true(isHeld(toKeys('crashing', 'shared')))
  t.false(isHeld(toKeys('new', 'shared')))
})

// Guards against adding up crashes of a part that have different causes.
test('a part is served after the crashes of a request that carried it and another one', t => {
  const { crash, complete, isHeld } = createSetup()
  complete(toKeys('r0', 'shared'))
  crash('e0', ['crashing'])
  for (const i of [1, 2]) crash(`e${i}`, toKeys('crashing', 'shared'))
  crash('e3', toKeys('other', 'shared'))
  t.false(isHeld(toKeys('new', 'shared')))
})

// Guards against a part that turned bad and is sent on because requests with it that were repeated explain its crashes.
test('a part is held back from its fifth crash on, whatever explains the earlier ones', t => {
  const { crash, complete, isHeld } = createSetup()
  complete(toKeys('r0', 'bad'))
  for (const i of [1, 2, 3]) crash(`e${i}`, toKeys('repeated', 'bad'))
  for (const i of [4, 5]) crash(`e${i}`, toKeys(`repeated-${i}`, 'bad'))
  t.true(isHeld(toKeys('new', 'bad')))
})

// Guards against holding back the root of all prompts for as long as its trials last, when other parts explain its crashes.
test('a response that goes on clears a part if other parts explain its crashes', t => {
  for (const isExplained of [true, false]) {
    const { quarantine, crash, complete, isHeld, now } = createSetup()
    complete(toKeys('r0', 'root'))
    for (const i of [1, 2, 3, 4, 5, 6]) crash(`e${i}`, toKeys(`x${i}`, 'root', ...isExplained ? [`bad-${i % 2}`] : []))
    const startedAt = now() + 3000
    const run = quarantine.startRun(toKeys('trial', 'root'), 'up', startedAt)
    run.begin(startedAt + 100)
    quarantine.toReports(startedAt + 900)
    t.true(isHeld(toKeys('r1', 'root')))
    quarantine.toReports(startedAt + 1200)
    t.is(isHeld(toKeys('r1', 'root')), !isExplained)
    t.true(isHeld(toKeys('r2', 'root', 'bad-0')) || !isExplained)
  }
})

// Guards against holding back sound parts for minutes after a restart of all instances, of which none knows what has succeeded.
test('a part that crashed endpoints just after the start of the instance is tried soon, once', t => {
  const { crash, isHeld, quarantine, now } = createSetup({ startedAt: 0 })
  for (const i of [1, 2, 3]) crash(`e${i}`, toKeys(`x${i}`, 'part'))
  const keys = toKeys('r', 'part')
  t.true(isHeld(keys))
  t.is(quarantine.judge(keys, now() + 1900).kind, 'quarantined')
  t.is(quarantine.judge(keys, now() + 2000).kind, 'trial')
  const run = quarantine.startRun(keys, 'e4', now() + 2000)
  run.end('lost', now() + 2100)
  quarantine.confirmDown('e4', now() + 2100, 'refused')
  t.is(quarantine.judge(keys, now() + 60_000).kind, 'quarantined')
})

// Guards against reports that arrive in another order than they were sent, as after a pause of the instance.
test('a report of a crash that arrives after another instance has cleared it does not count', t => {
  const crashes = ['e1', 'e2', 'e3']
  for (const key of toKeys('r', 'shared')) {
    const { quarantine, isHeld } = createSetup()
    quarantine.merge([crashReports.toCrashReport(key, { crashed: crashes, isCleared: true })], 10_000, 'i1')
    quarantine.merge(crashes.map((endpoint, i) => crashReports.toCrashReport(key, { crashed: [endpoint], agoMs: 500 * (i + 1) })), 10_000, 'i2')
    t.false(isHeld([key]))
  }
})

// Guards against an instance that keeps crashes of which it never heard that they were cleared.
test('an instance that has cleared a crash tells one that reports it', t => {
  for (const key of toKeys('r', 'shared')) {
    const sent: crashReports.CrashReport[] = []
    const { quarantine, complete, now } = createSetup({ send: list => { sent.push(...list) } })
    complete([key])
    const early = crashReports.toCrashReport(key, { crashed: ['e1'], agoMs: 200 })
    quarantine.merge([early], now(), 'i1')
    quarantine.merge([early], now(), 'i1')
    const [cleared, ...others] = sent
    t.deepEqual(others, [])
    t.true(cleared.isCleared)
    // What was lost after the completed run still counts.
    const other = createSetup()
    for (const endpoint of ['e2', 'e3', 'e4']) other.crash(endpoint, [key])
    other.quarantine.merge([{ ...cleared, agoMs: other.now() }], other.now(), 'i1')
    t.true(other.isHeld([key]))
  }
})

test('a part is held back for the service and model that ran it only', t => {
  const { crash, isHeld } = createSetup()
  for (const i of [1, 2, 3]) crash(`e${i}`, toKeys(`x${i}`, 'bad'))
  t.true(isHeld(toKeys('r', 'bad')))
  t.false(isHeld(['r', ...suspectKeys.toPartKeys('other', 'm', ['bad'])]))
  t.false(isHeld(['r', ...suspectKeys.toPartKeys('svc', 'other', ['bad'])]))
})

// Guards against a client that repeats its header, or writes an id in capitals, to get past a quarantine.
test('parts are read from all headers of the name, each once', t => {
  t.deepEqual(promptParts.toSharedParts(['X-Parts', 'a:1,B:2', 'other', 'x', 'x-parts', 'a:1, c:3,own:4'], 'x-parts'), ['a', 'B', 'c'])
  t.deepEqual(promptParts.toSharedParts(['x-parts', 'own:4'], 'x-parts'), [])
  t.deepEqual(suspectKeys.toPartKeys('svc', 'm', ['B']), suspectKeys.toPartKeys('svc', 'm', ['b']))
})

// Guards against losing the most suspected part among many that were lost once.
test('a crashing part is remembered beside more suspects than are kept', t => {
  const { crash, isHeld } = createSetup()
  for (const i of [1, 2, 3]) crash(`e${i}`, toKeys(`x${i}`, 'bad'))
  for (let i = 0; i < 30; i++) crash(`f${i}`, toKeys(`y${i}`, ...Array.from({ length: 300 }, (_, k) => `turn-${i}-${k}`)))
  t.true(isHeld(toKeys('r', 'bad')))
})

// Guards against one call for each part of a long prompt.
test('a request with hundreds of suspected parts needs two permits at most', async t => {
  const { quarantine, crash, now } = createSetup()
  const parts = Array.from({ length: 300 }, (_, i) => `turn-${i}`)
  const log = telemetry.createLog({ instance: 'test', level: 'silent' })
  let calls = 0
  const permits = trialPermits.createTrialPermits({
    self: 'i0',
    others: () => ['i1', 'i2', 'i3'],
    connect: async () => ({ call: async () => { calls++; return { isGranted: true } as never } }),
    quarantine,
    log,
    now
  })
  for (const i of [1, 2, 3]) crash(`e${i}`, toKeys('x', ...parts), toKeys('rival', 'other'))
  t.true(await permits.maySend(toKeys('y', ...parts)))
  t.true(calls <= 2, `${calls} calls`)
})

test('reports of an earlier version are understood, and a part is a suspect like others to it', t => {
  const sent: crashReports.CrashReport[] = []
  const { crash } = createSetup({ send: list => { sent.push(...list) } })
  for (const i of [1, 2, 3]) crash(`e${i}`, toKeys(`x${i}`, 'bad'))
  // What an earlier version reads of a report.
  for (const { fingerprint, crashed } of sent) t.true(typeof fingerprint === 'string' && crashed.length === 1)
  const later = createSetup()
  for (const i of [1, 2, 3]) later.quarantine.merge([crashReports.crashReport.parse({ fingerprint: 'x', crashed: [`e${i}`], agoMs: 5000 - i * INTERVAL_MS })], 10_000, 'old')
  t.true(later.quarantine.isQuarantined(['x'], 10_000))
  later.quarantine.merge([crashReports.crashReport.parse({ fingerprint: 'x', crashed: [], isCleared: true })], 10_000, 'old')
  t.false(later.quarantine.isSuspected(['x']))
})
