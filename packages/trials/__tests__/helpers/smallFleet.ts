/** A small fleet in one process over real sockets and files: the libraries that the daemons run, and the stand-ins. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as crypto from 'node:crypto'
import * as ava from 'ava'
import * as contracts from '@kingcupdeck/contracts'
import * as control from '@kingcupdeck/control'
import * as router from '@kingcupdeck/router'
import * as telemetry from '@kingcupdeck/telemetry'
import * as processes from '../../src/processes.js'
import * as relay from '../../src/relay.js'
import * as engineModel from '../../src/standIn/engineModel.js'
import * as engineServer from '../../src/standIn/engineServer.js'
import * as plainServer from '../../src/standIn/plainServer.js'

/** What a small fleet is made of. */
export interface SmallFleetOptions {
  routers?: number
  controls?: number
  engines?: number
  plains?: number
  speed?: Partial<engineModel.EngineSpeed>
  /** Changes the document before the fleet starts. */
  edit?: (doc: contracts.Document) => void
  /** Put a relay before each router's peer address. */
  isRelayed?: boolean
  checksFencing?: boolean
}

/** A small fleet. */
export interface SmallFleet {
  readonly document: contracts.Document
  readonly controls: control.Control[]
  readonly routers: router.Router[]
  readonly relays: relay.Relay[]
  readonly engines: engineServer.Engine[]
  readonly plains: plainServer.PlainServer[]
  /** Log lines of all instances. */
  readonly lines: string[]
  /** Starts one more engine. */
  addEngine (id: string, zone?: string): Promise<engineServer.Engine>
}

const SECRET = 'a-secret-of-the-small-fleet'

/**
 * Starts a small fleet; it ends with the test.
 * @param t the test, or its hook
 * @param opts what it is made of
 * @returns the fleet, ready
 */
export async function startSmallFleet (t: { teardown?: ava.ExecutionContext['teardown'] }, opts: SmallFleetOptions = {}): Promise<SmallFleet> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kingcupdeck-test-'))
  const lines: string[] = []
  const toLog = (instance: string): telemetry.Log => telemetry.createLog({ instance, json: true, write: line => { lines.push(line) } })
  const document = readDocument()
  opts.edit?.(document)
  const ports = await processes.findPorts(opts.controls ?? 1)
  const controls = ports.map((port, i) => ({ id: `c${i + 1}`, address: `127.0.0.1:${port}` }))
  const controlInstances = await Promise.all(controls.map(async item => await control.createControl({
    id: item.id, peerListen: item.address, listen: '127.0.0.1:0', controls, dataFolder: path.join(folder, item.id), secret: SECRET, ledgerGroups: 1, document, log: toLog(item.id), isFatal: true
  })))
  const relays: relay.Relay[] = []
  const zones = Object.keys(document.zones)
  const routers: router.Router[] = []
  for (let i = 0; i < (opts.routers ?? 2); i++) {
    const [peerPort] = await processes.findPorts(1)
    const between = opts.isRelayed === true ? await relay.startRelay('127.0.0.1', peerPort) : undefined
    if (between !== undefined) relays.push(between)
    routers.push(await router.createRouter({
      id: `r${i + 1}`, zone: zones[i % zones.length], boot: crypto.randomUUID(), listen: '127.0.0.1:0', peerListen: `127.0.0.1:${peerPort}`, advertisePeer: between?.address, controls, secret: SECRET, ledgerGroups: 1, maxBodyBytes: 100_000, policy: 'owner', isImporting: true, log: toLog(`r${i + 1}`), isFatal: true
    }))
  }
  const urls = routers.map(item => item.url)
  const engines: engineServer.Engine[] = []
  const addEngine = async (id: string, zone = zones[engines.length % zones.length]): Promise<engineServer.Engine> => {
    const engine: engineServer.Engine = await engineServer.startEngine({
      endpoint: id, service: 'assistant', zone, token: 'demo-endpoint-assistant', routers: urls, port: 0, speed: { ...engineModel.USUAL_SPEED, ...opts.speed }, checksFencing: opts.checksFencing ?? true, kvBytesPerToken: 131072, kvBytesPerSecond: 5e9, modelLoadMs: 20, carries: [], crash: () => { engine.kill() }
    })
    engines.push(engine)
    return engine
  }
  for (let i = 0; i < (opts.engines ?? 2); i++) await addEngine(`engine-${i + 1}`)
  const plains = await Promise.all(Array.from({ length: opts.plains ?? 0 }, async (_, i) => await plainServer.startPlainServer({ endpoint: `bookings-${i + 1}`, service: 'bookings', zone: zones[i % zones.length], token: 'demo-endpoint-bookings', routers: urls, port: 0, callMs: 20 })))
  const fleet: SmallFleet = { document, controls: controlInstances, routers, relays, engines, plains, lines, addEngine }
  t.teardown?.(async () => {
    for (const item of [...engines, ...plains]) item.kill()
    for (const item of routers) await item.stop()
    for (const item of controlInstances) await item.shutdown()
    for (const item of relays) item.close()
    fs.rmSync(folder, { recursive: true, force: true })
  })
  await until(async () => await isReady(fleet))
  return fleet
}

/** @returns the first deployment's document */
export function readDocument (): contracts.Document {
  const file = path.join(processes.ROOT, 'deployments', 'suwanrat.json')
  const checked = contracts.checkDocument(JSON.parse(fs.readFileSync(file, 'utf8')))
  if (checked.kind === 'invalid') throw new Error(JSON.stringify(checked.faults))
  return checked.document
}

async function isReady (fleet: SmallFleet): Promise<boolean> {
  const wanted = fleet.engines.length + fleet.plains.length
  const models = Object.keys(fleet.document.models).length
  for (const item of fleet.routers) {
    const health = await fetch(`${item.url}/health`).then(async res => await res.json() as { serving: boolean, endpoints: number })
    if (!health.serving || health.endpoints < wanted) return false
  }
  for (const engine of fleet.engines) {
    const stats = await fetch(`http://127.0.0.1:${engine.port}/stats`).then(async res => await res.json() as { carries: unknown[] })
    if (stats.carries.length < models) return false
  }
  return true
}

/**
 * Waits until something holds.
 * @param holds asked again and again
 * @param limitMs gives up after this long
 */
export async function until (holds: () => boolean | Promise<boolean>, limitMs = 20_000): Promise<void> {
  const deadline = performance.now() + limitMs
  while (!await holds()) {
    if (performance.now() > deadline) throw new Error('waited in vain')
    await pause(30)
  }
}

/**
 * Waits.
 * @param ms how long
 */
export async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** A request to a fleet, with its answer. */
export interface Reply { status: number, headers: Headers, body: unknown }

/**
 * Sends JSON as a client account.
 * @param url the address
 * @param account the account; its demo token is used
 * @param body the body
 * @param headers further headers
 * @returns the answer
 */
export async function post (url: string, account: string, body: unknown, headers: Record<string, string> = {}): Promise<Reply> {
  const res = await fetch(url, { method: 'POST', headers: { authorization: `Bearer demo-${account}`, 'content-type': 'application/json', ...headers }, body: typeof body === 'string' ? body : JSON.stringify(body) })
  return { status: res.status, headers: res.headers, body: await res.json() }
}

/**
 * The error in an answer.
 * @param reply the answer
 * @returns its error object
 */
export function toError (reply: Reply): contracts.ErrorBody['error'] {
  return (reply.body as contracts.ErrorBody).error
}
