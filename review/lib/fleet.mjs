/** Starts the programs of the deploy file as processes on loopback addresses, and small stand-ins for the review's scripts. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..')
export const PORTS = { front: 8080, readiness: 8081, directory: 8082, control: 8083, inner: 7340 }
const ZONES = ['z0', 'z1', 'z2']

/** Reads the command of a role from the deploy file. */
function readCommand (role) {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = text.split(`[roles.${role}]`)[1]
  return /^run = "([^"]*)"/m.exec(section)[1].split(' ')
}

/** Reserves a free loopback subnet for the life of this process. */
async function reserveSubnet () {
  for (let i = 0; i < 200; i++) {
    const subnet = 20 + (process.pid + i) % 200
    const isReserved = await new Promise(resolve => {
      const server = net.createServer()
      server.unref()
      server.once('error', () => { resolve(false) })
      server.listen(PORTS.control, `127.${subnet}.0.1`, () => { resolve(true) })
    })
    if (isReserved) return subnet
  }
  throw new Error('no free loopback subnet')
}

export const sleep = async ms => await new Promise(resolve => { setTimeout(resolve, ms) })

/** Creates a fleet; `record` writes a line to the record of the case. */
export async function createFleet ({ controls = 3, entries = 1, bounds = {}, record }) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kingcupdeck-review-'))
  const subnet = await reserveSubnet()
  const create = (role, i) => ({ name: `${role}-${i + 1}`, role, ip: `127.${subnet}.${role === 'control' ? 1 : 2}.${i + 1}`, zone: ZONES[i % 3], child: undefined })
  const machines = [
    ...Array.from({ length: controls }, (_, i) => create('control', i)),
    ...Array.from({ length: entries }, (_, i) => create('entry', i))
  ]
  const seeds = machines.filter(item => item.role === 'control').slice(0, 3).map(item => `${item.ip}:${PORTS.control}`)

  const start = (machine, isFirstStart = false) => {
    const own = path.join(folder, machine.name)
    const dataDir = path.join(own, 'data')
    fs.mkdirSync(dataDir, { recursive: true })
    const isEntry = machine.role === 'entry'
    const settings = {
      node: machine.name,
      role: machine.role,
      machineClass: isEntry ? 'edge' : 'core',
      serves: isEntry ? ['edge', 'registry'] : ['control'],
      ip: machine.ip,
      zone: machine.zone,
      region: 'r',
      zones: Object.fromEntries(ZONES.map(zone => [zone, 'r'])),
      listen: isEntry
        ? { front: `${machine.ip}:${PORTS.front}`, readiness: `${machine.ip}:${PORTS.readiness}`, directory: `${machine.ip}:${PORTS.directory}` }
        : { control: `${machine.ip}:${PORTS.control}` },
      innerPorts: [PORTS.inner, PORTS.inner + 15],
      seeds,
      bootstrap: isFirstStart,
      inLossBudget: !isEntry,
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: isEntry ? 1000 : 6, diskMb: isEntry ? 0 : 128 },
      dataDir: isEntry ? null : dataDir,
      heartbeatMs: 1200,
      faultTolerance: { machines: 1, zones: 0, regions: 0 },
      bounds: { seedLagS: 3, connectivityWindowMs: 3000, drainMs: 2000, graceS: 8, configMs: 2000, retryRatio: 0.2, retryWindowS: 10, retrySlack: 58, ttl_max_s: 5, ...bounds }
    }
    const settingsPath = path.join(own, 'settings.json')
    fs.writeFileSync(settingsPath, JSON.stringify(settings))
    const log = fs.openSync(path.join(own, 'log'), 'a')
    const [program, ...args] = readCommand(machine.role)
    machine.child = childProcess.spawn(program, args, { cwd: ROOT, env: { PATH: process.env.PATH, KINGCUPDECK_CONFIG: settingsPath }, stdio: ['ignore', log, log] })
    fs.closeSync(log)
    machine.child.on('error', err => { record(`${machine.name} could not be started: ${err.message}`) })
  }

  const killAll = () => { for (const { child } of machines) child?.kill('SIGKILL') }
  process.on('exit', killAll)
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { process.exit(2) })
  return {
    folder,
    machines,
    start,
    controls: machines.filter(item => item.role === 'control'),
    entries: machines.filter(item => item.role === 'entry'),
    close () {
      killAll()
      if (process.env.KEEP !== '1') fs.rmSync(folder, { recursive: true, force: true })
    }
  }
}

/** Sends a JSON call to a control instance. Resolves to status and body, status 0 without an answer. */
export async function callControl (machine, method, callPath, body) {
  return await new Promise(resolve => {
    const text = body === undefined ? '' : JSON.stringify(body)
    const req = http.request({ host: machine.ip, port: PORTS.control, method, path: callPath, agent: false, timeout: 2000, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) } }, res => {
      let answer = ''
      res.on('data', chunk => { answer += String(chunk) })
      res.on('end', () => { resolve({ status: res.statusCode, body: answer }) })
      res.on('error', () => { resolve({ status: 0, body: '' }) })
    })
    req.on('timeout', () => { req.destroy(new Error('timeout')) })
    req.on('error', () => { resolve({ status: 0, body: '' }) })
    req.end(text)
  })
}

/** Repeats a call at all control instances in turn until one answers with 200. */
export async function callUntilAccepted (fleet, method, callPath, body, timeoutMs = 20_000) {
  const endsAt = performance.now() + timeoutMs
  for (let i = 0; performance.now() < endsAt; i++) {
    const { status } = await callControl(fleet.controls[i % fleet.controls.length], method, callPath, body)
    if (status === 200) return
    await sleep(200)
  }
  throw new Error(`${method} ${callPath} was not accepted`)
}

/** Waits until an entry instance is ready. */
export async function waitUntilReady (machine, timeoutMs = 20_000) {
  const endsAt = performance.now() + timeoutMs
  while (performance.now() < endsAt) {
    const status = await new Promise(resolve => {
      http.get({ host: machine.ip, port: PORTS.readiness, path: '/-/readyz', agent: false, timeout: 1000 }, res => {
        res.resume()
        resolve(res.statusCode)
      }).on('error', () => { resolve(0) })
    })
    if (status === 200) return
    await sleep(100)
  }
  throw new Error(`${machine.name} was not ready in time`)
}
