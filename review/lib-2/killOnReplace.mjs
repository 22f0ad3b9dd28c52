/**
 * Kills a process as soon as a file was created or replaced: `node killOnReplace.mjs PID FILE INODE`, where INODE is that of the present
 * file, 0 without one. Ends by itself after 15 s.
 */
import * as fs from 'node:fs'

const [pid, file, inode] = [Number(process.argv[2]), process.argv[3], Number(process.argv[4])]
const until = performance.now() + 15_000
// Polls without pauses: a watcher would be told too late.
while (performance.now() < until) {
  if ((fs.statSync(file, { throwIfNoEntry: false })?.ino ?? 0) === inode) continue
  process.kill(pid, 'SIGKILL')
  break
}
