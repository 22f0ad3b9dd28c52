/** Entry of the program `kingcupdeck`. */
import * as cli from './cli.js'
import * as exitCodes from './exitCodes.js'
import * as output from './output.js'

cli.runCli(process.argv.slice(2)).catch(err => {
  output.printNote(err instanceof Error ? err.message : String(err))
  process.exit(exitCodes.ExitCode.failed)
})
