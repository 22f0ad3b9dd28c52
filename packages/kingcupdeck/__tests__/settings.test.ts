/** Settings validation, and exit codes and help of the command line. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as ava from 'ava'
import * as program from '../src/index.js'

const test = ava.default
const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../../..')

const VALID_FLAGS = { id: 'r1', zone: 'a', listen: '127.0.0.1:0', 'peer-listen': '127.0.0.1:0', control: 'c1=127.0.0.1:1,c2=127.0.0.1:2', 'fleet-secret': 'sixteen-characters' }

test('accepts valid settings and fills in defaults', t => {
  const checked = program.checkSettings(program.routerSettings, VALID_FLAGS, {})
  t.is(checked.kind, 'valid')
  if (checked.kind !== 'valid') return
  t.deepEqual(checked.values.control, [{ id: 'c1', address: '127.0.0.1:1' }, { id: 'c2', address: '127.0.0.1:2' }])
  t.is(checked.values.policy, 'owner')
  t.is(checked.values['max-body-bytes'], 4194304)
})

test('a flag takes precedence over its environment variable', t => {
  const checked = program.checkSettings(program.routerSettings, { ...VALID_FLAGS, zone: undefined }, { KINGCUPDECK_ZONE: 'b', KINGCUPDECK_ID: 'r9' })
  t.deepEqual(checked.kind === 'valid' ? [checked.values.zone, checked.values.id] : [], ['b', 'r1'])
})

test('reports all faults with flag, value, allowed values and remedy, and hides secrets', t => {
  const checked = program.checkSettings(program.routerSettings, { ...VALID_FLAGS, listen: 'localhost:80', policy: 'best', 'fleet-secret': 'short', id: undefined }, {})
  const faults = checked.kind === 'invalid' ? checked.faults : []
  t.is(faults.length, 4)
  t.true(faults.some(fault => fault.startsWith('--listen is "localhost:80"') && fault.includes('ip:port') && fault.includes('KINGCUPDECK_LISTEN')))
  t.true(faults.some(fault => fault.startsWith('--id is missing')))
  t.false(faults.join().includes('"short"'))
})

function run (...args: string[]): { status: number | null, out: string, err: string } {
  const res = childProcess.spawnSync(process.execPath, [path.join(ROOT, 'packages/kingcupdeck/bin/kingcupdeck.js'), ...args], { encoding: 'utf8', env: { PATH: process.env.PATH } })
  return { status: res.status, out: res.stdout, err: res.stderr }
}

test('exits with 2 for invalid settings, with 4 for an unreachable fleet', t => {
  t.is(run('router', '--id', 'UPPER').status, 2)
  t.is(run('status', '--address', 'http://127.0.0.1:9', '--token', 'x').status, 4)
})

test('validate reports every fault with its field path', t => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kingcupdeck-cli-'))
  t.teardown(() => { fs.rmSync(folder, { recursive: true, force: true }) })
  const doc = JSON.parse(fs.readFileSync(path.join(ROOT, 'deployments/vanua.json'), 'utf8'))
  doc.clientAccounts.trucks.priority = 'royal'
  doc.clientAccounts.members.requestsPerSecond = -1
  const file = path.join(folder, 'd.json')
  fs.writeFileSync(file, JSON.stringify(doc))
  const bad = run('config', 'validate', file, '--json')
  t.is(bad.status, 2)
  const faults = (JSON.parse(bad.out) as { faults: Array<{ path: string }> }).faults
  t.true(faults.some(fault => fault.path === 'clientAccounts.members.requestsPerSecond'))
  t.is(run('config', 'validate', path.join(ROOT, 'deployments/vanua.json')).status, 0)
  t.is(run('config', 'validate', path.join(folder, 'absent.json')).status, 2)
})

test('help lists every command and the environment variables', t => {
  const { out } = run('--help')
  for (const word of ['router', 'control', 'config', 'status', 'explain', 'addresses']) t.true(out.includes(word), word)
  t.true(run('router', '--help').out.includes('KINGCUPDECK_FLEET_SECRET'))
})
