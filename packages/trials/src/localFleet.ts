/** A fleet in this process, with real sockets and files: control instances, router instances and stand-ins. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as contracts from '@kingcupdeck/contracts'
import * as control from '@kingcupdeck/control'
import * as router from '@kingcupdeck/router'
import * as routing from '@kingcupdeck/routing'
import * as telemetry from '@kingcupdeck/telemetry'
import * as processes from './processes.js'
import * as relay from './relay.js'
import * as engineModel from './standIn/engineModel.js'
import * as engineServer from './standIn/engineServer.js'
import * as plainServer from './standIn/plainServer.js'

export interface LocalFleetOptions {
  deployment?: 'suwanrat' | 'vanua'
  routers?: number
  controls?: number
  engines?: number
  plains?: number
  speed?: Partial<engineModel.EngineSpeed>
  /** Edits the configuration document before the fleet starts. */
  editDocument?: (doc: contracts.Document) => void
  /** Places a relay in front of each router's peer address. */
  isRelayed?: boolean
  checksFencing?: boolean
  policy?: routing.PlacementPolicy
  isKvImportEnabled?: boolean
  /** Random numbers of the routers, for reproducible choices. */
  random?: () => number
  /** Duration of a call at a plain service. */
  callDurationMs?: number
}

/** A running local fleet. */
export interface LocalFleet {
  readonly document: contracts.Document
  readonly modelService: string
  readonly plainService: string
  readonly controls: control.Control[]
  readonly routers: router.Router[]
  readonly relays: relay.Relay[]
  readonly engines: engineServer.Engine[]
  readonly plains: plainServer.PlainServer[]
  /** Log lines of all instances. */
  readonly logLines: string[]
  /** Starts another engine; `port` is given to replace an earlier engine at the same address. */
  addEngine (id: string, zone?: string, port?: number): Promise<engineServer.Engine>
  stop (): Promise<void>
}

const SECRET = 'a-secret-of-the-small-fleet'
const READY_TIMEOUT_MS = 20_000

/** Starts a fleet and waits until all routers serve with all endpoints and every engine has loaded all models. */
export async function startLocalFleet (opts: LocalFleetOptions = {}): Promise<LocalFleet> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kingcupdeck-local-'))
  const logLines: string[] = []
  const createInstanceLog = (instance: string): telemetry.Log => telemetry.createLog({ instance, json: true, write: line => { logLines.push(line) } })
  const document = readDeployment(opts.deployment ?? 'suwanrat')
  document.patience = {}
  opts.editDocument?.(document)
  const services = Object.entries(document.services)
  const modelService = services.find(([, spec]) => spec.kind === 'model')?.[0] ?? ''
  const plainService = services.find(([, spec]) => spec.kind === 'plain')?.[0] ?? ''
  const zones = Object.keys(document.zones)
  const toZone = (i: number): string => zones[i % zones.length]
  const ports = await processes.findPorts(opts.controls ?? 1)
  const controls = ports.map((port, i) => ({ id: `c${i + 1}`, address: `127.0.0.1:${port}` }))
  const common = { secret: SECRET, ledgerGroups: 1, isFatal: true, controls }
  const controlInstances = await Promise.all(controls.map(async item => await control.createControl({
    ...common, id: item.id, peerListen: item.address, listen: '127.0.0.1:0', dataFolder: path.join(folder, item.id), isFirstStart: true, document, log: createInstanceLog(item.id)
  })))

  const relays: relay.Relay[] = []
  const routers: router.Router[] = []
  for (let i = 0; i < (opts.routers ?? 2); i++) {
    const [peerPort] = await processes.findPorts(1)
    const peerRelay = opts.isRelayed === true ? await relay.startRelay('127.0.0.1', peerPort) : undefined
    if (peerRelay !== undefined) relays.push(peerRelay)
    routers.push(await router.createRouter({
      ...common, id: `r${i + 1}`, zone: toZone(i), boot: crypto.randomUUID(), listen: '127.0.0.1:0', peerListen: `127.0.0.1:${peerPort}`, advertisePeer: peerRelay?.address, maxBodyBytes: 100_000, policy: opts.policy ?? 'owner', isKvImportEnabled: opts.isKvImportEnabled ?? true, random: opts.random, log: createInstanceLog(`r${i + 1}`)
    }))
  }

  const urls = routers.map(item => item.url)
  const engines: engineServer.Engine[] = []
  const addEngine = async (id: string, zone = toZone(engines.length), port = 0): Promise<engineServer.Engine> => {
    const engine: engineServer.Engine = await engineServer.startEngine({
      endpoint: id, service: modelService, zone, token: `demo-endpoint-${modelService}`, routers: urls, port, speed: { ...engineModel.DEFAULT_SPEED, ...opts.speed }, checksFencing: opts.checksFencing ?? true, kvBytesPerToken: 131072, kvBytesPerSecond: 5e9, modelLoadMs: 20, carries: [], crash: () => { engine.kill() }
    })
    engines.push(engine)
    return engine
  }
  for (let i = 0; i < (opts.engines ?? 2); i++) await addEngine(`engine-${i + 1}`)
  const plains = await Promise.all(Array.from({ length: opts.plains ?? 0 }, async (_, i) => await plainServer.startPlainServer({ endpoint: `${plainService}-${i + 1}`, service: plainService, zone: toZone(i), token: `demo-endpoint-${plainService}`, routers: urls, port: 0, callMs: opts.callDurationMs ?? 20 })))

  const fleet: LocalFleet = {
    document,
    modelService,
    plainService,
    controls: controlInstances,
    routers,
    relays,
    engines,
    plains,
    logLines,
    addEngine,
    async stop () {
      for (const item of [...engines, ...plains]) item.kill()
      for (const item of routers) await item.stop()
      for (const item of controlInstances) await item.shutdown()
      for (const item of relays) item.close()
      fs.rmSync(folder, { recursive: true, force: true })
    }
  }
  await waitUntil(async () => await isReady(fleet), READY_TIMEOUT_MS)
  return fleet
}

/** Reads and checks the configuration document of a deployment. Throws if it is invalid. */
export function readDeployment (deployment: string): contracts.Document {
  const file = path.join(processes.ROOT, 'deployments', `${deployment}.json`)
  const checked = contracts.checkDocument(JSON.parse(fs.readFileSync(file, 'utf8')))
  if (checked.kind === 'invalid') throw new Error(`${file}: ${JSON.stringify(checked.faults)}`)
  return checked.document
}

async function isReady (fleet: LocalFleet): Promise<boolean> {
  const wanted = fleet.engines.length + fleet.plains.length
  const models = Object.keys(fleet.document.models).length
  for (const item of fleet.routers) {
    const health = await fetch(`${item.url}/health`).then(async res => await res.json() as { serving: boolean, endpoints: number })
    if (!health.serving || health.endpoints < wanted) return false
  }
  for (const item of fleet.controls) {
    const health = await fetch(`${item.url}/health`).then(async res => await res.json() as { documentVersion: number })
    if (health.documentVersion === 0) return false
  }
  for (const engine of fleet.engines) {
    const stats = await fetch(`http://127.0.0.1:${engine.port}/stats`).then(async res => await res.json() as { carries: unknown[] })
    if (stats.carries.length < models) return false
  }
  return true
}

/** Polls a condition until it holds, and throws after `limitMs`. */
export async function waitUntil (holds: () => boolean | Promise<boolean>, limitMs = 20_000): Promise<void> {
  const deadline = performance.now() + limitMs
  while (!await holds()) {
    if (performance.now() > deadline) throw new Error(`the condition did not hold within ${limitMs} ms`)
    await pause(30)
  }
}

export async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
