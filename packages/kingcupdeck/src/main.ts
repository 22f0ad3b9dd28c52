/** Entry point of the `kingcupdeck` program. */
import * as cli from './cli.js'
import * as exitCodes from './exitCodes.js'
import * as output from './output.js'

// A reader that closes the pipe early, such as `head`, is not an error.
process.stdout.on('error', err => { if ((err as NodeJS.ErrnoException).code !== 'EPIPE') throw err })

cli.runCli(process.argv.slice(2)).catch(err => {
  output.printDiagnostic(err instanceof Error ? err.message : String(err))
  process.exit(exitCodes.ExitCode.failed)
})
