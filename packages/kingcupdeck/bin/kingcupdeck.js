#!/usr/bin/env node
import { watchSignals } from '../dist/src/daemonSignals.js'

// Loading the program takes longer than a signal may wait.
if (['router', 'control'].includes(process.argv[2])) watchSignals()
await import('../dist/src/main.js')
