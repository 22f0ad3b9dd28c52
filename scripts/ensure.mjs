// Prepares a fresh clone: installs the locked packages unless they are installed, then builds incrementally.
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'

const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)))

function run (cmd, args) {
  const res = childProcess.spawnSync(cmd, args, { cwd: root, stdio: ['ignore', 2, 2] })
  if (res.status !== 0) process.exit(res.status ?? 1)
}

if (!fs.existsSync(path.join(root, 'node_modules', '.package-lock.json'))) run('npm', ['ci', '--no-audit', '--no-fund'])
run(path.join(root, 'node_modules', '.bin', 'tsc'), ['-b', root])
