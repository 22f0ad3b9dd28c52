// Bundles each of the platform's programs into one file, with the code that it compiles at its start beside it: a restart on
// a small share of a processor then neither reads hundreds of files nor compiles them again.
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as esbuild from 'esbuild'

const PROGRAMS = ['entry', 'control']
const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)))
const packages = fs.readdirSync(path.join(root, 'packages'))

/** The program that the platform starts: runs the bundle with its compiled code. */
function toLoader (name) {
  return `
const fs = require('node:fs')
const path = require('node:path')
const vm = require('node:vm')
const file = path.join(__dirname, '${name}.main.cjs')
const source = '(function (exports, require, module, __filename, __dirname) {' + fs.readFileSync(file, 'utf8') + '\\n})'
let cachedData
try { cachedData = fs.readFileSync(path.join(__dirname, '${name}.cache')) } catch {}
const script = new vm.Script(source, { filename: file, cachedData })
const loaded = { exports: {} }
script.runInThisContext().call(loaded.exports, loaded.exports, require, loaded, file, __dirname)
module.exports = { script }
`
}

/**
 * The flags that the deployment starts a program with. Compiled code is only taken by a process with the same ones: with others
 * it compiles everything again at each start, and nothing tells so.
 */
function toFlags (name) {
  const deployment = fs.readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8')
  const run = new RegExp(`^run = "node (.*)target/${name}\\.cjs"$`, 'm').exec(deployment)
  if (run === null) throw new Error(`deploy/system.toml does not start target/${name}.cjs with node: correct its run line`)
  return run[1].split(' ').filter(flag => flag !== '')
}

/** Runs a program until it has found that there are no settings; what serves requests is compiled when it is first used. */
function toWarmUp (name) {
  return `
const path = require('node:path')
const fs = require('node:fs')
process.exit = () => {}
process.on('unhandledRejection', () => {})
const { script } = require(path.resolve('target/${toLoaderName(name)}'))
setImmediate(() => { fs.writeFileSync('target/${name}.cache', script.createCachedData()); process.reallyExit(0) })
`
}

/** The program that the platform starts as a control instance: the first stage, and behind it the rest. */
const STAGED = `
const path = require('node:path')
const { runFirstStage } = require('./control.first.cjs')
runFirstStage(process.env.KINGCUPDECK_CONFIG ?? '/etc/kingcupdeck/local.conf', () => { require(path.join(__dirname, 'control.rest.cjs')) })
`

/** A control instance's program begins with its first stage, an entry instance's at once. */
function toLoaderName (name) {
  return name === 'control' ? 'control.rest.cjs' : `${name}.cjs`
}

/** How each file is bundled. */
const BUNDLE = { absWorkingDir: root, bundle: true, minify: true, platform: 'node', target: 'node20', format: 'cjs', logLevel: 'warning' }

await esbuild.build({
  ...BUNDLE,
  entryPoints: ['platform/src/firstStage.ts'],
  outfile: 'target/control.first.cjs',
  alias: { '@kingcupdeck/discovery/handout': path.join(root, 'packages/discovery/src/handout.ts') }
})
fs.writeFileSync(path.join(root, 'target', 'control.cjs'), STAGED)

for (const name of PROGRAMS) {
  await esbuild.build({
    ...BUNDLE,
    entryPoints: [`platform/src/${name}.ts`],
    outfile: `target/${name}.main.cjs`,
    loader: { '.node': 'copy' },
    // Leaves out the search for native code of the CBOR library, which finds none beside a bundle.
    define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
    alias: {
      '@kingcupdeck/coordination/metrics': path.join(root, 'packages/coordination/src/controlMetrics.ts'),
      ...Object.fromEntries(packages.map(item => [`@kingcupdeck/${item}`, path.join(root, 'packages', item, 'src', 'index.ts')]))
    }
  })
  fs.writeFileSync(path.join(root, 'target', toLoaderName(name)), toLoader(name))
  const env = { ...process.env, KINGCUPDECK_CONFIG: '/nonexistent' }
  const made = childProcess.spawnSync('node', [...toFlags(name), '-e', toWarmUp(name)], { cwd: root, env, encoding: 'utf8' })
  if (!fs.existsSync(path.join(root, `target/${name}.cache`))) process.stderr.write(`no code cache for ${name}; it compiles at its start: ${made.stderr}\n`)
}
