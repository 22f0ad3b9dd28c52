/** Commands of `kingcupdeck config`: validate, get, put and history. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as contracts from '@kingcupdeck/contracts'
import * as exitCodes from './exitCodes.js'
import * as operatorClient from './operatorClient.js'
import * as output from './output.js'

/** Options of `config put`. */
export interface PutOptions { target: operatorClient.OperatorTarget, file: string, base: number | undefined, operation: string | undefined, isWaiting: boolean, json: boolean }

const WAIT_TIMEOUT_MS = 10_000
const WAIT_POLL_INTERVAL_MS = 100

/** `config validate`: checks a document file without a control instance. */
export function validate (file: string, json: boolean): exitCodes.ExitCode {
  const read = readJsonFile(file)
  const faults = read.kind === 'read' ? toFaults(read.value) : [{ path: '(file)', message: read.detail }]
  if (json) output.print(JSON.stringify({ valid: faults.length === 0, faults }))
  else if (faults.length === 0) output.print(`${file} is valid.`)
  else for (const fault of faults) output.print(`${fault.path}: ${fault.message}`)
  return faults.length === 0 ? exitCodes.ExitCode.done : exitCodes.ExitCode.usage
}

function toFaults (value: unknown): contracts.DocumentFault[] {
  const checked = contracts.checkDocument(value)
  return checked.kind === 'valid' ? [] : checked.faults
}

type ReadResult = { kind: 'read', value: unknown } | { kind: 'unreadable', detail: string }

function readJsonFile (file: string): ReadResult {
  try {
    return { kind: 'read', value: JSON.parse(fs.readFileSync(file, 'utf8')) }
  } catch (err) {
    return { kind: 'unreadable', detail: `${file} could not be read as JSON: ${err instanceof Error ? err.message : String(err)}` }
  }
}

/**
 * `config get`: prints the document in force.
 * @param json print version and document as one JSON object; otherwise the version goes to standard error
 */
export async function get (target: operatorClient.OperatorTarget, json: boolean): Promise<exitCodes.ExitCode> {
  const reply = await operatorClient.callOperatorApi<{ version: number, document: unknown }>(target, 'GET', '/v1/config')
  if (reply.kind !== 'ok') return output.printFailure(reply, json)
  if (json) output.print(JSON.stringify(reply.body))
  else {
    output.printDiagnostic(`version ${reply.body.version}`)
    output.print(JSON.stringify(reply.body.document, null, 2))
  }
  return exitCodes.ExitCode.done
}

/**
 * `config put`: submits a document together with the version that it is based on.
 * @returns `failed` if the document was accepted but is not in force on every instance when waiting times out
 */
export async function put (opts: PutOptions): Promise<exitCodes.ExitCode> {
  const read = readJsonFile(opts.file)
  const faults = read.kind === 'read' ? toFaults(read.value) : [{ path: '(file)', message: read.detail }]
  if (read.kind !== 'read' || faults.length > 0) return validate(opts.file, opts.json)
  if (opts.base === undefined || !Number.isInteger(opts.base)) {
    output.printDiagnostic('--base is missing or not an integer. Pass the version that the document is based on (shown by "config get").')
    return exitCodes.ExitCode.usage
  }
  const operation = opts.operation ?? crypto.randomUUID()
  const reply = await operatorClient.callOperatorApi<{ version: number }>(opts.target, 'PUT', `/v1/config?base=${opts.base}&operation=${encodeURIComponent(operation)}`, read.value)
  if (reply.kind === 'unreachable') output.printDiagnostic(`No answer was received; the document may have been accepted. Retry with --operation ${operation}: it is applied at most once.`)
  if (reply.kind !== 'ok') return output.printFailure(reply, opts.json)
  const { version } = reply.body
  const behind = opts.isWaiting ? await waitUntilInForce(opts.target, version) : undefined
  if (opts.json) output.print(JSON.stringify({ version, operation, behind }))
  else output.print(`Version ${version} is accepted${behind === undefined ? '' : behind.length === 0 ? ' and in force on every instance' : `; not in force yet on ${behind.join(', ')}`}.`)
  return behind !== undefined && behind.length > 0 ? exitCodes.ExitCode.failed : exitCodes.ExitCode.done
}

/** Returns the instances on which the version is not in force after {@link WAIT_TIMEOUT_MS}. */
async function waitUntilInForce (target: operatorClient.OperatorTarget, version: number): Promise<string[]> {
  const deadline = Date.now() + WAIT_TIMEOUT_MS
  while (true) {
    const reply = await operatorClient.callOperatorApi<contracts.FleetStatus>(target, 'GET', '/v1/status')
    const behind = reply.kind === 'ok' ? reply.body.instances.filter(item => item.documentVersion < version).map(item => item.id) : ['(status unknown)']
    if (behind.length === 0 || Date.now() > deadline) return behind
    await new Promise(resolve => setTimeout(resolve, WAIT_POLL_INTERVAL_MS))
  }
}

/** `config history`: lists the accepted versions. */
export async function history (target: operatorClient.OperatorTarget, json: boolean): Promise<exitCodes.ExitCode> {
  const reply = await operatorClient.callOperatorApi<{ items: contracts.HistoryItem[] }>(target, 'GET', '/v1/config/history')
  if (reply.kind !== 'ok') return output.printFailure(reply, json)
  if (json) output.print(JSON.stringify(reply.body))
  else for (const item of reply.body.items) output.print(`${item.version}  ${new Date(item.atMs).toISOString()}  ${item.operator}  ${item.changes} change(s)  ${item.operation}`)
  return exitCodes.ExitCode.done
}
