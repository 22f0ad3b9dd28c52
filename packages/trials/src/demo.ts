/**
 * The demo: Suwanrat's document, a fleet of separate processes, a small day, and losses on the way. The last line is one
 * JSON object whose figures are counted by the callers and the stand-ins, not by the routers.
 */
import * as fleets from './fleet.js'
import * as observers from './observers.js'
import * as workloads from './workload.js'

const SEED = 7
const SECONDS = Number(process.env.DEMO_SECONDS ?? 40)

function say (text: string): void {
  process.stdout.write(`${text}\n`)
}

async function wait (seconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, seconds * 1000))
}

const startedAt = performance.now()
const sinceStart = (): string => `${((performance.now() - startedAt) / 1000).toFixed(1)} s`

say('Starting Suwanrat: 8 router and 3 control instances in 3 zones, 8 engines, 3 runners for bookings.')
const fleet = await fleets.startFleet({ deployment: 'suwanrat', routers: 8, controls: 3, engines: 8, plains: 3 })
say(`${sinceStart()}  every instance serves and every engine carries its models`)
const observer = observers.startObserver(fleet)
const bytesBefore = await observers.readLinkBytes(fleet)
const loadStartedAt = performance.now()
const workload = workloads.startWorkload(fleet, workloads.toDay('suwanrat'), SEED)

await wait(SECONDS * 0.2)
await fleet.routers[2].process.kill()
say(`${sinceStart()}  killed router instance ${fleet.routers[2].id}`)
await wait(SECONDS * 0.2)
await fleet.engines[4].process.kill()
say(`${sinceStart()}  killed ${fleet.engines[4].id}`)
await wait(SECONDS * 0.2)
await fetch(`${fleet.engines[1].url}/leave`, { method: 'POST' })
say(`${sinceStart()}  ${fleet.engines[1].id} is leaving`)
await wait(SECONDS * 0.2)
fleet.routers[2].start()
say(`${sinceStart()}  started router instance ${fleet.routers[2].id} again`)
await wait(SECONDS * 0.2)

const seconds = (performance.now() - loadStartedAt) / 1000
const bytesAfter = await observers.readLinkBytes(fleet)
await workload.finish()
const seen = await observer.finish()
await fleet.end(process.env.DEMO_KEEP === 'true')

const { tally } = workload
const ranTwice = [...seen.keyRuns.values()].filter(count => count > 1).length
const falseNotRun = tally.notRun.filter(id => seen.engineRuns.has(id) || seen.plainRuns.has(id)).length
const perInstance = (bytesAfter.control / bytesAfter.instances - bytesBefore.control / bytesBefore.instances) / seconds
const result = {
  answered: tally.answered,
  refusedNotRun: tally.refusedNotRun,
  unknown: tally.unknown,
  wrongAnswers: tally.wrongAnswers,
  ranTwice,
  cacheReuse: round(seen.cachedTokens / Math.max(1, seen.promptTokens)),
  skew: round(observers.toQuantile(seen.skews, 0.99)),
  controlBytesPerInstancePerSecond: Math.round(perInstance),
  falseNotRun,
  latestStartAfterLeavingMs: Math.max(0, ...seen.lateStarts),
  refusals: Object.fromEntries(tally.refusals),
  seconds: Math.round(seconds),
  seed: SEED
}
say(JSON.stringify(result))
const isGood = tally.answered > 0 && tally.wrongAnswers === 0 && ranTwice === 0 && falseNotRun === 0
process.exit(isGood ? 0 : 1)

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}
