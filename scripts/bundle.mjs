// Bundles the platform's process into one file, with the code that it compiles at its start beside it: a restart on a small
// share of a processor then neither reads hundreds of files nor compiles them again.
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as esbuild from 'esbuild'

const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)))
const packages = fs.readdirSync(path.join(root, 'packages'))

await esbuild.build({
  absWorkingDir: root,
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/main.cjs',
  bundle: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  loader: { '.node': 'copy' },
  alias: Object.fromEntries(packages.map(name => [`@kingcupdeck/${name}`, path.join(root, 'packages', name, 'src', 'index.ts')])),
  logLevel: 'warning'
})

fs.writeFileSync(path.join(root, 'target/kingcupdeck.cjs'), `
const fs = require('node:fs')
const path = require('node:path')
const vm = require('node:vm')
const file = path.join(__dirname, 'main.cjs')
const source = '(function (exports, require, module, __filename, __dirname) {' + fs.readFileSync(file, 'utf8') + '\\n})'
let cachedData
try { cachedData = fs.readFileSync(path.join(__dirname, 'main.cache')) } catch {}
const script = new vm.Script(source, { filename: file, cachedData })
const loaded = { exports: {} }
script.runInThisContext().call(loaded.exports, loaded.exports, require, loaded, file, __dirname)
module.exports = { script }
`)

// The code that runs until the settings are read; what serves requests is compiled when it is first used.
const warmUp = `
const path = require('node:path')
const fs = require('node:fs')
process.exit = () => {}
process.on('unhandledRejection', () => {})
const { script } = require(path.resolve('target/kingcupdeck.cjs'))
setImmediate(() => { fs.writeFileSync('target/main.cache', script.createCachedData()); process.reallyExit(0) })
`
const made = childProcess.spawnSync('node', ['--max-old-space-size=200', '-e', warmUp], { cwd: root, env: { ...process.env, KINGCUPDECK_CONFIG: '/nonexistent' }, encoding: 'utf8' })
if (!fs.existsSync(path.join(root, 'target/main.cache'))) process.stderr.write(`no code cache was made; the process compiles at its start: ${made.stderr}\n`)
