/** The first start of control instances of which some are away, and signals to a daemon while it starts. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as ava from 'ava'
import * as control from '@kingcupdeck/control'
import * as telemetry from '@kingcupdeck/telemetry'
import * as localFleet from '../src/localFleet.js'
import * as processes from '../src/processes.js'
import * as smallFleet from './helpers/smallFleet.js'

const test = ava.default.serial
const SECRET = 'a-secret-of-first-starts'

function createFolder (t: ava.ExecutionContext): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kingcupdeck-first-'))
  t.teardown(() => { fs.rmSync(folder, { recursive: true, force: true }) })
  return folder
}

async function isLed (url: string): Promise<boolean> {
  return await fetch(`${url}/v1/status`, { headers: { authorization: 'Bearer demo-operator' } }).then(res => res.status === 200, () => false)
}

// Guards against a fleet that never starts because one control instance is away at the first start, or ends in it.
test('a majority of the control instances founds the groups, and the others take part later', async t => {
  const folder = createFolder(t)
  const controls = (await processes.findPorts(3)).map((port, i) => ({ id: `c${i + 1}`, address: `127.0.0.1:${port}` }))
  const lines: string[] = []
  const start = async (i: number, isFirstStart: boolean): Promise<control.Control> => await control.createControl({
    secret: SECRET,
    ledgerGroups: 1,
    isFatal: true,
    controls,
    id: controls[i].id,
    peerListen: controls[i].address,
    listen: '127.0.0.1:0',
    dataFolder: path.join(folder, controls[i].id),
    isFirstStart,
    document: localFleet.readDeployment('suwanrat'),
    log: telemetry.createLog({ instance: controls[i].id, json: true, write: line => { lines.push(line) } })
  })
  const first = await start(1, true)
  await new Promise(resolve => setTimeout(resolve, 300))
  await first.shutdown()
  const running = [await start(1, false), await start(2, true)]
  t.teardown(async () => { await Promise.all(running.map(async item => { await item.shutdown() })) })
  await smallFleet.waitUntil(async () => await isLed(running[0].url), 10_000)

  running.push(await start(0, false))
  await smallFleet.waitUntil(async () => lines.filter(line => line.includes('"event":"replicaRepaired"') && line.includes('"replica":"c1"')).length === 2, 10_000)
  t.pass()
})

// Guards against a daemon that ends because of a signal that asks for nothing, or by SIGTERM itself while it starts.
test('a daemon ignores SIGHUP, and stops on SIGTERM whenever it comes', async t => {
  const folder = createFolder(t)
  const [peer, http] = await processes.findPorts(2)
  const start = (name: string): processes.TrialProcess => processes.startInstance(name, 'control', {
    id: 'c1', 'peer-listen': `127.0.0.1:${peer}`, listen: `127.0.0.1:${http}`, control: `c1=127.0.0.1:${peer}`, 'data-folder': path.join(folder, name), 'fleet-secret': SECRET, 'log-json': 'true', bootstrap: 'true'
  }, path.join(folder, 'logs'))
  const hungUp = start('hungUp')
  // Before the first line of the program Node.js itself handles no signal.
  await smallFleet.waitUntil(async () => hungUp.handlesSignals(), 10_000)
  for (const ms of [0, 50, 100, 200, 400]) {
    await smallFleet.pause(ms)
    hungUp.hangUp()
  }
  await smallFleet.waitUntil(async () => await fetch(`http://127.0.0.1:${http}/health`).then(res => res.ok, () => false), 10_000)
  hungUp.hangUp()
  await smallFleet.waitUntil(async () => fs.readFileSync(path.join(folder, 'logs', 'hungUp.log'), 'utf8').includes('"event":"signalIgnored"'), 10_000)
  t.true(hungUp.isRunning())
  t.is(await hungUp.stop(), 0)

  for (const ms of [0, 100, 300]) {
    const stopped = start(`stopped-${ms}`)
    await smallFleet.waitUntil(async () => stopped.handlesSignals(), 10_000)
    await smallFleet.pause(ms)
    t.is(await stopped.stop(), 0, `SIGTERM after ${ms} ms`)
  }
})
