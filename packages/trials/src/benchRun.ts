/**
 * One run of the benchmark: a fleet in this process, one policy, and traffic with churn. Prints one JSON line. bench.ts starts
 * one process per run.
 */
import * as hdr from 'hdr-histogram-js'
import type * as routing from '@kingcupdeck/routing'
import * as fleets from './fleet.js'
import * as localFleet from './localFleet.js'
import * as observers from './observers.js'
import * as randoms from './random.js'
import * as engineModel from './standIn/engineModel.js'
import * as workloads from './workload.js'

/** Input of a run, passed as JSON in the first argument. */
export interface BenchInput {
  deployment: 'suwanrat' | 'vanua'
  policy: routing.PlacementPolicy
  isImporting: boolean
  loadFactor: number
  seed: number
  seconds: number
}

/** Output of a run. */
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

/** Fleet sizes of the two deployments. */
const FLEET_SIZES = { suwanrat: { routers: 9, engines: 8, plains: 3 }, vanua: { routers: 9, engines: 13, plains: 3 } }
/** Slower than the default engine, so that requests overlap on each engine at a low CPU load. */
const ENGINE_SPEED: engineModel.EngineSpeed = { slots: 24, cacheBlocks: 2200, prefillTokensPerSecond: 6000, decodeMs: 24, decodeMsPerNeighbour: 1 }
const SURGING_ACCOUNTS = { suwanrat: 'galleries', vanua: 'village-toge' }
const ACCOUNT_PRIORITIES: Record<string, string> = { conservators: 'urgent', clerks: 'interactive', trucks: 'urgent', members: 'interactive', galleries: 'interactive', 'village-toge': 'interactive' }
const SAMPLE_INTERVAL_MS = 100
const WARM_UP_SHARE = 0.2
const KV_BYTES_PER_TOKEN = 131072

const input = JSON.parse(process.argv[2]) as BenchInput
const random = randoms.createRandom(input.seed)
const fleet = await localFleet.startLocalFleet({
  deployment: input.deployment,
  ...FLEET_SIZES[input.deployment],
  controls: 3,
  speed: ENGINE_SPEED,
  policy: input.policy,
  isKvImportEnabled: input.isImporting,
  random,
  editDocument: doc => { doc.services = fleets.withLoadFactor(doc.services, input.loadFactor) }
})

const skews: number[] = []
const meanLoads: number[] = []
let isMeasuring = false
const sampleTimer = setInterval(() => {
  const loads = listReadyEngines().map(engine => engine.model.load())
  const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length)
  if (!isMeasuring || mean < 1) return
  meanLoads.push(mean)
  skews.push(Math.max(...loads) / mean)
}, SAMPLE_INTERVAL_MS)

const departed = new Set<unknown>()
const listReadyEngines = (): typeof fleet.engines => fleet.engines.filter(engine => !departed.has(engine))
const pauseForShare = async (share: number): Promise<void> => { await new Promise(resolve => setTimeout(resolve, share * input.seconds * 1000)) }

const traffic = workloads.createTraffic(input.deployment, 1.5)
const surgingAccount = SURGING_ACCOUNTS[input.deployment]
const limit = fleet.document.clientAccounts[surgingAccount].requestsPerSecond
traffic.chats.push({ account: surgingAccount, model: traffic.chats[0].model, chatCount: 200, turnsPerSecond: limit * 3, words: { opening: 60, turn: 20, answer: 12 }, isStreamed: true, hasSingleTurnChats: true, fromSeconds: input.seconds * 0.7, toSeconds: input.seconds * 0.85 })

const workload = workloads.startWorkload(fleet, traffic, input.seed)
await pauseForShare(WARM_UP_SHARE)
isMeasuring = true
const before = sumEngineTotals()
const bytesBefore = await readControlBytes()
const measuredFrom = performance.now()

await pauseForShare(0.1)
// Churn: one engine leaves and restarts with an empty cache, one joins, and one crashes twice.
await startLeaving(0)
await pauseForShare(0.15)
await fleet.addEngine('engine-new')
await pauseForShare(0.1)
crashAndReplace(1)
await pauseForShare(0.05)
await restartEngine(0)
await pauseForShare(0.05)
crashAndReplace(1)
await pauseForShare(0.35)

const seconds = (performance.now() - measuredFrom) / 1000
const after = sumEngineTotals()
const bytesAfter = await readControlBytes()
clearInterval(sampleTimer)
await workload.finish()

const { stats } = workload
const refused = [...stats.refusalsByAccount].filter(([account]) => account !== surgingAccount).reduce((sum, [, n]) => sum + n, 0)
const figures: BenchFigures = {
  cacheReuse: (after.cached - before.cached) / Math.max(1, after.prompt - before.prompt),
  importedMB: (after.imported - before.imported) * KV_BYTES_PER_TOKEN / 1e6,
  skewP50: observers.toQuantile(skews, 0.5),
  skewP99: observers.toQuantile(skews, 0.99),
  skewMax: Math.max(0, ...skews),
  meanLoad: meanLoads.reduce((sum, mean) => sum + mean, 0) / Math.max(1, meanLoads.length),
  controlBytesPerInstancePerSecond: (bytesAfter - bytesBefore) / fleet.routers.length / seconds,
  firstTokenMs: toFirstTokenQuantiles(),
  refusedShare: refused / Math.max(1, workload.sentCount()),
  refusedSurging: stats.refusalsByAccount.get(surgingAccount) ?? 0,
  unknown: stats.unknown,
  wrongAnswers: stats.wrongAnswers,
  answered: stats.answered,
  refusals: Object.fromEntries(stats.refusalsByType),
  bytesByMessage: await readBytesByMessage()
}
if (process.env.BENCH_LOG !== undefined) process.stderr.write(fleet.logLines.join('\n') + '\n')
process.stdout.write(JSON.stringify(figures) + '\n')
process.exit(0)

function sumEngineTotals (): { prompt: number, cached: number, imported: number } {
  const sum = (pick: (engine: typeof fleet.engines[number]) => number): number => fleet.engines.reduce((total, engine) => total + pick(engine), 0)
  return { prompt: sum(engine => engine.model.totals.prompt), cached: sum(engine => engine.model.totals.cached), imported: sum(engine => engine.model.totals.imported) }
}

async function readControlBytes (): Promise<number> {
  const values = await Promise.all(fleet.routers.map(async router => (await router.metrics.linkBytes.get()).values))
  return values.flat().filter(item => item.labels.class === 'control').reduce((sum, item) => sum + item.value, 0)
}

/** Returns the control bytes per instance and second since the start, by direction and message. */
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

async function startLeaving (i: number): Promise<void> {
  const engine = fleet.engines[i]
  departed.add(engine)
  await engine.leave()
}

/** Replaces an engine by a new one with the same id and an empty cache. */
async function restartEngine (i: number): Promise<void> {
  const engine = fleet.engines[i]
  engine.kill()
  await fleet.addEngine(`engine-${i + 1}`, Object.keys(fleet.document.zones)[i % 3])
}

/** Kills an engine and starts its replacement without waiting for it. */
function crashAndReplace (i: number): void {
  const engine = fleet.engines[i]
  departed.add(engine)
  engine.kill()
  void fleet.addEngine(`engine-${i + 1}`, Object.keys(fleet.document.zones)[i % 3])
}

function toFirstTokenQuantiles (): BenchFigures['firstTokenMs'] {
  const byPriority = new Map<string, hdr.Histogram>()
  for (const [account, list] of stats.firstTokenMsByAccount) {
    if (account === surgingAccount) continue
    const priority = ACCOUNT_PRIORITIES[account] ?? 'interactive'
    const histogram = byPriority.get(priority) ?? hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000, numberOfSignificantValueDigits: 3 })
    for (const ms of list) histogram.recordValue(Math.max(1, Math.round(ms)))
    byPriority.set(priority, histogram)
  }
  return Object.fromEntries([...byPriority].map(([priority, histogram]) => [priority, { p50: histogram.getValueAtPercentile(50), p95: histogram.getValueAtPercentile(95), p99: histogram.getValueAtPercentile(99), count: histogram.totalCount }]))
}
