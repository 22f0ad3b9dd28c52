/**
 * Benchmark: compares the placement policies for both deployments under open-loop traffic with fixed seeds. Prints tables, and
 * one JSON object by deployment and policy as its last line.
 */
import * as childProcess from 'node:child_process'
import * as path from 'node:path'
import * as util from 'node:util'
import type * as benchRun from './benchRun.js'
import * as latency from './latency.js'
import * as processes from './processes.js'

const { values: flags } = util.parseArgs({ options: { quick: { type: 'boolean', default: false }, runs: { type: 'string', default: '3' }, seconds: { type: 'string' }, only: { type: 'string' }, parallel: { type: 'string', default: '6' } } })
const isQuick = flags.quick
const seconds = Number(flags.seconds ?? (isQuick ? 14 : 24))
const runs = isQuick ? 1 : Number(flags.runs)

/** One row of the comparison. */
interface PolicyRun { name: string, policy: benchRun.BenchInput['policy'], isImporting: boolean, loadFactor: number, runs: number }

const DEFAULT_LOAD_FACTOR = 1.25
const OTHER_LOAD_FACTORS = [1.05, 1.15, 1.4, 1.7]
const baseline = (policy: benchRun.BenchInput['policy']): PolicyRun => ({ name: policy, policy, isImporting: false, loadFactor: DEFAULT_LOAD_FACTOR, runs })
const policyRuns: PolicyRun[] = [
  baseline('random'), baseline('roundRobin'), baseline('leastReported'), baseline('powerOfTwo'), baseline('plainHash'), baseline('boundedSliver'),
  { name: 'owner', policy: 'owner', isImporting: true, loadFactor: DEFAULT_LOAD_FACTOR, runs },
  { name: 'ownerNoImport', policy: 'owner', isImporting: false, loadFactor: DEFAULT_LOAD_FACTOR, runs }
]
if (!isQuick) {
  for (const loadFactor of OTHER_LOAD_FACTORS) {
    policyRuns.push({ name: `owner@${loadFactor}`, policy: 'owner', isImporting: true, loadFactor, runs: 1 }, { name: `ownerNoImport@${loadFactor}`, policy: 'owner', isImporting: false, loadFactor, runs: 1 })
  }
}

interface Job { deployment: 'suwanrat' | 'vanua', policyRun: PolicyRun, seed: number }

const deployments = (flags.only === undefined ? ['suwanrat', 'vanua'] : [flags.only]) as Array<'suwanrat' | 'vanua'>
const selectedRuns = isQuick ? policyRuns.filter(policyRun => ['powerOfTwo', 'plainHash', 'owner'].includes(policyRun.name)) : policyRuns
const jobs: Job[] = deployments.flatMap(deployment => selectedRuns.flatMap(policyRun => Array.from({ length: policyRun.runs }, (_, i) => ({ deployment, policyRun, seed: i + 1 }))))
const results = new Map<string, benchRun.BenchFigures[]>()

async function runJob (job: Job): Promise<void> {
  const input: benchRun.BenchInput = { deployment: job.deployment, policy: job.policyRun.policy, isImporting: job.policyRun.isImporting, loadFactor: job.policyRun.loadFactor, seed: job.seed, seconds }
  const text = await new Promise<string>((resolve, reject) => {
    childProcess.execFile(process.execPath, [path.join(processes.ROOT, 'packages/trials/dist/src/benchRun.js'), JSON.stringify(input)], { maxBuffer: 1 << 26 }, (err, stdout, stderr) => {
      if (err === null) resolve(stdout)
      else reject(new Error(`${JSON.stringify(input)}: ${stderr.slice(-2000)}`))
    })
  })
  const key = `${job.deployment} ${job.policyRun.name}`
  results.set(key, [...results.get(key) ?? [], JSON.parse(text.trim().split('\n').at(-1) ?? '') as benchRun.BenchFigures])
}

const addedLatency = await latency.measureLatency(isQuick ? 200 : 600)
process.stdout.write(`added latency: ${JSON.stringify(addedLatency)}\n`)
const queue = [...jobs]
await Promise.all(Array.from({ length: Number(flags.parallel) }, async () => {
  for (let job = queue.shift(); job !== undefined; job = queue.shift()) {
    await runJob(job).catch(err => { process.stdout.write(`FAILED  ${String(err)}\n`) })
  }
}))

/** Returns the median (the lower one for even lengths), the lowest and the highest value. */
function toMedianAndRange (list: number[], digits: number): [number, number, number] {
  const sorted = [...list].sort((a, b) => a - b)
  return [sorted[Math.floor((sorted.length - 1) / 2)], sorted[0], sorted[sorted.length - 1]].map(value => Number(value.toFixed(digits))) as [number, number, number]
}

const summary: Record<string, Record<string, unknown>> = {}
for (const deployment of deployments) {
  summary[deployment] = {}
  process.stdout.write(`\n${deployment}: median [lowest, highest]\n`)
  for (const policyRun of selectedRuns) {
    const list = results.get(`${deployment} ${policyRun.name}`) ?? []
    if (list.length === 0) continue
    const firstTokens = (priority: string, p: 'p50' | 'p95' | 'p99'): [number, number, number] => toMedianAndRange(list.map(item => item.firstTokenMs[priority]?.[p] ?? 0), 0)
    const row = {
      runs: list.length,
      cacheReuse: toMedianAndRange(list.map(item => item.cacheReuse), 3),
      skewP50: toMedianAndRange(list.map(item => item.skewP50), 2),
      skewP99: toMedianAndRange(list.map(item => item.skewP99), 2),
      skewMax: toMedianAndRange(list.map(item => item.skewMax), 2),
      meanLoad: toMedianAndRange(list.map(item => item.meanLoad), 1),
      importedMB: toMedianAndRange(list.map(item => item.importedMB), 0),
      controlBytes: toMedianAndRange(list.map(item => item.controlBytesPerInstancePerSecond), 0),
      urgentMs: { p50: firstTokens('urgent', 'p50'), p95: firstTokens('urgent', 'p95'), p99: firstTokens('urgent', 'p99') },
      interactiveMs: { p50: firstTokens('interactive', 'p50'), p95: firstTokens('interactive', 'p95'), p99: firstTokens('interactive', 'p99') },
      refusedShare: toMedianAndRange(list.map(item => item.refusedShare), 4),
      refusedSurging: toMedianAndRange(list.map(item => item.refusedSurging), 0),
      unknown: toMedianAndRange(list.map(item => item.unknown), 0),
      wrongAnswers: Math.max(...list.map(item => item.wrongAnswers))
    }
    summary[deployment][policyRun.name] = row
    process.stdout.write(`  ${policyRun.name.padEnd(20)} reuse ${formatMedianAndRange(row.cacheReuse)}  skew p50 ${row.skewP50[0]} p99 ${formatMedianAndRange(row.skewP99)}  mean ${row.meanLoad[0]}  control ${row.controlBytes[0]} B/s  urgent p95 ${row.urgentMs.p95[0]} ms  interactive p95 ${row.interactiveMs.p95[0]} ms  refused ${row.refusedShare[0]}  surging ${row.refusedSurging[0]}  unknown ${row.unknown[0]}  imported ${row.importedMB[0]} MB\n`)
  }
}
process.stdout.write(JSON.stringify({ seconds, seeds: Array.from({ length: runs }, (_, i) => i + 1), chosenFactor: DEFAULT_LOAD_FACTOR, latencyMs: addedLatency, ...summary }) + '\n')
process.exit(0)

function formatMedianAndRange (value: [number, number, number]): string {
  return `${value[0]} [${value[1]}, ${value[2]}]`
}
