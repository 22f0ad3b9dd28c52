// Checks that no package uses names of the platform's protocol (headers, paths, fields), which belong in platform/ only.
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'

const NAMES = /x-kingcupdeck-(attempt|deadline|expect|server|not-executed|tenant|model|token|prompt|instance|request|weight|pin|hold|kv|length)|\/-\/(config|resolve|readyz|instances)|heartbeatAddr|coldLeftMs|trafficSplit|pathPrefix"|authExempt|fleetbench/i
const files = childProcess.execFileSync('git', ['ls-files', 'packages'], { encoding: 'utf8' }).split('\n').filter(name => name.endsWith('.ts'))
const found = files.flatMap(name => fs.readFileSync(name, 'utf8').split('\n').flatMap((line, i) => NAMES.test(line) ? [`${name}:${i + 1}: ${line.trim()}`] : []))
for (const line of found) process.stderr.write(`${line}\n`)
process.stdout.write(found.length === 0 ? `no platform name in ${files.length} files\n` : `${found.length} lines use the platform's names: move them to platform/\n`)
process.exit(found.length === 0 ? 0 : 1)
