// Runs all tests: first those that may run beside each other, then those of processes at their limits.
import * as childProcess from 'node:child_process'

const flags = (process.env.AVA_FLAGS ?? '').split(' ').filter(flag => flag !== '')
const runs = [[], ['--config', 'ava.processes.config.js']].map(args => childProcess.spawnSync('npx', ['ava', ...args, ...flags], { stdio: 'inherit' }).status)
process.exit(runs.every(status => status === 0) ? 0 : 1)
