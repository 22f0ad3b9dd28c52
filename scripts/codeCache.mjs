// Loaders that run a bundle with its V8 code cache, and the program that creates the cache.
import * as crypto from 'node:crypto'
import * as path from 'node:path'

/** Length of the digests in file names, in hexadecimal digits. */
const NAME_DIGEST_LENGTH = 16

/** Returns the digest of a bundle by which its files are named, so that the files of two builds never mix. */
export function toBundleDigest (source) {
  return crypto.createHash('sha256').update(source).digest('hex').slice(0, NAME_DIGEST_LENGTH)
}

/** Returns the file name of a bundle. */
export function toBundleFile (name, digest) {
  return `${name}.${digest}.main.cjs`
}

/**
 * Source of the function that reads a code cache. A cache file is the SHA-256 digest of the cache, followed by the cache. V8 checks the length, the
 * version and the flags of a cache, and crashes on any other damage. The name says which bundle, processor and V8 a cache belongs to.
 */
const CACHE_FILE_FUNCTIONS = `
const DIGEST_BYTES = 32
const toCacheFile = (name, digest) => path.join(__dirname, [name, digest, process.arch, 'v8_' + process.versions.v8, 'cache'].join('.'))
const toDigest = bytes => crypto.createHash('sha256').update(bytes).digest()
const warn = (name, why) => {
  const effect = 'code cache of ' + name + ' is not used, and the program is compiled at its start: ' + why
  try {
    fs.writeSync(2, effect + '; run node scripts/bundle.mjs to create it again\\n')
  } catch {
    // A closed output must not end the process.
  }
}
const readCache = (name, digest) => {
  try {
    const bytes = fs.readFileSync(toCacheFile(name, digest))
    const cache = bytes.subarray(DIGEST_BYTES)
    if (toDigest(cache).equals(bytes.subarray(0, DIGEST_BYTES))) return cache
    warn(name, 'its digest does not match')
  } catch (err) {
    warn(name, err.message)
  }
}
`

/** Returns the source of the loader that runs a bundle with its code cache. */
export function createLoader (name, digest) {
  return `
const crypto = require('node:crypto')
const fs = require('node:fs')
const path = require('node:path')
const vm = require('node:vm')
${CACHE_FILE_FUNCTIONS}
const file = path.join(__dirname, '${toBundleFile(name, digest)}')
const source = '(function (exports, require, module, __filename, __dirname) {' + fs.readFileSync(file, 'utf8') + '\\n})'
const cachedData = process.env.KINGCUPDECK_CREATE_CODE_CACHE === undefined ? readCache('${name}', '${digest}') : undefined
const script = new vm.Script(source, { filename: file, cachedData })
if (script.cachedDataRejected) warn('${name}', 'it was created with other flags of Node.js')
const loaded = { exports: {} }
script.runInThisContext().call(loaded.exports, loaded.exports, require, loaded, file, __dirname)
module.exports = { script }
`
}

/**
 * Returns the source of the program that creates the code cache: runs a bundle until it waits for settings, so that its
 * startup code is compiled. Its arguments are its folder and the temporary file to write; it prints the name of the cache file.
 */
export function createCacheBuilder (name, digest) {
  return `
const Module = require('node:module')
const crypto = require('node:crypto')
const fs = require('node:fs')
const path = require('node:path')
const [folder, tempFile] = process.argv.slice(1)
const __dirname = folder
${CACHE_FILE_FUNCTIONS}
process.exit = () => {}
process.on('unhandledRejection', () => {})
const loader = new Module(path.join(folder, '${name}.loader.cjs'))
loader.paths = []
loader.filename = loader.id
loader._compile(${JSON.stringify(createLoader(name, digest))}, loader.filename)
setImmediate(() => {
  const cache = loader.exports.script.createCachedData()
  const handle = fs.openSync(tempFile, 'w')
  fs.writeSync(handle, Buffer.concat([toDigest(cache), cache]))
  fs.fsyncSync(handle)
  process.stdout.write(path.basename(toCacheFile('${name}', '${digest}')), () => { process.reallyExit(0) })
})
`
}

/** Environment of the program that creates a code cache. */
export const CACHE_BUILDER_ENV = { KINGCUPDECK_CREATE_CODE_CACHE: '1' }

/** Returns the arguments of the program that creates a code cache. */
export function toCacheBuilderArgs (name, digest, folder, tempFile) {
  return ['-e', createCacheBuilder(name, digest), path.resolve(folder), path.resolve(tempFile)]
}
