/** Trials of suspected requests: one instance decides for the fleet; on virtual time. */
import * as ava from 'ava'
import * as telemetry from '@kingcupdeck/telemetry'
import * as crashEvidences from '../src/quarantine/crashEvidence.js'
import * as crashQuarantines from '../src/quarantine/crashQuarantine.js'
import * as trialPermits from '../src/quarantine/trialPermits.js'

const test = ava.default
const INSTANCES = 8
const STARTED_MS = 60_000
const HOUR_MS = 3_600_000

interface Instance { quarantine: crashQuarantines.CrashQuarantine, permits: trialPermits.TrialPermits, calls: () => number }
interface Fleet { instances: Instance[], wait: (ms: number) => void, now: () => number, cut: () => void }

/** Starts instances that know of three crashes of x, of which none tells whether x caused them. */
function startFleet (): Fleet {
  let at = 0
  let isCut = false
  const now = (): number => at
  const log = telemetry.createLog({ instance: 'test', level: 'silent' })
  const instances = Array.from({ length: INSTANCES }, (_, i): Instance => {
    let callCount = 0
    const quarantine = crashQuarantines.createCrashQuarantine({ send: reports => { for (const other of instances) if (other.quarantine !== quarantine) other.quarantine.merge(reports, at, `i${i}`) } })
    const permits = trialPermits.createTrialPermits({
      self: `i${i}`,
      others: () => instances.map((_, k) => `i${k}`).filter(id => id !== `i${i}`),
      connect: async address => {
        if (isCut) throw new Error('unreachable')
        return {
          async call (body) {
            callCount++
            return instances[Number(address.slice(1))].permits.answer(trialPermits.trialCall.parse(body), `i${i}`) as never
          }
        }
      },
      quarantine,
      log,
      now
    })
    return { quarantine, permits, calls: () => callCount }
  })
  at = STARTED_MS
  for (let i = 0; i < crashEvidences.QUARANTINE_CRASHES; i++) {
    at += crashEvidences.COINCIDENCE_MS * 2
    for (const fingerprint of ['x', 'beside']) instances[i].quarantine.startRun([fingerprint], `e${i}`, at).end('lost', at)
    instances[i].quarantine.confirmDown(`e${i}`, at, 'refused')
  }
  return { instances, wait (ms) { at += ms }, now, cut () { isCut = true } }
}

async function countPermitted ({ instances, now }: Fleet): Promise<number> {
  const results = await Promise.all(instances.map(async ({ permits, quarantine }) => {
    const maySend = await permits.maySend(['x'])
    if (maySend) quarantine.startRun(['x'], 'e10', now())
    return maySend
  }))
  return results.filter(Boolean).length
}

// Guards against nine instances that each allow one more run.
test('all instances together run one trial at a time', async t => {
  const fleet = startFleet()
  t.is(await countPermitted(fleet), 1)
  fleet.wait(crashEvidences.TRIAL_INTERVAL_MS / 2)
  t.is(await countPermitted(fleet), 0)
  fleet.wait(crashEvidences.TRIAL_INTERVAL_MS)
  t.is(await countPermitted(fleet), 1)
})

test('a request whose trial completes is sent by all instances again', async t => {
  const fleet = startFleet()
  const [{ quarantine, permits }] = fleet.instances
  fleet.wait(HOUR_MS)
  t.true(await permits.maySend(['x']))
  quarantine.startRun(['x'], 'e10', fleet.now()).end('completed', fleet.now())
  t.is(await countPermitted(fleet), INSTANCES)
})

// Guards against a trial by each part of a fleet whose links are down.
test('an instance that does not reach the one that decides sends nothing', async t => {
  const fleet = startFleet()
  fleet.cut()
  t.true(await countPermitted(fleet) <= 1)
})

test('an instance whose request was not permitted does not ask for each copy of it', async t => {
  const fleet = startFleet()
  await countPermitted(fleet)
  const before = fleet.instances.map(item => item.calls())
  for (let i = 0; i < 10; i++) await countPermitted(fleet)
  t.deepEqual(fleet.instances.map(item => item.calls()), before)
})
