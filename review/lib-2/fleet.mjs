/** Starts the project's programs as processes of their own on loopback addresses, with the commands of deploy/system.toml. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'

export const ROOT = path.dirname(path.dirname(path.dirname(url.fileURLToPath(import.meta.url))))
export const PORTS = { front: 8227, readiness: 8220, directory: 8221, control: 8229, inner: 7340 }
const ZONES = ['za', 'zb', 'zc']
const FIRST_SUBNET = 20
const SUBNETS = 200

export const sleep = ms => new Promise(resolve => { setTimeout(resolve, ms) })

/** Reserves the loopback addresses 127.N.*.* until the process ends. */
async function reserveSubnet () {
  for (let i = 0; i < SUBNETS; i++) {
    const subnet = FIRST_SUBNET + (process.pid + i) % SUBNETS
    const isFree = await new Promise(resolve => {
      const server = net.createServer().unref()
      server.once('error', () => { resolve(false) })
      server.listen(PORTS.control, `127.${subnet}.0.1`, () => { resolve(true) })
    })
    if (isFree) return subnet
  }
  throw new Error('all loopback subnets are in use')
}

/** Reads the command of a role from the deploy file. */
function readCommand (role) {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = text.split(/^\[/m).find(item => item.startsWith(`roles.${role}]`))
  return /^run = "(.*)"$/m.exec(section)[1].split(' ')
}

/**
 * Starts a fleet with empty disks.
 * @param {{ controls: number, entries: number, settings?: object }} opts
 */
export async function startFleet (opts) {
  const subnet = await reserveSubnet()
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-2-'))
  const create = (role, i) => ({ name: `${role}-${i + 1}`, role, ip: `127.${subnet}.${role === 'control' ? 1 : 2}.${i + 1}`, zone: ZONES[i % ZONES.length], child: undefined, unexpectedEnds: 0 })
  const controls = Array.from({ length: opts.controls }, (_, i) => create('control', i))
  const entries = Array.from({ length: opts.entries }, (_, i) => create('entry', i))
  const seeds = controls.slice(0, 3).map(item => `${item.ip}:${PORTS.control}`)

  const start = (machine, bootstrap = false) => {
    const home = path.join(folder, machine.name)
    const data = path.join(home, 'data')
    fs.mkdirSync(data, { recursive: true })
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
      bootstrap,
      inLossBudget: !isEntry,
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: isEntry ? 1000 : 6, diskMb: isEntry ? 0 : 128 },
      discovery: 'enrollment',
      entry: 'registry',
      heartbeatMs: 1200,
      faultTolerance: { machines: 1, zones: 0, regions: 0 },
      bounds: { seedLagS: 3, reuseAfterS: 2, connectivityWindowMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configMs: 2000, rollbackSlackMs: 250, skewMaxMs: 5000, strictRevoke: false, revokeMs: 5000, retryRatio: 0.2, retryWindowS: 10, retrySlack: 58, recoveryS: 12, passMs: 120, reuseWindowS: 10, capFactor: 2, ttl_max_s: 5 },
      configMode: 'highest',
      ...(isEntry ? {} : { dataDir: data })
    }
    const file = path.join(home, 'settings.json')
    fs.writeFileSync(file, JSON.stringify(settings))
    const log = fs.openSync(path.join(home, 'log'), 'a')
    const [program, ...args] = readCommand(machine.role)
    const child = childProcess.spawn(program, args, { cwd: ROOT, env: { PATH: process.env.PATH, KINGCUPDECK_CONFIG: file }, stdio: ['ignore', log, log] })
    fs.closeSync(log)
    machine.child = child
    machine.isEndExpected = false
    child.once('exit', () => { if (!machine.isEndExpected) machine.unexpectedEnds++ })
  }

  const signal = async (machine, name) => {
    const { child } = machine
    machine.isEndExpected = true
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return
    const ended = new Promise(resolve => { child.once('exit', resolve) })
    child.kill(name)
    await ended
  }

  for (const machine of [...controls, ...entries]) start(machine, true)
  return {
    controls,
    entries,
    subnet,
    folder,
    start,
    /** Stops a process with SIGTERM, and with SIGKILL after the grace period. */
    async terminate (machine) {
      const timer = setTimeout(() => { machine.child.kill('SIGKILL') }, 8000)
      await signal(machine, 'SIGTERM')
      clearTimeout(timer)
    },
    kill: async machine => { await signal(machine, 'SIGKILL') },
    readLog: machine => fs.readFileSync(path.join(folder, machine.name, 'log'), 'utf8'),
    async close () {
      await Promise.all([...controls, ...entries].map(async machine => {
        machine.child?.kill('SIGCONT')
        await signal(machine, 'SIGKILL')
      }))
      if (process.env.KEEP === undefined) fs.rmSync(folder, { recursive: true, force: true })
      else console.log(folder)
    }
  }
}

/** Sends a call with a body and waits for the complete answer. */
export async function call (method, target, body, timeoutMs = 1000) {
  return await new Promise((resolve, reject) => {
    const req = http.request(target, { method, agent: false, timeout: timeoutMs, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) } }, res => {
      const chunks = []
      res.on('data', chunk => chunks.push(chunk))
      res.on('error', reject)
      res.on('end', () => { resolve({ status: res.statusCode, body: Buffer.concat(chunks).toString() }) })
    })
    req.on('timeout', () => { req.destroy(new Error(`no answer within ${timeoutMs} ms`)) })
    req.on('error', reject)
    req.end(body)
  })
}

/** Sends a configuration until it is acknowledged, and waits until all entry instances are ready. */
export async function configure (fleet, document) {
  for (let i = 0; ; i++) {
    if (i === 150) throw new Error('no configuration was acknowledged')
    const control = fleet.controls[i % fleet.controls.length]
    const answer = await call('PUT', `http://${control.ip}:${PORTS.control}/-/config`, JSON.stringify(document)).catch(() => undefined)
    if (answer?.status === 200) break
    await sleep(100)
  }
  for (const entry of fleet.entries) await waitUntilReady(entry)
}

export async function waitUntilReady (entry) {
  for (let i = 0; i < 150; i++) {
    const answer = await call('GET', `http://${entry.ip}:${PORTS.readiness}/-/readyz`, '').catch(() => undefined)
    if (answer?.status === 200) return
    await sleep(100)
  }
  throw new Error(`${entry.name} did not become ready`)
}
