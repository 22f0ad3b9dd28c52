// Runs every check of the project and ends with a line "N passed, N failed". The steps beside the tests count as one each.
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'

const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)))
const knownRedFile = path.join(root, 'KNOWN-RED.txt')
const MAX_KNOWN_RED = 3
let passed = 0
let failed = 0

function say (text) {
  process.stdout.write(`${text}\n`)
}

function run (cmd, args, env = {}) {
  return childProcess.spawnSync(cmd, args, { cwd: root, encoding: 'utf8', maxBuffer: 1 << 28, env: { ...process.env, ...env } })
}

function step (name, cmd, args, env) {
  const startedAt = Date.now()
  const res = run(cmd, args, env)
  const isGood = res.status === 0
  if (isGood) passed++
  else failed++
  say(`${isGood ? 'ok' : 'FAILED'}  ${name}  (${Math.round((Date.now() - startedAt) / 1000)} s)`)
  if (!isGood) say(`${res.stdout}\n${res.stderr}`.slice(-8000))
  return { isGood, lastLine: (res.stdout ?? '').trim().split('\n').at(-1) ?? '' }
}

/** Names of tests that are known to fail for a fault that is not mended yet. */
function readKnownRed () {
  if (!fs.existsSync(knownRedFile)) return []
  const lines = fs.readFileSync(knownRedFile, 'utf8').split('\n').filter(line => line.trim() !== '')
  if (lines.length > MAX_KNOWN_RED) {
    failed++
    say(`FAILED  KNOWN-RED.txt has ${lines.length} lines, at most ${MAX_KNOWN_RED} are allowed`)
  }
  return lines.map(line => line.split(',')[0].trim())
}

function runTests () {
  const knownRed = readKnownRed()
  const startedAt = Date.now()
  // The README's test command, with its report in a form that can be counted.
  const res = run('npm', ['it', '--no-audit', '--no-fund'], { AVA_FLAGS: '--tap' })
  const seen = new Set()
  for (const line of res.stdout.split('\n')) {
    const match = /^(not )?ok \d+ - (.*)$/.exec(line)
    if (match === null) continue
    const [, isNot, title] = match
    const red = knownRed.find(name => title.endsWith(name))
    if (red !== undefined) seen.add(red)
    if (isNot === undefined) passed++
    else if (red === undefined) failed++
    if (isNot !== undefined) say(`${red === undefined ? 'FAILED' : 'known red'}  ${title}`)
  }
  for (const name of knownRed.filter(name => !seen.has(name))) {
    failed++
    say(`FAILED  KNOWN-RED.txt names "${name}", which no test is called`)
  }
  const isCounted = /^# tests [1-9]/m.test(res.stdout) || /^ok /m.test(res.stdout)
  if (!isCounted || (res.status !== 0 && !/^not ok/m.test(res.stdout))) {
    failed++
    say('FAILED  the test runner did not finish')
  }
  if (failed > 0) say(`${res.stdout}\n${res.stderr}`.slice(-12000))
  say(`tests  (${Math.round((Date.now() - startedAt) / 1000)} s)`)
}

/** The console is tested in a browser where one can be had; its tests say so where not. */
function installBrowser () {
  const isThere = () => run('sh', ['-c', 'command -v chromium']).status === 0
  if (!isThere()) run('sh', ['-c', 'apt-get update && apt-get install -y --no-install-recommends chromium'])
  say(isThere() ? 'ok  browser for the console tests' : 'skipped  console tests: no browser could be installed')
}

const isInstalled = step('npm ci', 'npm', ['ci', '--no-audit', '--no-fund']).isGood
if (isInstalled && step('build (types)', 'npx', ['tsc', '-b']).isGood) {
  step('lint', 'npx', ['eslint', '.'])
  step('platform names', 'node', ['scripts/names.mjs'])
  step('event catalogue', 'node', ['scripts/events.mjs', '--check'])
  step('bundle for the platform', 'node', ['scripts/bundle.mjs'])
  step('command line help', 'npx', ['kingcupdeck', '--help'])
  installBrowser()
  runTests()
  say(step('demo, short', 'node', ['packages/trials/dist/src/demo.js'], { DEMO_SECONDS: '12' }).lastLine)
  say(step('soak, short', 'node', ['packages/trials/dist/src/soak.js', '--seed', '11', '--seconds', '20']).lastLine)
  say(step('soak of the platform\'s programs, short', 'node', ['platform/dist/soak/main.js', '--seed', '2', '--seconds', '12']).lastLine)
}
say(`${passed} passed, ${failed} failed`)
process.exit(failed === 0 ? 0 : 1)
