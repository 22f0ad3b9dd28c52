/** Entry point of a stand-in process; the options are passed as JSON in the first argument. */
import * as engineServer from './engineServer.js'
import * as plainServer from './plainServer.js'

export type StandInOptions =
  | ({ kind: 'engine' } & Omit<engineServer.EngineOptions, 'crash'>)
  | ({ kind: 'plain' } & plainServer.PlainOptions)

const opts = JSON.parse(process.argv[2]) as StandInOptions
switch (opts.kind) {
  case 'engine': await engineServer.startEngine({ ...opts, crash: () => { process.kill(process.pid, 'SIGKILL') } }); break
  case 'plain': await plainServer.startPlainServer(opts); break
}
process.on('SIGTERM', () => { process.exit(0) })
