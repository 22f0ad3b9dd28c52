// Runs all checks and prints the totals as "N passed, N failed". Every test counts as one check, and so does every other step.
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'

const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)))
const MAX_DIAGNOSTIC_LINES = 60
/** Runs of the test runner in test.mjs. */
const TEST_RUNS = 2
const KNOWN_RED_FILE = path.join(root, 'KNOWN-RED.txt')
let passed = 0
let failed = 0

function print (text) {
  process.stdout.write(`${text}\n`)
}

function run (cmd, args, env = {}) {
  return childProcess.spawnSync(cmd, args, { cwd: root, encoding: 'utf8', maxBuffer: 1 << 28, env: { ...process.env, ...env } })
}

/** Runs a step. @param knownRed checks of KNOWN-RED.txt that a soak may break if it came to its end; it must not break any other one */
function step (name, cmd, args, env, knownRed = []) {
  const startedAt = Date.now()
  const res = run(cmd, args, env)
  const isOk = res.status === 0
  const broken = isOk ? [] : (res.stdout ?? '').split('\n').filter(line => line.startsWith('BROKEN '))
  const lastLine = (res.stdout ?? '').trim().split('\n').at(-1) ?? ''
  const isKnown = broken.length > 0 && lastLine.startsWith('logs: ') && broken.every(line => knownRed.some(check => line.startsWith(`BROKEN ${check}: `)))
  if (isOk) passed++
  else if (!isKnown) failed++
  print(`${isOk ? 'ok' : isKnown ? 'known red' : 'FAILED'}  ${name}  (${Math.round((Date.now() - startedAt) / 1000)} s)`)
  if (!isOk) {
    // The checks of a soak that failed come before its logs.
    print(broken.join('\n'))
    print(`${res.stdout}\n${res.stderr}`.slice(-8000))
  }
  return { isOk, lastLine }
}

/** Names of entries that are no tests: cases and seeds, which need the bench or minutes, and are only printed. */
const CASE_NAME = /^(review\/\d+|seed \S+)$/
/** Names of entries that are checks of the soak. */
const SOAK_CHECK = /^soak: (.+)$/

/** Reads KNOWN-RED.txt, one entry a line: its name, its command, what was seen and its issue. Prints the cases and seeds. @returns the titles of tests, and checks of the soak */
function readKnownRed () {
  if (!fs.existsSync(KNOWN_RED_FILE)) return { tests: [], soakChecks: [] }
  const entries = fs.readFileSync(KNOWN_RED_FILE, 'utf8').split('\n').filter(line => line.trim() !== '').map(line => ({ name: line.split(',')[0].trim(), line }))
  for (const { name, line } of entries) {
    const hasCommand = /, command: \S/.test(line)
    const hasIssue = /, issue \d+$/.test(line.trim())
    if (!hasCommand || !hasIssue) {
      failed++
      print(`FAILED  the entry "${name}" of KNOWN-RED.txt must have ", command: ..." and end with ", issue N"`)
    }
    if (CASE_NAME.test(name)) print(`known red, not run here  ${line}`)
  }
  const names = entries.map(entry => entry.name)
  return {
    tests: names.filter(name => !CASE_NAME.test(name) && !SOAK_CHECK.test(name)),
    soakChecks: names.flatMap(name => SOAK_CHECK.exec(name)?.[1] ?? [])
  }
}

/** Returns the indented diagnostics that follow the line of a failed test in TAP output. */
function readDiagnostics (lines, i) {
  const end = lines.findIndex((line, j) => j > i && !line.startsWith('  '))
  return lines.slice(i + 1, end < 0 ? undefined : end).slice(0, MAX_DIAGNOSTIC_LINES).join('\n')
}

/** Returns how the titles of the tests of a file begin. */
function toTitlePrefix (file) {
  return file.replace(/\.test\.js$/, '').split('/').filter(name => name !== '__tests__').join(' › ')
}

function runTests (knownRed) {
  const startedAt = Date.now()
  // The test command of the README, with TAP output so that results can be counted.
  const res = run('npm', ['it', '--no-audit', '--no-fund'], { AVA_FLAGS: '--tap' })
  const matchedRed = new Set()
  /** Files with a known red test that failed; it may have left open what keeps their process from ending by itself. */
  const redFiles = new Set()
  const lines = res.stdout.split('\n')
  for (const [i, line] of lines.entries()) {
    const match = /^(not )?ok \d+ - (.*)$/.exec(line)
    if (match === null) continue
    const [, isNot, title] = match
    // The status of testExit.mjs: all tests of the file have ended.
    const exitedFile = /^(\S+\.test\.js) exited with a non-zero exit code: 70$/.exec(title)?.[1]
    const knownTitle = knownRed.find(name => title.endsWith(name)) ?? (exitedFile !== undefined && redFiles.has(toTitlePrefix(exitedFile)) ? exitedFile : undefined)
    if (knownTitle !== undefined) matchedRed.add(knownTitle)
    if (isNot === undefined) passed++
    else if (knownTitle === undefined) failed++
    if (isNot !== undefined && knownTitle !== undefined) redFiles.add(title.split(' › ').slice(0, -1).join(' › '))
    if (isNot !== undefined) print(`${knownTitle === undefined ? 'FAILED' : 'known red'}  ${title}\n${readDiagnostics(lines, i)}`)
  }
  for (const name of knownRed.filter(name => !matchedRed.has(name))) {
    failed++
    print(`FAILED  KNOWN-RED.txt names "${name}", which is not the title of any test`)
  }
  // The totals of each run are printed last; without them some tests may not have run.
  const hasTotals = [/^# tests [1-9]/gm, /^# fail \d/gm].every(total => (res.stdout.match(total) ?? []).length === TEST_RUNS)
  if (!hasTotals || (res.status !== 0 && !/^not ok/m.test(res.stdout))) {
    failed++
    print('FAILED  the test runner did not finish')
  }
  if (failed > 0) print(`${res.stdout}\n${res.stderr}`.slice(-12000))
  print(`tests  (${Math.round((Date.now() - startedAt) / 1000)} s)`)
}

/** Installs Chromium for the console tests if possible; without it they are skipped. */
function installBrowser () {
  const isInstalled = () => run('sh', ['-c', 'command -v chromium']).status === 0
  if (!isInstalled()) run('sh', ['-c', 'apt-get update && apt-get install -y --no-install-recommends chromium'])
  print(isInstalled() ? 'ok  browser for the console tests' : 'skipped  console tests: no browser could be installed')
}

const isNpmCiOk = step('npm ci', 'npm', ['ci', '--no-audit', '--no-fund']).isOk
if (isNpmCiOk && step('build (types)', 'npx', ['tsc', '-b']).isOk) {
  step('lint', 'npx', ['eslint', '.'])
  step('platform names', 'node', ['scripts/names.mjs'])
  step('event catalogue', 'node', ['scripts/events.mjs', '--check'])
  step('bundle for the platform', 'node', ['scripts/bundle.mjs'])
  step('command line help', 'npx', ['kingcupdeck', '--help'])
  installBrowser()
  const knownRed = readKnownRed()
  runTests(knownRed.tests)
  print(step('demo, short', 'node', ['packages/trials/dist/src/demo.js'], { DEMO_SECONDS: '12' }).lastLine)
  print(step('soak, short', 'node', ['packages/trials/dist/src/soak.js', '--seed', '11', '--seconds', '20']).lastLine)
  print(step('soak of the platform\'s programs, short', 'node', ['platform/dist/soak/main.js', '--seed', '2', '--seconds', '12'], {}, knownRed.soakChecks).lastLine)
}
print(`${passed} passed, ${failed} failed`)
process.exit(failed === 0 ? 0 : 1)
