// Bundles each platform program into a single file and writes its V8 code cache next to it, so that a restart with little CPU
// neither loads hundreds of modules nor compiles them again.
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as esbuild from 'esbuild'
import * as codeCaches from './codeCache.mjs'

const PROGRAMS = ['entry', 'control']
const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)))
const target = path.join(root, 'target')
const packages = fs.readdirSync(path.join(root, 'packages'))

/**
 * Returns the Node.js flags that the deployment starts a program with. V8 silently rejects a code cache that was created with
 * other flags and compiles everything again at each start.
 */
function readNodeFlags (name) {
  const deployment = fs.readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8')
  const run = new RegExp(`^run = "node (.*)target/${name}\\.cjs"$`, 'm').exec(deployment)
  if (run === null) throw new Error(`deploy/system.toml does not start target/${name}.cjs with node; its run line must be "node … target/${name}.cjs"`)
  return run[1].split(' ').filter(flag => flag !== '')
}

/** Source of the control instance's entry file: runs the first stage, which then loads the main bundle. */
const CONTROL_ENTRY = `
const path = require('node:path')
const { runFirstStage } = require('./control.first.cjs')
runFirstStage(process.env.KINGCUPDECK_CONFIG ?? '/etc/kingcupdeck/local.conf', () => { require(path.join(__dirname, 'control.rest.cjs')) })
`

/** A control instance's loader runs after its first stage; an entry instance's loader is its entry file. */
function toLoaderFile (name) {
  return name === 'control' ? 'control.rest.cjs' : `${name}.cjs`
}

/** esbuild options of every bundle. */
const BUNDLE_OPTIONS = { absWorkingDir: root, bundle: true, minify: true, platform: 'node', target: 'node20', format: 'cjs', logLevel: 'warning' }

await esbuild.build({
  ...BUNDLE_OPTIONS,
  entryPoints: ['platform/src/firstStage.ts'],
  outfile: 'target/control.first.cjs',
  alias: { '@kingcupdeck/discovery/handout': path.join(root, 'packages/discovery/src/handout.ts') }
})
fs.writeFileSync(path.join(target, 'control.cjs'), CONTROL_ENTRY)

for (const name of PROGRAMS) {
  await esbuild.build({
    ...BUNDLE_OPTIONS,
    entryPoints: [`platform/src/${name}.ts`],
    outfile: `target/${name}.main.cjs`,
    loader: { '.node': 'copy' },
    // Skips the CBOR library's lookup of its native addon, which is not available in a bundle.
    define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
    alias: {
      '@kingcupdeck/coordination/metrics': path.join(root, 'packages/coordination/src/controlMetrics.ts'),
      ...Object.fromEntries(packages.map(item => [`@kingcupdeck/${item}`, path.join(root, 'packages', item, 'src', 'index.ts')]))
    }
  })
  codeCaches.removeCaches(target, name)
  fs.writeFileSync(path.join(target, toLoaderFile(name)), codeCaches.createLoader(target, name))
  const env = { ...process.env, KINGCUPDECK_CONFIG: '/nonexistent' }
  const res = childProcess.spawnSync('node', [...readNodeFlags(name), '-e', codeCaches.createCacheBuilder(target, name, toLoaderFile(name))], { cwd: root, env, encoding: 'utf8' })
  if (!fs.existsSync(path.join(target, codeCaches.toCacheFile(target, name)))) process.stderr.write(`could not create the code cache for ${name}; the program compiles its code at each start: ${res.stderr}\n`)
}
