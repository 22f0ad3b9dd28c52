/**
 * Demo: the Suwanrat deployment under load while instances and engines fail. Prints one JSON object as its last line; its
 * figures come from the callers and the stand-ins, not from the routers.
 */
import * as fleets from './fleet.js'
import * as observers from './observers.js'
import * as workloads from './workload.js'

const SEED = 7
const SECONDS = Number(process.env.DEMO_SECONDS ?? 40)

function print (text: string): void {
  process.stdout.write(`${text}\n`)
}

async function sleep (seconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, seconds * 1000))
}

const startedAt = performance.now()
const sinceStart = (): string => `${((performance.now() - startedAt) / 1000).toFixed(1)} s`

print('Starting the Suwanrat deployment: 8 router and 3 control instances in 3 zones, 8 engines, 3 bookings endpoints.')
const fleet = await fleets.startFleet({ deployment: 'suwanrat', routers: 8, controls: 3, engines: 8, plains: 3 })
print(`${sinceStart()}  every router instance serves and every engine has loaded its models`)
const observer = observers.startObserver(fleet)
const bytesBefore = await observers.readLinkBytes(fleet)
const loadStartedAt = performance.now()
const workload = workloads.startWorkload(fleet, workloads.createTraffic('suwanrat'), SEED)

await sleep(SECONDS * 0.2)
await fleet.routers[2].process.kill()
print(`${sinceStart()}  killed router instance ${fleet.routers[2].id}`)
await sleep(SECONDS * 0.2)
await fleet.engines[4].process.kill()
print(`${sinceStart()}  killed ${fleet.engines[4].id}`)
await sleep(SECONDS * 0.2)
await fetch(`${fleet.engines[1].url}/leave`, { method: 'POST' })
print(`${sinceStart()}  ${fleet.engines[1].id} is leaving`)
await sleep(SECONDS * 0.2)
fleet.routers[2].start()
print(`${sinceStart()}  restarted router instance ${fleet.routers[2].id}`)
await sleep(SECONDS * 0.2)

const seconds = (performance.now() - loadStartedAt) / 1000
const bytesAfter = await observers.readLinkBytes(fleet)
await workload.finish()
const observation = await observer.finish()
await fleet.stop(process.env.DEMO_KEEP === 'true')

const { stats } = workload
const ranTwice = [...observation.keyRuns.values()].filter(count => count > 1).length
const falseNotRun = stats.notRunRequestIds.filter(id => observation.engineRuns.has(id) || observation.plainRuns.has(id)).length
const controlBytesPerInstancePerSecond = (bytesAfter.control / bytesAfter.instances - bytesBefore.control / bytesBefore.instances) / seconds
const result = {
  answered: stats.answered,
  refusedNotRun: stats.refusedNotRun,
  unknown: stats.unknown,
  wrongAnswers: stats.wrongAnswers,
  ranTwice,
  cacheReuse: round(observation.cachedTokens / Math.max(1, observation.promptTokens)),
  skew: round(observers.toQuantile(observation.skews, 0.99)),
  controlBytesPerInstancePerSecond: Math.round(controlBytesPerInstancePerSecond),
  falseNotRun,
  latestStartAfterLeavingMs: Math.max(0, ...observation.lateStarts),
  refusals: Object.fromEntries(stats.refusalsByType),
  seconds: Math.round(seconds),
  seed: SEED
}
print(JSON.stringify(result))
const isGood = stats.answered > 0 && stats.wrongAnswers === 0 && ranTwice === 0 && falseNotRun === 0
process.exit(isGood ? 0 : 1)

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}
