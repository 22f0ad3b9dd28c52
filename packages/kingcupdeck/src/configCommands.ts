/** `kingcupdeck config …`: the document from the command line. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as contracts from '@kingcupdeck/contracts'
import * as exitCodes from './exitCodes.js'
import * as operatorClient from './operatorClient.js'
import * as output from './output.js'

/** What putting a document takes. */
export interface PutOptions { target: operatorClient.OperatorTarget, file: string, base: number | undefined, operation: string | undefined, isWaiting: boolean, json: boolean }

const WAIT_TIMEOUT_MS = 10_000
const WAIT_POLL_INTERVAL_MS = 100

/**
 * `config validate`.
 * @param file the document
 * @param json print JSON
 * @returns the exit code
 */
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
    return { kind: 'unreadable', detail: `${file} cannot be read as JSON: ${err instanceof Error ? err.message : String(err)}` }
  }
}

/**
 * `config get`: prints the document in force.
 * @param target the control instance
 * @param json print the version as well, as one JSON object
 * @returns the exit code
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
 * `config put`: sends a document, based on the version that it was made from.
 * @param opts the document and its base
 * @returns the exit code
 */
export async function put (opts: PutOptions): Promise<exitCodes.ExitCode> {
  const read = readJsonFile(opts.file)
  const faults = read.kind === 'read' ? toFaults(read.value) : [{ path: '(file)', message: read.detail }]
  if (read.kind !== 'read' || faults.length > 0) return validate(opts.file, opts.json)
  if (opts.base === undefined || !Number.isInteger(opts.base)) {
    output.printDiagnostic('--base is missing or no whole number. Name the version that your document was made from ("config get" shows it).')
    return exitCodes.ExitCode.usage
  }
  const operation = opts.operation ?? crypto.randomUUID()
  const reply = await operatorClient.callOperatorApi<{ version: number }>(opts.target, 'PUT', `/v1/config?base=${opts.base}&operation=${encodeURIComponent(operation)}`, read.value)
  if (reply.kind === 'unreachable') output.printDiagnostic(`The answer was lost. Send again with --operation ${operation}: it will not be applied twice.`)
  if (reply.kind !== 'ok') return output.printFailure(reply, opts.json)
  const { version } = reply.body
  const behind = opts.isWaiting ? await waitUntilInForce(opts.target, version) : undefined
  if (opts.json) output.print(JSON.stringify({ version, operation, behind }))
  else output.print(`Version ${version} is accepted${behind === undefined ? '' : behind.length === 0 ? ' and in force on every instance' : `; not in force yet on ${behind.join(', ')}`}.`)
  return behind !== undefined && behind.length > 0 ? exitCodes.ExitCode.failed : exitCodes.ExitCode.done
}

/** @returns the instances that do not have the version after a while */
async function waitUntilInForce (target: operatorClient.OperatorTarget, version: number): Promise<string[]> {
  const deadline = Date.now() + WAIT_TIMEOUT_MS
  while (true) {
    const reply = await operatorClient.callOperatorApi<contracts.FleetStatus>(target, 'GET', '/v1/status')
    const behind = reply.kind === 'ok' ? reply.body.instances.filter(item => item.documentVersion < version).map(item => item.id) : ['(status unknown)']
    if (behind.length === 0 || Date.now() > deadline) return behind
    await new Promise(resolve => setTimeout(resolve, WAIT_POLL_INTERVAL_MS))
  }
}

/**
 * `config history`.
 * @param target the control instance
 * @param json print JSON
 * @returns the exit code
 */
export async function history (target: operatorClient.OperatorTarget, json: boolean): Promise<exitCodes.ExitCode> {
  const reply = await operatorClient.callOperatorApi<{ items: contracts.HistoryItem[] }>(target, 'GET', '/v1/config/history')
  if (reply.kind !== 'ok') return output.printFailure(reply, json)
  if (json) output.print(JSON.stringify(reply.body))
  else for (const item of reply.body.items) output.print(`${item.version}  ${new Date(item.atMs).toISOString()}  ${item.operator}  ${item.changes} change(s)  ${item.operation}`)
  return exitCodes.ExitCode.done
}
