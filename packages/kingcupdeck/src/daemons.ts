/** Daemons: start a router or control instance from settings and stop it on SIGTERM or SIGINT; SIGHUP is ignored. */
import * as fs from 'node:fs'
import * as crypto from 'node:crypto'
import * as contracts from '@kingcupdeck/contracts'
import * as control from '@kingcupdeck/control'
import * as router from '@kingcupdeck/router'
import * as telemetry from '@kingcupdeck/telemetry'
import * as daemonSignals from './daemonSignals.js'
import * as exitCodes from './exitCodes.js'
import * as settings from './settings.js'

type RouterValues = settings.Values<typeof settings.routerSettings>
type ControlValues = settings.Values<typeof settings.controlSettings>

/** Starts a router instance that runs until SIGTERM or SIGINT. */
export async function runRouter (values: RouterValues): Promise<void> {
  const log = createLog(values)
  exitOnUncaughtError(log)
  const instance = await router.createRouter({
    id: values.id,
    zone: values.zone,
    boot: crypto.randomUUID(),
    listen: values.listen,
    peerListen: values['peer-listen'],
    advertiseUrl: values['advertise-url'] === '' ? undefined : values['advertise-url'],
    advertisePeer: values['advertise-peer'] === '' ? undefined : values['advertise-peer'],
    controls: values.control,
    secret: values['fleet-secret'],
    ledgerGroups: values['ledger-groups'],
    maxBodyBytes: values['max-body-bytes'],
    policy: values.policy,
    isKvImportEnabled: values['kv-import'],
    log,
    isFatal: values['fatal-invariants']
  })
  stopOnSignal(log, instance.shutdown)
}

/**
 * Starts a control instance that runs until SIGTERM or SIGINT.
 * @throws FailureError `invalid_document` if the initial document has faults
 */
export async function runControl (values: ControlValues): Promise<void> {
  const log = createLog(values)
  exitOnUncaughtError(log)
  const instance = await control.createControl({
    id: values.id,
    listen: values.listen,
    peerListen: values['peer-listen'],
    controls: values.control,
    dataFolder: values['data-folder'],
    secret: values['fleet-secret'],
    ledgerGroups: values['ledger-groups'],
    snapshotEvery: values['snapshot-every'],
    isFirstStart: values.bootstrap,
    ownsProcess: true,
    document: values.document === '' ? undefined : readDocument(values.document),
    log,
    isFatal: values['fatal-invariants']
  })
  stopOnSignal(log, instance.shutdown)
}

function createLog (values: RouterValues | ControlValues): telemetry.Log {
  return telemetry.createLog({ instance: values.id, json: values['log-json'], level: values['log-level'] })
}

function readDocument (file: string): contracts.Document {
  const checked = contracts.checkDocument(JSON.parse(fs.readFileSync(file, 'utf8')))
  if (checked.kind === 'valid') return checked.document
  throw new contracts.FailureError({ kind: 'invalid_document', faults: checked.faults })
}

function stopOnSignal (log: telemetry.Log, shutdown: () => Promise<void>): void {
  let isStopping = false
  const stop = (): void => {
    if (isStopping) return
    isStopping = true
    shutdown().then(() => { process.exit(exitCodes.ExitCode.done) }, err => {
      log.event('uncaught', { detail: String(err) })
      process.exit(exitCodes.ExitCode.failed)
    })
  }
  daemonSignals.handleSignals({ stop, ignore: signal => { log.event('signalIgnored', { signal }) } })
}

/** Logs uncaught exceptions and unhandled rejections, then ends the process. */
function exitOnUncaughtError (log: telemetry.Log): void {
  const fail = (err: unknown): void => {
    log.event('uncaught', { detail: err instanceof Error ? err.stack ?? err.message : String(err) })
    process.exitCode = exitCodes.ExitCode.failed
    process.exit()
  }
  process.on('uncaughtException', fail)
  process.on('unhandledRejection', fail)
}
