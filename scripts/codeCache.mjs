// Loaders that run a bundle with its V8 code cache, and the program that creates the cache.
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as path from 'node:path'

/**
 * Returns the name of the code cache of a bundle. It contains a digest of the bundle: V8 compares only the length of the source, and
 * would run the code of another bundle of the same length.
 */
export function toCacheFile (folder, name) {
  const digest = crypto.createHash('sha256').update(fs.readFileSync(path.join(folder, `${name}.main.cjs`))).digest('hex')
  return `${name}.${digest.slice(0, 16)}.cache`
}

/** Removes the code caches of earlier bundles of a program. */
export function removeCaches (folder, name) {
  for (const file of fs.readdirSync(folder)) {
    if (file.startsWith(`${name}.`) && file.endsWith('.cache')) fs.rmSync(path.join(folder, file))
  }
}

/** Returns the source of the loader that runs a bundle with its code cache. */
export function createLoader (folder, name) {
  return `
const fs = require('node:fs')
const path = require('node:path')
const vm = require('node:vm')
const file = path.join(__dirname, '${name}.main.cjs')
const source = '(function (exports, require, module, __filename, __dirname) {' + fs.readFileSync(file, 'utf8') + '\\n})'
let cachedData
try { cachedData = fs.readFileSync(path.join(__dirname, '${toCacheFile(folder, name)}')) } catch {}
const script = new vm.Script(source, { filename: file, cachedData })
const loaded = { exports: {} }
script.runInThisContext().call(loaded.exports, loaded.exports, require, loaded, file, __dirname)
module.exports = { script }
`
}

/**
 * Returns the source of the program that creates the code cache: runs a bundle until it exits for lack of settings, so that its
 * startup code is compiled.
 */
export function createCacheBuilder (folder, name, loaderFile) {
  return `
const fs = require('node:fs')
process.exit = () => {}
process.on('unhandledRejection', () => {})
const { script } = require(${JSON.stringify(path.join(folder, loaderFile))})
setImmediate(() => { fs.writeFileSync(${JSON.stringify(path.join(folder, toCacheFile(folder, name)))}, script.createCachedData()); process.reallyExit(0) })
`
}
