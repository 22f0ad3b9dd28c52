/**
 * The soak run: a fleet of separate processes under load while parts of it are killed, frozen, cut off, wiped and raced,
 * two at a time. The last line is one JSON object; the exit code is 1 if a check failed or was never made.
 */
import * as util from 'node:util'
import * as callers from './callers.js'
import * as faults from './faults.js'
import * as fleets from './fleet.js'
import * as invariantsSeen from './invariantsSeen.js'
import * as observers from './observers.js'
import * as operatorsOf from './operators.js'
import * as randoms from './random.js'
import * as engineServer from './standIn/engineServer.js'
import * as workloads from './workload.js'

const { values: flags } = util.parseArgs({ options: { seed: { type: 'string', default: '7' }, seconds: { type: 'string', default: '50' }, keep: { type: 'boolean', default: false } } })
const seed = Number(flags.seed)
const seconds = Number(flags.seconds)

const AT_A_TIME = 2
const LOOK_MS = 250
const IN_FORCE_MS = 10_000
const LATE_START_MS = 3000
const SURGE_REQUESTS = 250
const POISON_RESENDS = 3
const QUIET_MS = 9000

const say = (text: string): void => { process.stdout.write(`${text}\n`) }
const pause = async (ms: number): Promise<void> => { await new Promise(resolve => setTimeout(resolve, ms)) }

const random = randoms.createRandom(seed)
const checks = invariantsSeen.createChecks()
const fleet = await fleets.startFleet({ deployment: 'suwanrat', routers: 8, controls: 5, engines: 8, plains: 3, isRelayed: true, snapshotEvery: 60 })
say('the fleet is ready')
const observer = observers.startObserver(fleet)
const health = invariantsSeen.createHealthWatch(fleet, checks)
const operators = operatorsOf.createOperators(fleet, random)
const workload = workloads.startWorkload(fleet, workloads.toDay('suwanrat', 0.7), seed)
const counts = new Map<string, number>()
const poisonDeaths: number[] = []

const watching = setInterval(() => { void look() }, LOOK_MS)
let isLooking = false
async function look (): Promise<void> {
  if (isLooking) return
  isLooking = true
  await health.look()
  for (const item of operators.accepted) {
    if (performance.now() - item.at < IN_FORCE_MS) continue
    for (const [id, state] of health.versions()) {
      if (state.serving) checks.check('acceptedIsInForce', state.version >= item.version, () => `${id} serves with ${state.version}, ${item.version} was accepted ${Math.round(performance.now() - item.at)} ms ago`)
    }
  }
  for (const node of [...fleet.routers, ...fleet.controls]) {
    if (!ctx.busy.has(node.id)) checks.check('noProcessEndsByItself', node.process.isRunning(), () => `${node.id} ended; see its log`)
  }
  isLooking = false
}

const isWhole = async (): Promise<boolean> => {
  const status = await fleets.getJson(`${fleet.controls[0].url}/v1/status`, fleets.OPERATOR_TOKEN).catch(() => undefined) as { replicas?: Array<{ role: string, voters: string[], learners: string[] }> } | undefined
  const groups = status?.replicas ?? []
  return groups.length > 0 && ctx.busy.size === 0 && groups.every(group => group.voters.length === fleet.controls.length && group.learners.length === 0)
}

const surge = async (): Promise<void> => {
  const caller: callers.CallerOptions = { account: 'galleries', tally: workload.tally, book: callers.createAddressBook(fleet.routers.map(node => node.url), 'demo-galleries', random) }
  await Promise.all(Array.from({ length: SURGE_REQUESTS }, async (_, i) => {
    await callers.sendTurn(caller, `surge-${i}`, [{ role: 'user', content: `what is gold leaf ${i}` }], { model: 'frame-assistant', words: 8, stream: false })
  }))
}

/** A caller whose request crashes each engine that runs it, and who sends it again. */
const poison = async (): Promise<void> => {
  const tally = callers.createTally()
  const caller: callers.CallerOptions = { account: 'clerks', tally, book: callers.createAddressBook(fleet.routers.map(node => node.url), 'demo-clerks', random) }
  const before = new Set(fleet.engines.filter(node => node.process.isRunning()).map(node => node.id))
  const messages = [{ role: 'user', content: `${engineServer.POISON} ${Math.floor(random() * 1e9)}` }]
  for (let i = 0; i < POISON_RESENDS; i++) {
    await callers.sendTurn(caller, `poison-${i}`, messages, { model: 'frame-assistant', words: 12, stream: true })
    await pause(300)
  }
  await pause(500)
  const dead = fleet.engines.filter(node => before.has(node.id) && !ctx.busy.has(node.id) && !node.process.isRunning())
  poisonDeaths.push(dead.length)
  checks.check('poisonCostsAtMostTwoEngines', dead.length <= 2, () => `${dead.length} engines died`)
  checks.check('poisonIsToldApart', (tally.refusals.get('request_quarantined') ?? 0) > 0, () => JSON.stringify([...tally.refusals]))
  for (const node of dead) node.start()
}

const ctx: faults.FaultContext = { fleet, busy: new Set(), isWhole, raceOperators: operators.race, surge, poison }

/** One lane of faults; two lanes run beside each other. */
async function runLane (plan: faults.Fault[], until: number): Promise<void> {
  for (const fault of plan) {
    await pause(fault.pauseMs)
    if (performance.now() > until) return
    const end = await faults.beginFault(ctx, fault)
    if (end === undefined) continue
    counts.set(fault.kind, (counts.get(fault.kind) ?? 0) + 1)
    say(`${Math.round((performance.now() - startedAt) / 1000)} s  ${fault.kind}`)
    const isMoment = fault.kind.endsWith('Stream') || ['engineError', 'silentPlain', 'raceOperators', 'surge', 'poison', 'forgetLinks', 'flapEngine'].includes(fault.kind)
    await pause(isMoment ? 0 : fault.lastMs)
    await end()
  }
}

const startedAt = performance.now()
const until = startedAt + seconds * 1000
const plan = faults.drawPlan(seed, Math.max(faults.FAULT_KINDS.length, Math.ceil(seconds)) * 2)
await Promise.all(Array.from({ length: AT_A_TIME }, async (_, lane) => { await runLane(plan.filter((_, i) => i % AT_A_TIME === lane), until) }))
await operators.race().catch(err => { checks.check('resendGetsTheFirstAnswer', false, () => String(err)) })
await pause(QUIET_MS)
await workload.finish()
clearInterval(watching)
await look()

const seen = await observer.finish()
health.finish()
const final = await operators.read()
const { tally } = workload
for (const item of operators.accepted) {
  checks.check('acceptedIsNotLost', final !== undefined && final.version >= item.version, () => `version ${item.version} was accepted, in force is ${final?.version ?? 'unknown'}`)
  checks.check('resendGetsTheFirstAnswer', true, () => '')
}
const versions = operators.accepted.map(item => item.version)
checks.check('oneWinnerForEachVersion', new Set(versions).size === versions.length, () => versions.join(', '))
for (const [key, count] of seen.keyRuns) checks.check('keyRunsAtMostOnce', count <= 1, () => `${key} ran ${count} times`)
for (const key of tally.receipts.keys()) checks.check('answeredKeyRanOnce', seen.keyRuns.get(key) === 1, () => `${key} was answered and ran ${seen.keyRuns.get(key) ?? 0} times`)
for (const id of tally.notRun) checks.check('notRunDidNotRun', !seen.engineRuns.has(id) && !seen.plainRuns.has(id), () => `${id} was refused as not run and ran`)
for (const detail of tally.wrong.slice(0, 5)) say(`WRONG  ${detail}`)
checks.add('ownWholeAnswer', { checked: tally.answered + tally.wrongAnswers, broken: tally.wrongAnswers })
for (const ms of seen.lateStarts) checks.check('leavingGetsNoNewWork', ms <= LATE_START_MS, () => `work began ${ms} ms after leaving`)
checks.check('leavingGetsNoNewWork', true, () => '')
for (const node of fleet.routers) {
  const text = await fetch(`${node.url}/metrics`).then(async res => await res.text()).catch(() => '')
  say(`${node.id}  ${[...text.matchAll(/kingcupdeck_attempts_total\{outcome="(\w+)"\} (\d+)/g)].map(match => `${match[1]} ${match[2]}`).join(', ')}`)
}
await fleet.end(flags.keep)

const requests = tally.answered + tally.wrongAnswers + tally.refusedNotRun + tally.unknown
for (const detail of checks.details) say(`BROKEN  ${detail}`)
const neverMade = [...checks.tallies].filter(([name, item]) => item.checked === 0).map(([name]) => name)
if (neverMade.length > 0) say(`never checked: ${neverMade.join(', ')}`)
const isBroken = [...checks.tallies.values()].some(item => item.broken > 0)
say(JSON.stringify({
  seed,
  faults: Object.fromEntries(counts),
  requests,
  answered: tally.answered,
  refusedNotRun: tally.refusedNotRun,
  unknown: tally.unknown,
  refusals: Object.fromEntries(tally.refusals),
  conflicts: operators.conflicts(),
  invariants: Object.fromEntries(checks.tallies)
}))
process.exit(isBroken || neverMade.length > 0 ? 1 : 0)
