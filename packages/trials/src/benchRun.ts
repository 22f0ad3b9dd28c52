/**
 * One run of the bench: a whole fleet in this process, a day of one deployment with churn, one policy. Prints one JSON
 * line. The bench starts many of these, each in a process of its own.
 */
import * as hdr from 'hdr-histogram-js'
import type * as routing from '@kingcupdeck/routing'
import * as fleets from './fleet.js'
import * as localFleet from './localFleet.js'
import * as observers from './observers.js'
import * as randoms from './random.js'
import * as engineModel from './standIn/engineModel.js'
import * as workloads from './workload.js'

/** What a run is told. */
export interface BenchInput {
  deployment: 'suwanrat' | 'vanua'
  policy: routing.PlacementPolicy
  isImporting: boolean
  loadFactor: number
  seed: number
  seconds: number
}

/** What a run found. */
export interface BenchFigures {
  cacheReuse: number
  importedMB: number
  skewP50: number
  skewP99: number
  skewMax: number
  meanLoad: number
  controlBytesPerInstancePerSecond: number
  firstTokenMs: Record<string, { p50: number, p95: number, p99: number, count: number }>
  refusedShare: number
  refusedSurging: number
  unknown: number
  wrongAnswers: number
  answered: number
  refusals: Record<string, number>
  bytesByMessage: Record<string, number>
}

/** The machines of the two users, as they are today. */
const SIZES = { suwanrat: { routers: 9, engines: 8, plains: 3 }, vanua: { routers: 9, engines: 13, plains: 3 } }
/** Slower than the usual engine, so that several requests run on each at once with little work for the processor. */
const SPEED: engineModel.EngineSpeed = { slots: 24, cacheBlocks: 2200, prefillTokensPerSecond: 6000, decodeMs: 24, decodeMsPerNeighbour: 1 }
const SURGING = { suwanrat: 'galleries', vanua: 'village-toge' }
const PRIORITY: Record<string, string> = { conservators: 'urgent', clerks: 'interactive', trucks: 'urgent', members: 'interactive', galleries: 'interactive', 'village-toge': 'interactive' }
const LOOK_MS = 100
const WARM_UP_SHARE = 0.2
const KV_BYTES_PER_TOKEN = 131072

const input = JSON.parse(process.argv[2]) as BenchInput
const random = randoms.createRandom(input.seed)
const fleet = await localFleet.startLocalFleet({
  deployment: input.deployment,
  ...SIZES[input.deployment],
  controls: 3,
  speed: SPEED,
  policy: input.policy,
  isImporting: input.isImporting,
  random,
  edit: doc => { doc.services = fleets.withLoadFactor(doc.services, input.loadFactor) }
})

const skews: number[] = []
const means: number[] = []
let isMeasuring = false
const looking = setInterval(() => {
  const loads = ready().map(engine => engine.model.load())
  const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length)
  if (!isMeasuring || mean < 1) return
  means.push(mean)
  skews.push(Math.max(...loads) / mean)
}, LOOK_MS)

const gone = new Set<unknown>()
const ready = (): typeof fleet.engines => fleet.engines.filter(engine => !gone.has(engine))
const pause = async (share: number): Promise<void> => { await new Promise(resolve => setTimeout(resolve, share * input.seconds * 1000)) }

const day = workloads.toDay(input.deployment, 1.5)
const surging = SURGING[input.deployment]
const limit = fleet.document.clientAccounts[surging].requestsPerSecond
day.streams.push({ account: surging, model: day.streams[0].model, chats: 200, turnsPerSecond: limit * 3, words: { opening: 60, turn: 20, answer: 12 }, isStreamed: true, isOneOff: true, from: input.seconds * 0.7, to: input.seconds * 0.85 })

const workload = workloads.startWorkload(fleet, day, input.seed)
await pause(WARM_UP_SHARE)
isMeasuring = true
const before = count()
const bytesBefore = await readControlBytes()
const measuredFrom = performance.now()

await pause(0.1)
// Churn: one engine leaves and comes back empty, one joins, one flaps.
await leave(0)
await pause(0.15)
await fleet.addEngine('engine-new')
await pause(0.1)
replace(1)
await pause(0.05)
await returnOf(0)
await pause(0.05)
replace(1)
await pause(0.35)

const seconds = (performance.now() - measuredFrom) / 1000
const after = count()
const bytesAfter = await readControlBytes()
clearInterval(looking)
await workload.finish()

const { tally } = workload
const refused = [...tally.refusedOf].filter(([account]) => account !== surging).reduce((sum, [, n]) => sum + n, 0)
const figures: BenchFigures = {
  cacheReuse: (after.cached - before.cached) / Math.max(1, after.prompt - before.prompt),
  importedMB: (after.imported - before.imported) * KV_BYTES_PER_TOKEN / 1e6,
  skewP50: observers.toQuantile(skews, 0.5),
  skewP99: observers.toQuantile(skews, 0.99),
  skewMax: Math.max(0, ...skews),
  meanLoad: means.reduce((sum, mean) => sum + mean, 0) / Math.max(1, means.length),
  controlBytesPerInstancePerSecond: (bytesAfter - bytesBefore) / fleet.routers.length / seconds,
  firstTokenMs: toFirstTokens(),
  refusedShare: refused / Math.max(1, workload.sent()),
  refusedSurging: tally.refusedOf.get(surging) ?? 0,
  unknown: tally.unknown,
  wrongAnswers: tally.wrongAnswers,
  answered: tally.answered,
  refusals: Object.fromEntries(tally.refusals),
  bytesByMessage: await readBytesByMessage()
}
if (process.env.BENCH_LOG !== undefined) process.stderr.write(fleet.lines.join('\n') + '\n')
process.stdout.write(JSON.stringify(figures) + '\n')
process.exit(0)

function count (): { prompt: number, cached: number, imported: number } {
  const sum = (pick: (engine: typeof fleet.engines[number]) => number): number => fleet.engines.reduce((total, engine) => total + pick(engine), 0)
  return { prompt: sum(engine => engine.model.totals.prompt), cached: sum(engine => engine.model.totals.cached), imported: sum(engine => engine.model.totals.imported) }
}

async function readControlBytes (): Promise<number> {
  const values = await Promise.all(fleet.routers.map(async router => (await router.metrics.linkBytes.get()).values))
  return values.flat().filter(item => item.labels.class === 'control').reduce((sum, item) => sum + item.value, 0)
}

/** Bytes an instance sends and receives a second, by message, from its start. */
async function readBytesByMessage (): Promise<Record<string, number>> {
  const sums: Record<string, number> = {}
  for (const router of fleet.routers) {
    for (const item of (await router.metrics.linkBytes.get()).values) {
      if (item.labels.class !== 'control') continue
      const key = `${item.labels.direction} ${item.labels.message}`
      sums[key] = Math.round((sums[key] ?? 0) + item.value / fleet.routers.length / input.seconds)
    }
  }
  return sums
}

async function leave (i: number): Promise<void> {
  const engine = fleet.engines[i]
  gone.add(engine)
  await engine.leave()
}

/** The engine that left comes back as a new process with an empty cache. */
async function returnOf (i: number): Promise<void> {
  const engine = fleet.engines[i]
  engine.kill()
  await fleet.addEngine(`engine-${i + 1}`, Object.keys(fleet.document.zones)[i % 3])
}

/** An engine dies and is back at once. */
function replace (i: number): void {
  const engine = fleet.engines[i]
  gone.add(engine)
  engine.kill()
  void fleet.addEngine(`engine-${i + 1}`, Object.keys(fleet.document.zones)[i % 3])
}

function toFirstTokens (): BenchFigures['firstTokenMs'] {
  const byPriority = new Map<string, hdr.Histogram>()
  for (const [account, list] of tally.firstTokenMs) {
    if (account === surging) continue
    const priority = PRIORITY[account] ?? 'interactive'
    const histogram = byPriority.get(priority) ?? hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000, numberOfSignificantValueDigits: 3 })
    for (const ms of list) histogram.recordValue(Math.max(1, Math.round(ms)))
    byPriority.set(priority, histogram)
  }
  return Object.fromEntries([...byPriority].map(([priority, histogram]) => [priority, { p50: histogram.getValueAtPercentile(50), p95: histogram.getValueAtPercentile(95), p99: histogram.getValueAtPercentile(99), count: histogram.totalCount }]))
}
