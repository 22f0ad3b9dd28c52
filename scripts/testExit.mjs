/**
 * Loaded before each test file. Ends its process some time after its last test although a failed test has left servers or timers behind,
 * which would otherwise keep the test run from ending.
 */
import * as ava from 'ava'

/** Time in which a process has to end by itself, milliseconds. */
const EXIT_MS = 60_000
/** Status of a process that is ended so; ci.mjs tells it from that of one that ends for another reason, whose later tests did not run. */
const EXIT_STATUS = 70

ava.registerCompletionHandler(() => {
  const timer = setTimeout(() => {
    process.stderr.write(`still open after the last test: ${process.getActiveResourcesInfo().join(', ')}\n`)
    process.exit(EXIT_STATUS)
  }, EXIT_MS)
  timer.unref()
})
