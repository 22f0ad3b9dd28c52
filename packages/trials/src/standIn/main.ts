/** Entry of a stand-in process: its options come as one JSON argument. */
import * as engineServer from './engineServer.js'
import * as plainServer from './plainServer.js'

/** What a stand-in process is told. */
export type StandInOptions =
  | ({ kind: 'engine' } & Omit<engineServer.EngineOptions, 'crash'>)
  | ({ kind: 'plain' } & plainServer.PlainOptions)

const opts = JSON.parse(process.argv[2]) as StandInOptions
switch (opts.kind) {
  case 'engine': await engineServer.startEngine({ ...opts, crash: () => { process.kill(process.pid, 'SIGKILL') } }); break
  case 'plain': await plainServer.startPlainServer(opts); break
}
process.on('SIGTERM', () => { process.exit(0) })
