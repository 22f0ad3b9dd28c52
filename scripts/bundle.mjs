// Bundles the platform's process into one file: a restart then reads and compiles one small file in place of hundreds.
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as esbuild from 'esbuild'

const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)))
const packages = fs.readdirSync(path.join(root, 'packages'))

await esbuild.build({
  absWorkingDir: root,
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/kingcupdeck.cjs',
  bundle: true,
  minify: true,
  keepNames: false,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  loader: { '.node': 'copy' },
  alias: Object.fromEntries(packages.map(name => [`@kingcupdeck/${name}`, path.join(root, 'packages', name, 'src', 'index.ts')])),
  logLevel: 'warning'
})
