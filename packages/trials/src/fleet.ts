/** A fleet on loopback with one process per control instance, router instance, engine and plain service. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as undici from 'undici'
import * as contracts from '@kingcupdeck/contracts'
import * as localFleet from './localFleet.js'
import * as processes from './processes.js'
import * as relay from './relay.js'
import * as engineModel from './standIn/engineModel.js'

export interface FleetOptions {
  deployment: 'suwanrat' | 'vanua'
  routers: number
  controls: number
  engines: number
  plains: number
  /** Places a relay on each link between instances, so that links can be cut. */
  isRelayed?: boolean
  policy?: string
  isKvImportEnabled?: boolean
  loadFactor?: number
  speed?: Partial<engineModel.EngineSpeed>
  snapshotEvery?: number
  ledgerGroups?: number
  /** Duration of a call at a plain service. */
  callDurationMs?: number
}

/** A running fleet. */
export interface Fleet {
  readonly document: contracts.Document
  readonly folder: string
  readonly routers: RouterNode[]
  readonly controls: ControlNode[]
  readonly engines: EndpointNode[]
  readonly plains: EndpointNode[]
  readonly modelService: string
  readonly plainService: string
  /** Kills all processes and removes the data folder unless `isDataKept` is true. */
  stop (isKept?: boolean): Promise<void>
}

/** A relay with the id of the instance that it connects to. */
export interface NamedRelay extends relay.Relay { target: string }

/** A router instance in a process of its own. */
export interface RouterNode {
  readonly id: string
  readonly zone: string
  readonly url: string
  process: processes.TrialProcess
  /** The relay to its own peer address, and its relays to the control instances; empty without relays. */
  relays: NamedRelay[]
  start (): void
}

/** A control instance in a process of its own. */
export interface ControlNode {
  readonly id: string
  readonly url: string
  readonly dataFolder: string
  process: processes.TrialProcess
  relays: NamedRelay[]
  start (): void
}

/** An endpoint stand-in in a process of its own. */
export interface EndpointNode {
  readonly id: string
  readonly zone: string
  readonly url: string
  process: processes.TrialProcess
  start (): void
}

const SECRET = 'a-secret-of-the-trial-fleet'
/** Operator token in the documents under deployments/. */
export const OPERATOR_TOKEN = 'demo-operator'
const READY_TIMEOUT_MS = 20_000

/** Starts a fleet and waits until every router instance serves with all endpoints and every engine has loaded all models. */
export async function startFleet (opts: FleetOptions): Promise<Fleet> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kingcupdeck-'))
  const logFolder = path.join(folder, 'logs')
  const document = localFleet.readDeployment(opts.deployment)
  if (opts.loadFactor !== undefined) document.services = withLoadFactor(document.services, opts.loadFactor)
  const documentFile = path.join(folder, 'document.json')
  fs.writeFileSync(documentFile, JSON.stringify(document))
  // A client account with limits too high to be reached, for measurements.
  document.clientAccounts.latency = { ...document.clientAccounts[Object.keys(document.clientAccounts)[0]], tokens: [contracts.sha256('demo-latency')], requestsPerSecond: 1e6, burst: 1e6, services: Object.keys(document.services) }
  fs.writeFileSync(documentFile, JSON.stringify(document))
  const zones = Object.keys(document.zones)
  const toZone = (i: number): string => zones[i % zones.length]
  const services = Object.entries(document.services)
  const modelService = services.find(([, spec]) => spec.kind === 'model')?.[0] ?? ''
  const plainService = services.find(([, spec]) => spec.kind === 'plain')?.[0] ?? ''
  const ports = await processes.findPorts(2 * opts.controls + 2 * opts.routers + opts.engines + opts.plains)
  const takePort = (): number => ports.shift() as number

  const controlAddresses = Array.from({ length: opts.controls }, (_, i) => ({ id: `c${i + 1}`, peer: takePort(), http: takePort() }))
  /** Returns the value of --control for one instance, and starts its relays to the control instances if relays are enabled. */
  const createControlFlag = async (relays: NamedRelay[], selfId?: string): Promise<string> => {
    const list = await Promise.all(controlAddresses.map(async item => {
      if (opts.isRelayed !== true || item.id === selfId) return `${item.id}=127.0.0.1:${item.peer}`
      const controlRelay = await relay.startRelay('127.0.0.1', item.peer)
      relays.push({ ...controlRelay, target: item.id })
      return `${item.id}=${controlRelay.address}`
    }))
    return list.join(',')
  }

  const common = { 'fleet-secret': SECRET, 'fatal-invariants': 'true', 'ledger-groups': String(opts.ledgerGroups ?? 1), 'log-json': 'true' }

  const controls = await Promise.all(controlAddresses.map(async item => {
    const relays: NamedRelay[] = []
    const dataFolder = path.join(folder, item.id)
    const flags = { ...common, id: item.id, 'peer-listen': `127.0.0.1:${item.peer}`, listen: `127.0.0.1:${item.http}`, control: await createControlFlag(relays, item.id), 'data-folder': dataFolder, document: documentFile, 'snapshot-every': String(opts.snapshotEvery ?? 500) }
    const node = { id: item.id, url: `http://127.0.0.1:${item.http}`, dataFolder, relays } as unknown as ControlNode
    node.start = () => { node.process = processes.startInstance(item.id, 'control', flags, logFolder) }
    node.process = processes.startInstance(item.id, 'control', { ...flags, bootstrap: 'true' }, logFolder)
    return node
  }))

  const routers = await Promise.all(Array.from({ length: opts.routers }, async (_, i) => {
    const id = `r${i + 1}`
    const http = takePort()
    const peer = takePort()
    const relays: NamedRelay[] = []
    const peerRelay = opts.isRelayed === true ? await relay.startRelay('127.0.0.1', peer) : undefined
    if (peerRelay !== undefined) relays.push({ ...peerRelay, target: id })
    const flags = {
      ...common,
      id,
      zone: toZone(i),
      listen: `127.0.0.1:${http}`,
      'peer-listen': `127.0.0.1:${peer}`,
      'advertise-peer': peerRelay?.address ?? '',
      control: await createControlFlag(relays),
      policy: opts.policy ?? 'owner',
      'kv-import': String(opts.isKvImportEnabled ?? true)
    }
    const node = { id, zone: toZone(i), url: `http://127.0.0.1:${http}`, relays } as unknown as RouterNode
    node.start = () => { node.process = processes.startInstance(id, 'router', flags, logFolder) }
    node.start()
    return node
  }))

  const urls = routers.map(item => item.url)
  const startEndpoint = (id: string, i: number, port: number, standIn: Record<string, unknown>): EndpointNode => {
    const node = { id, zone: toZone(i), url: `http://127.0.0.1:${port}` } as unknown as EndpointNode
    node.start = () => { node.process = processes.startStandIn(id, { endpoint: id, zone: node.zone, routers: urls, port, ...standIn }, logFolder) }
    node.start()
    return node
  }
  const checksFencing = document.services[modelService].kind === 'model' && (document.services[modelService] as { checksFencing: boolean }).checksFencing
  const engines = Array.from({ length: opts.engines }, (_, i) => startEndpoint(`engine-${i + 1}`, i, takePort(), {
    kind: 'engine', service: modelService, token: `demo-endpoint-${modelService}`, speed: { ...engineModel.DEFAULT_SPEED, ...opts.speed }, checksFencing, kvBytesPerToken: 131072, kvBytesPerSecond: 5e9, modelLoadMs: 300, carries: []
  }))
  const plains = Array.from({ length: opts.plains }, (_, i) => startEndpoint(`${plainService}-${i + 1}`, i, takePort(), { kind: 'plain', service: plainService, token: `demo-endpoint-${plainService}`, callMs: opts.callDurationMs ?? 25 }))

  const fleet: Fleet = {
    document,
    folder,
    routers,
    controls,
    engines,
    plains,
    modelService,
    plainService,
    async stop (isDataKept = false) {
      const nodes = [...routers, ...controls, ...engines, ...plains]
      await Promise.all(nodes.map(async node => { if (node.process.isRunning()) await node.process.kill() }))
      for (const node of [...routers, ...controls]) for (const item of node.relays) item.close()
      if (!isDataKept) fs.rmSync(folder, { recursive: true, force: true })
    }
  }
  await waitUntilReady(fleet, opts.engines + opts.plains)
  return fleet
}

/** Returns the services with the load factor of all model services replaced. */
export function withLoadFactor (services: contracts.Document['services'], loadFactor: number): contracts.Document['services'] {
  return Object.fromEntries(Object.entries(services).map(([id, spec]) => [id, spec.kind === 'model' ? { ...spec, loadFactor } : spec]))
}

async function waitUntilReady (fleet: Fleet, endpoints: number): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS
  while (performance.now() < deadline) {
    const states = await Promise.all(fleet.routers.map(async node => await getJson(`${node.url}/health`).catch(() => undefined)))
    const isReady = states.every(state => state?.serving === true && Number(state.endpoints) >= endpoints)
    const engines = isReady ? await Promise.all(fleet.engines.map(async node => await getJson(`${node.url}/stats`).catch(() => undefined))) : []
    const models = Object.keys(fleet.document.models).length
    if (isReady && engines.every(state => (state?.carries as unknown[] | undefined)?.length === models)) return
    await new Promise(resolve => setTimeout(resolve, 100))
  }
  throw new Error(`the fleet was not ready within ${READY_TIMEOUT_MS} ms; see the logs in ${fleet.folder}`)
}

/**
 * Fetches a JSON object.
 * @param token sent as a bearer token if given
 */
export async function getJson (address: string, token?: string): Promise<Record<string, unknown>> {
  const res = await undici.request(address, { signal: AbortSignal.timeout(2000), headers: token === undefined ? {} : { authorization: `Bearer ${token}` } })
  return await res.body.json() as Record<string, unknown>
}
