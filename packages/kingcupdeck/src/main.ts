/** Entry of the program `kingcupdeck`. */
import * as cli from './cli.js'
import * as exitCodes from './exitCodes.js'
import * as output from './output.js'

// A reader that has seen enough, as `head` does, is no failure.
process.stdout.on('error', err => { if ((err as NodeJS.ErrnoException).code !== 'EPIPE') throw err })

cli.runCli(process.argv.slice(2)).catch(err => {
  output.printDiagnostic(err instanceof Error ? err.message : String(err))
  process.exit(exitCodes.ExitCode.failed)
})
