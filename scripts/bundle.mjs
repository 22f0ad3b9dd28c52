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

/** Runs a program until it has found that there are no settings; what serves requests is compiled when it is first used. */
function toWarmUp (name) {
  return `
const path = require('node:path')
const fs = require('node:fs')
process.exit = () => {}
process.on('unhandledRejection', () => {})
const { script } = require(path.resolve('target/${name}.cjs'))
setImmediate(() => { fs.writeFileSync('target/${name}.cache', script.createCachedData()); process.reallyExit(0) })
`
}

for (const name of PROGRAMS) {
  await esbuild.build({
    absWorkingDir: root,
    entryPoints: [`platform/src/${name}.ts`],
    outfile: `target/${name}.main.cjs`,
    bundle: true,
    minify: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    loader: { '.node': 'copy' },
    // Leaves out the search for native code of the CBOR library, which finds none beside a bundle.
    define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
    alias: {
      '@kingcupdeck/coordination/metrics': path.join(root, 'packages/coordination/src/controlMetrics.ts'),
      ...Object.fromEntries(packages.map(item => [`@kingcupdeck/${item}`, path.join(root, 'packages', item, 'src', 'index.ts')]))
    },
    logLevel: 'warning'
  })
  fs.writeFileSync(path.join(root, `target/${name}.cjs`), toLoader(name))
  const env = { ...process.env, KINGCUPDECK_CONFIG: '/nonexistent' }
  const made = childProcess.spawnSync('node', ['--max-old-space-size=200', '-e', toWarmUp(name)], { cwd: root, env, encoding: 'utf8' })
  if (!fs.existsSync(path.join(root, `target/${name}.cache`))) process.stderr.write(`no code cache for ${name}; it compiles at its start: ${made.stderr}\n`)
}
