/**
 * Runs benchmark days of a deployment on several versions of the tree and prints the paired differences of the reported figures.
 *
 * node scripts/rounds.mjs --bench FILE --site FILE --trees old=DIR,new=DIR --days a,b --seeds 1,2,3 [--jobs 4] [--why TEXT]
 *
 * Each tree is a clean checkout with its dependencies installed; the first one is the baseline. DIR must not be under /tmp. A day
 * is the name of a standard day or a file of the tree.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as util from 'node:util'

const { values } = util.parseArgs({
  options: {
    bench: { type: 'string' },
    site: { type: 'string' },
    trees: { type: 'string' },
    days: { type: 'string' },
    seeds: { type: 'string', default: '1,2,3,4' },
    jobs: { type: 'string', default: '4' },
    why: { type: 'string', default: 'paired round' }
  }
})
for (const name of ['bench', 'site', 'trees', 'days']) {
  if (values[name] === undefined) {
    console.error(`--${name} is missing; the usage is described at the top of scripts/rounds.mjs`)
    process.exit(2)
  }
}

const FIGURES = ['worth', 'whole', 'windows', 'class', 'prices', 'reread', 'memory']
const MAX_OUTPUT_BYTES = 64 * 1024 * 1024
const trees = values.trees.split(',').map(item => ({ name: item.split('=')[0], folder: path.resolve(item.split('=')[1]) }))
const runs = values.days.split(',').flatMap(day => values.seeds.split(',').flatMap(seed => trees.map(tree => ({ day, seed, tree }))))
const reportFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'rounds-'))
const results = new Map()

/** Runs one day and stores its figures; undefined if the run wrote no report. */
async function runDay (item, index) {
  const report = path.join(reportFolder, `${index}.json`)
  const args = ['run', path.resolve(values.site), item.day, '--seed', item.seed, '--report', report, '--why', `${values.why}: ${item.tree.name}`]
  const outcome = await new Promise(resolve => {
    childProcess.execFile(path.resolve(values.bench), args, { cwd: item.tree.folder, maxBuffer: MAX_OUTPUT_BYTES }, (err, stdout) => { resolve({ err, stdout }) })
  })
  const figures = fs.existsSync(report) ? toFigures(JSON.parse(fs.readFileSync(report, 'utf8'))) : undefined
  results.set(`${item.day} ${item.seed} ${item.tree.name}`, figures)
  if (figures === undefined) console.log(`${item.day} ${item.seed} ${item.tree.name}: no report; ${String(outcome.err?.message ?? outcome.stdout).slice(-300)}`)
  else console.log(`${item.day} ${item.seed} ${item.tree.name}: ${FIGURES.map(name => `${name} ${figures[name].toFixed(3)}`).join(' ')}${figures.notes}`)
}

function toFigures (report) {
  const part = name => report.parts.find(item => item[0] === name)?.[2] ?? NaN
  const price = name => report.prices.find(item => item[0].includes(name))?.[2] ?? NaN
  const breaks = Object.entries(report.breaks ?? {}).map(([rule, count]) => `${rule}:${JSON.stringify(count).slice(0, 40)}`)
  const notes = [...breaks, ...report.short ?? [], ...report.fault == null ? [] : [`fault ${JSON.stringify(report.fault)}`]]
  return {
    worth: report.G,
    whole: part('whole day'),
    windows: part('worst windows'),
    class: part('worst class'),
    prices: report.prices.reduce((sum, item) => sum + item[2], 0),
    reread: price('read again'),
    memory: price('memory, GB'),
    notes: notes.length === 0 ? '' : ` !! ${notes.join('; ')}`
  }
}

const queue = runs.map((item, index) => ({ item, index }))
await Promise.all(Array.from({ length: Number(values.jobs) }, async () => {
  for (let next = queue.shift(); next !== undefined; next = queue.shift()) await runDay(next.item, next.index)
}))

const mean = list => list.reduce((sum, item) => sum + item, 0) / list.length
const standardDeviation = list => Math.sqrt(mean(list.map(item => (item - mean(list)) ** 2)))
const [baseline, ...others] = trees
for (const tree of others) {
  for (const day of values.days.split(',')) {
    const pairs = values.seeds.split(',').map(seed => [results.get(`${day} ${seed} ${baseline.name}`), results.get(`${day} ${seed} ${tree.name}`)]).filter(pair => pair.every(item => item !== undefined))
    if (pairs.length === 0) continue
    const columns = FIGURES.map(name => {
      const differences = pairs.map(([a, b]) => b[name] - a[name])
      return `${name} ${mean(pairs.map(pair => pair[1][name])).toFixed(3)} (${mean(differences) >= 0 ? '+' : ''}${mean(differences).toFixed(3)} ±${standardDeviation(differences).toFixed(3)})`
    })
    console.log(`${tree.name} against ${baseline.name}, ${day}, ${pairs.length} pairs: ${columns.join(', ')}`)
  }
}
fs.rmSync(reportFolder, { recursive: true, force: true })
