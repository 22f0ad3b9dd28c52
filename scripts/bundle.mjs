// Bundles each platform program into a single file and writes its V8 code cache next to it, so that a restart with little CPU
// neither loads hundreds of modules nor compiles them again. Files are named by the digest of their bundle; the loader, which names
// them, is replaced last. So a build that ends at any moment leaves the programs of before or the new ones.
//   --out FOLDER   where to write; target/ by default
//   --no-minify    keeps names and line breaks
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as util from 'node:util'
import * as esbuild from 'esbuild'
import * as codeCaches from './codeCache.mjs'
import * as durableFiles from './durableFiles.mjs'

const PROGRAMS = ['entry', 'control']
const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)))
const { values: options } = util.parseArgs({ options: { out: { type: 'string', default: path.join(root, 'target') }, 'no-minify': { type: 'boolean', default: false } } })
const target = path.resolve(options.out)
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
const BUNDLE_OPTIONS = { absWorkingDir: root, bundle: true, minify: !options['no-minify'], platform: 'node', target: 'node20', format: 'cjs', logLevel: 'warning', write: false }

/** Returns the first lines of the files that are run: they are not loaded from a file of their own, so that signals are handled as early as possible. */
async function bundleFirstLines () {
  const { outputFiles } = await esbuild.build({ ...BUNDLE_OPTIONS, minify: true, format: 'iife', entryPoints: ['platform/src/noteSignals.ts'] })
  return outputFiles[0].text
}

/** Returns the source files of modules, so that no other module of their packages is bundled. */
function toSourceAliases (...modules) {
  return Object.fromEntries(modules.map(name => [`@kingcupdeck/${name}`, path.join(root, 'packages', name.replace('/', '/src/') + '.ts')]))
}

/** Bundles an entry point. @returns the source of the bundle, and the files that it loads */
async function bundle (entryPoint, outfile, more) {
  const { outputFiles } = await esbuild.build({ ...BUNDLE_OPTIONS, entryPoints: [entryPoint], outfile: path.join(target, outfile), ...more })
  const main = outputFiles.find(item => path.basename(item.path) === outfile)
  return { source: main.contents, assets: outputFiles.filter(item => item !== main).map(item => ({ name: path.basename(item.path), content: item.contents })) }
}

/** Returns the digest of the bundle that the present loader runs, undefined if there is no loader yet. */
function toPublishedDigest (name) {
  const file = path.join(target, toLoaderFile(name))
  if (!fs.existsSync(file)) return undefined
  return new RegExp(`${name}\\.([0-9a-f]+)\\.main\\.cjs`).exec(fs.readFileSync(file, 'utf8'))?.[1]
}

/** Writes the code cache of a bundle. Without one, the program compiles its code at each start. */
function writeCache (name, digest) {
  const tempFile = durableFiles.toTempFile(target, `${name}.cache`)
  const env = { ...process.env, ...codeCaches.CACHE_BUILDER_ENV, KINGCUPDECK_CONFIG: '/nonexistent' }
  const res = childProcess.spawnSync('node', [...readNodeFlags(name), ...codeCaches.toCacheBuilderArgs(name, digest, target, tempFile)], { cwd: root, env, encoding: 'utf8' })
  if (res.status === 0 && fs.existsSync(tempFile)) durableFiles.publish(target, tempFile, res.stdout)
  else process.stderr.write(`could not create the code cache for ${name}; the program compiles its code at each start: ${res.stderr}\n`)
}

fs.mkdirSync(target, { recursive: true })
const firstLines = await bundleFirstLines()
/** Files of this build, and the beginnings of the names of those of this build and of the one before. */
const current = new Set()

for (const name of PROGRAMS) {
  const { source, assets } = await bundle(`platform/src/${name}.ts`, `${name}.main.cjs`, {
    loader: { '.node': 'copy' },
    // Skips the CBOR library's lookup of its native addon, which is not available in a bundle.
    define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
    alias: {
      '@kingcupdeck/coordination/metrics': path.join(root, 'packages/coordination/src/controlMetrics.ts'),
      ...toSourceAliases('state/firstStart'),
      ...Object.fromEntries(packages.map(item => [`@kingcupdeck/${item}`, path.join(root, 'packages', item, 'src', 'index.ts')]))
    }
  })
  const digest = codeCaches.toBundleDigest(source)
  const earlier = toPublishedDigest(name)
  for (const { name: asset, content } of assets) durableFiles.replaceFile(target, asset, content)
  durableFiles.replaceFile(target, codeCaches.toBundleFile(name, digest), source)
  writeCache(name, digest)
  durableFiles.replaceFile(target, toLoaderFile(name), (name === 'control' ? '' : firstLines) + codeCaches.createLoader(name, digest))
  current.add(toLoaderFile(name))
  if (name === 'control') {
    const first = await bundle('platform/src/firstStage.ts', 'control.first.cjs', { alias: toSourceAliases('discovery/handout', 'coordination/firstStart', 'state/firstStart') })
    durableFiles.replaceFile(target, 'control.first.cjs', first.source)
    durableFiles.replaceFile(target, 'control.cjs', firstLines + CONTROL_ENTRY)
    for (const file of ['control.first.cjs', 'control.cjs']) current.add(file)
  }
  current.add(`${name}.${digest}`)
  if (earlier !== undefined) current.add(`${name}.${earlier}`)
}

/** Returns whether a file was written by an earlier build than the last two; other files in the folder are not touched. */
function isOld (name) {
  const [program, digest] = name.split('.')
  return PROGRAMS.includes(program) && !current.has(name) && !current.has(`${program}.${digest}`)
}

durableFiles.removeOldFiles(target, isOld)
