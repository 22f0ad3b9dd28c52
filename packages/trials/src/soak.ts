/**
 * Soak run: a fleet under load with injected faults, two at a time. Prints one JSON object as its last line, and exits with 1
 * if a check failed or was never made.
 */
import * as util from 'node:util'
import * as callers from './callers.js'
import * as faults from './faults.js'
import * as fleets from './fleet.js'
import * as invariantChecks from './invariantChecks.js'
import * as observers from './observers.js'
import * as operators from './operators.js'
import * as randoms from './random.js'
import * as engineServer from './standIn/engineServer.js'
import * as workloads from './workload.js'

const { values: flags } = util.parseArgs({ options: { seed: { type: 'string', default: '7' }, seconds: { type: 'string', default: '50' }, keep: { type: 'boolean', default: false } } })
const seed = Number(flags.seed)
const seconds = Number(flags.seconds)

const CONCURRENT_FAULTS = 2
const POLL_INTERVAL_MS = 250
const PROPAGATION_LIMIT_MS = 10_000
const LATE_START_LIMIT_MS = 3000
const SURGE_REQUESTS = 250
const POISON_RESENDS = 3
const SETTLE_MS = 9000

const print = (text: string): void => { process.stdout.write(`${text}\n`) }
const pause = async (ms: number): Promise<void> => { await new Promise(resolve => setTimeout(resolve, ms)) }

const random = randoms.createRandom(seed)
const checks = invariantChecks.createChecks()
const fleet = await fleets.startFleet({ deployment: 'suwanrat', routers: 8, controls: 5, engines: 8, plains: 3, isRelayed: true, snapshotEvery: 60 })
print('the fleet is ready')
const observer = observers.startObserver(fleet)
const monitor = invariantChecks.createHealthMonitor(fleet, checks)
const operatorPair = operators.createOperators(fleet, random)
const workload = workloads.startWorkload(fleet, workloads.createTraffic('suwanrat', 0.7), seed)
const faultCounts = new Map<string, number>()
const poisonDeaths: number[] = []

const pollTimer = setInterval(() => { void poll() }, POLL_INTERVAL_MS)
let isPolling = false
async function poll (): Promise<void> {
  if (isPolling) return
  isPolling = true
  await monitor.poll()
  for (const item of operatorPair.accepted) {
    if (performance.now() - item.acceptedAt < PROPAGATION_LIMIT_MS) continue
    for (const [id, state] of monitor.versions()) {
      if (state.serving) checks.check('acceptedIsInForce', state.version >= item.version, () => `${id} serves version ${state.version}, version ${item.version} was accepted ${Math.round(performance.now() - item.acceptedAt)} ms ago`)
    }
  }
  for (const node of [...fleet.routers, ...fleet.controls]) {
    if (!ctx.busy.has(node.id)) checks.check('noProcessEndsByItself', node.process.isRunning(), () => `${node.id} exited; see its log (run with --keep)`)
  }
  isPolling = false
}

const isFullyReplicated = async (): Promise<boolean> => {
  const status = await fleets.getJson(`${fleet.controls[0].url}/v1/status`, fleets.OPERATOR_TOKEN).catch(() => undefined) as { replicas?: Array<{ role: string, voters: string[], learners: string[] }> } | undefined
  const groups = status?.replicas ?? []
  return groups.length > 0 && ctx.busy.size === 0 && groups.every(group => group.voters.length === fleet.controls.length && group.learners.length === 0)
}

const surge = async (): Promise<void> => {
  const caller: callers.CallerOptions = { account: 'galleries', stats: workload.stats, addresses: callers.createAddressCache(fleet.routers.map(node => node.url), 'demo-galleries', random) }
  await Promise.all(Array.from({ length: SURGE_REQUESTS }, async (_, i) => {
    await callers.sendTurn(caller, `surge-${i}`, [{ role: 'user', content: `what is gold leaf ${i}` }], { model: 'frame-assistant', words: 8, stream: false })
  }))
}

/** Sends a request that crashes every engine it runs on, and repeats it. */
const poison = async (): Promise<void> => {
  const stats = callers.createCallerStats()
  const caller: callers.CallerOptions = { account: 'clerks', stats, addresses: callers.createAddressCache(fleet.routers.map(node => node.url), 'demo-clerks', random) }
  const before = new Set(fleet.engines.filter(node => node.process.isRunning()).map(node => node.id))
  const messages = [{ role: 'user', content: `${engineServer.POISON_WORD} ${Math.floor(random() * 1e9)}` }]
  for (let i = 0; i < POISON_RESENDS; i++) {
    await callers.sendTurn(caller, `poison-${i}`, messages, { model: 'frame-assistant', words: 12, stream: true })
    await pause(300)
  }
  await pause(500)
  const crashed = fleet.engines.filter(node => before.has(node.id) && !ctx.busy.has(node.id) && !node.process.isRunning())
  poisonDeaths.push(crashed.length)
  checks.check('poisonCostsAtMostTwoEngines', crashed.length <= 2, () => `${crashed.length} engines crashed`)
  checks.check('poisonIsToldApart', (stats.refusalsByType.get('request_quarantined') ?? 0) > 0, () => JSON.stringify([...stats.refusalsByType]))
  for (const node of crashed) node.start()
}

const ctx: faults.FaultContext = { fleet, busy: new Set(), isFullyReplicated, raceOperators: operatorPair.race, surge, poison }

/** Injects the faults of a plan one after the other until the deadline. */
async function runLane (plan: faults.Fault[], deadline: number): Promise<void> {
  for (const fault of plan) {
    await pause(fault.pauseMs)
    if (performance.now() > deadline) return
    const revert = await faults.injectFault(ctx, fault)
    if (revert === undefined) continue
    faultCounts.set(fault.kind, (faultCounts.get(fault.kind) ?? 0) + 1)
    print(`${Math.round((performance.now() - startedAt) / 1000)} s  ${fault.kind}`)
    const isInstant = fault.kind.endsWith('Stream') || ['engineError', 'silentPlain', 'raceOperators', 'surge', 'poison', 'forgetLinks', 'flapEngine'].includes(fault.kind)
    await pause(isInstant ? 0 : fault.durationMs)
    await revert()
  }
}

const startedAt = performance.now()
const deadline = startedAt + seconds * 1000
const plan = faults.drawPlan(seed, Math.max(faults.FAULT_KINDS.length, Math.ceil(seconds)) * 2)
await Promise.all(Array.from({ length: CONCURRENT_FAULTS }, async (_, lane) => { await runLane(plan.filter((_, i) => i % CONCURRENT_FAULTS === lane), deadline) }))
await operatorPair.race().catch(err => { checks.check('resendGetsTheFirstAnswer', false, () => String(err)) })
await pause(SETTLE_MS)
await workload.finish()
clearInterval(pollTimer)
await poll()

const observation = await observer.finish()
monitor.finish()
const finalConfig = await operatorPair.read()
const { stats } = workload
for (const item of operatorPair.accepted) {
  checks.check('acceptedIsNotLost', finalConfig !== undefined && finalConfig.version >= item.version, () => `version ${item.version} was accepted, the current version is ${finalConfig?.version ?? 'unknown'}`)
  checks.check('resendGetsTheFirstAnswer', true, () => '')
}
const versions = operatorPair.accepted.map(item => item.version)
checks.check('oneWinnerForEachVersion', new Set(versions).size === versions.length, () => versions.join(', '))
for (const [key, count] of observation.keyRuns) checks.check('keyRunsAtMostOnce', count <= 1, () => `${key} ran ${count} times`)
for (const key of stats.answersByKey.keys()) checks.check('answeredKeyRanOnce', observation.keyRuns.get(key) === 1, () => `${key} was answered, but ran ${observation.keyRuns.get(key) ?? 0} times`)
for (const id of stats.notRunRequestIds) checks.check('notRunDidNotRun', !observation.engineRuns.has(id) && !observation.plainRuns.has(id), () => `${id} was refused as not run, but ran`)
for (const detail of stats.wrongDetails.slice(0, 5)) print(`WRONG  ${detail}`)
checks.add('ownWholeAnswer', { checked: stats.answered + stats.wrongAnswers, broken: stats.wrongAnswers })
for (const ms of observation.lateStarts) checks.check('leavingGetsNoNewWork', ms <= LATE_START_LIMIT_MS, () => `a request started ${ms} ms after the engine announced that it is leaving`)
checks.check('leavingGetsNoNewWork', true, () => '')
for (const node of fleet.routers) {
  const text = await fetch(`${node.url}/metrics`).then(async res => await res.text()).catch(() => '')
  print(`${node.id}  ${[...text.matchAll(/kingcupdeck_attempts_total\{outcome="(\w+)"\} (\d+)/g)].map(match => `${match[1]} ${match[2]}`).join(', ')}`)
}
await fleet.stop(flags.keep)

const requests = stats.answered + stats.wrongAnswers + stats.refusedNotRun + stats.unknown
for (const detail of checks.details) print(`BROKEN  ${detail}`)
const uncheckedNames = [...checks.tallies].filter(([name, item]) => item.checked === 0).map(([name]) => name)
if (uncheckedNames.length > 0) print(`never checked: ${uncheckedNames.join(', ')}`)
const isBroken = [...checks.tallies.values()].some(item => item.broken > 0)
print(JSON.stringify({
  seed,
  faults: Object.fromEntries(faultCounts),
  requests,
  answered: stats.answered,
  refusedNotRun: stats.refusedNotRun,
  unknown: stats.unknown,
  refusals: Object.fromEntries(stats.refusalsByType),
  conflicts: operatorPair.conflictCount(),
  invariants: Object.fromEntries(checks.tallies)
}))
process.exit(isBroken || uncheckedNames.length > 0 ? 1 : 0)
