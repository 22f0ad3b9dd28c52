/** Latency that a router instance adds to a call, with and without a hop to the owner, and CPU time per request. */
import * as undici from 'undici'
import * as uuid from 'uuid'
import * as contracts from '@kingcupdeck/contracts'
import * as fleets from './fleet.js'
import * as observers from './observers.js'

/** Latencies in milliseconds, and CPU time. */
export interface LatencyFigures {
  directP50: number
  directP95: number
  ownerAddsP50: number
  ownerAddsP95: number
  hopAddsP50: number
  hopAddsP95: number
  cpuMsPerRequest: number
  cpuMicrosecondsPerStreamedToken: number
}

/**
 * Measures latency and CPU time with one process per instance, and one plain service.
 * @param calls number of calls in each measurement
 */
export async function measureLatency (calls: number): Promise<LatencyFigures> {
  const fleet = await fleets.startFleet({ deployment: 'suwanrat', routers: 4, controls: 1, engines: 1, plains: 1, speed: { decodeMs: 1, decodeMsPerNeighbour: 0.01, slots: 64 }, callDurationMs: 0 })
  try {
    const owner = await findOwner(fleet, fleet.plains[0].id)
    const other = fleet.routers.find(node => node !== owner) as fleets.RouterNode
    const direct = await measureCallsMs(calls, async () => { await callDirect(fleet) })
    const atOwner = await measureCallsMs(calls, async () => { await callRouter(owner) })
    const withHop = await measureCallsMs(calls, async () => { await callRouter(other) })
    const quantile = observers.toQuantile
    return {
      directP50: quantile(direct, 0.5),
      directP95: quantile(direct, 0.95),
      ownerAddsP50: quantile(atOwner, 0.5) - quantile(direct, 0.5),
      ownerAddsP95: quantile(atOwner, 0.95) - quantile(direct, 0.95),
      hopAddsP50: quantile(withHop, 0.5) - quantile(direct, 0.5),
      hopAddsP95: quantile(withHop, 0.95) - quantile(direct, 0.95),
      cpuMsPerRequest: await measureCpuSeconds(fleet, async () => { await callRouter(owner) }, calls) * 1000 / calls,
      cpuMicrosecondsPerStreamedToken: await measureCpuPerToken(fleet)
    }
  } finally {
    await fleet.stop()
  }
}

async function findOwner (fleet: fleets.Fleet, endpoint: string): Promise<fleets.RouterNode> {
  for (const node of fleet.routers) {
    const health = await fleets.getJson(`${node.url}/health`) as unknown as { owned: Array<{ endpoint: string }> }
    if (health.owned.some(item => item.endpoint === endpoint)) return node
  }
  throw new Error(`no router instance reports that it owns ${endpoint}`)
}

async function measureCallsMs (calls: number, call: () => Promise<void>): Promise<number[]> {
  for (let i = 0; i < WARM_UP_CALLS; i++) await call()
  const list: number[] = []
  for (let i = 0; i < calls; i++) {
    const startedAt = performance.now()
    await call()
    list.push(performance.now() - startedAt)
  }
  return list
}

const WARM_UP_CALLS = 50
const body = JSON.stringify({ frame: 12 })

async function callDirect (fleet: fleets.Fleet): Promise<void> {
  const res = await undici.request(`${fleet.plains[0].url}/repair-status`, { method: 'POST', headers: { 'content-type': 'application/json' }, body })
  await res.body.text()
}

async function callRouter (node: fleets.RouterNode): Promise<void> {
  const res = await undici.request(`${node.url}/v1/services/bookings/repair-status`, { method: 'POST', headers: { authorization: 'Bearer demo-latency', 'content-type': 'application/json', [contracts.HEADERS.idempotencyKey]: uuid.v7() }, body })
  const text = await res.body.text()
  if (res.statusCode !== 200) throw new Error(text)
}

async function readCpuSeconds (fleet: fleets.Fleet): Promise<number> {
  const texts = await Promise.all(fleet.routers.map(async node => await undici.request(`${node.url}/metrics`).then(async res => await res.body.text())))
  return texts.reduce((sum, text) => sum + Number(/^process_cpu_seconds_total ([\d.]+)/m.exec(text)?.[1] ?? 0), 0)
}

/** Returns the CPU seconds that all router instances spend on the calls, minus their idle use over an equal time. */
async function measureCpuSeconds (fleet: fleets.Fleet, call: () => Promise<void>, calls: number): Promise<number> {
  const start = await readCpuSeconds(fleet)
  const startedAt = performance.now()
  for (let i = 0; i < calls; i++) await call()
  const busy = await readCpuSeconds(fleet) - start
  const tookMs = performance.now() - startedAt
  const idleStart = await readCpuSeconds(fleet)
  await new Promise(resolve => setTimeout(resolve, tookMs))
  return Math.max(0, busy - (await readCpuSeconds(fleet) - idleStart))
}

/** Returns CPU microseconds per streamed token; the difference of long and short answers cancels the cost per request. */
async function measureCpuPerToken (fleet: fleets.Fleet): Promise<number> {
  const streamWords = async (words: number): Promise<void> => {
    const res = await undici.request(`${fleet.routers[0].url}/v1/chat/completions`, { method: 'POST', headers: { authorization: 'Bearer demo-latency' }, body: JSON.stringify({ model: 'frame-assistant', messages: [{ role: 'user', content: 'x' }], max_tokens: words, stream: true }) })
    const text = await res.body.text()
    if (!text.includes('[DONE]')) throw new Error(text.slice(-300))
  }
  const requests = 8
  const [few, many] = [100, 1100]
  await streamWords(few)
  const short = await measureCpuSeconds(fleet, async () => { await streamWords(few) }, requests)
  const long = await measureCpuSeconds(fleet, async () => { await streamWords(many) }, requests)
  return (long - short) * 1e6 / (requests * (many - few))
}
