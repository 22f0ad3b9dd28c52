/** Commands `status`, `explain`, `explain-logs` and `addresses`. */
import * as fs from 'node:fs'
import * as contracts from '@kingcupdeck/contracts'
import * as exitCodes from './exitCodes.js'
import * as logExplanation from './logExplanation.js'
import * as operatorClient from './operatorClient.js'
import * as output from './output.js'

/** `status`: prints the fleet status reported by the control leader. */
export async function status (target: operatorClient.OperatorTarget, json: boolean): Promise<exitCodes.ExitCode> {
  const reply = await operatorClient.callOperatorApi<contracts.FleetStatus>(target, 'GET', '/v1/status')
  if (reply.kind !== 'ok') return output.printFailure(reply, json)
  const fleet = reply.body
  if (json) {
    output.print(JSON.stringify(fleet))
    return exitCodes.ExitCode.done
  }
  output.print(`leader ${fleet.leader}, term ${fleet.term}, document version ${fleet.documentVersion}, view ${fleet.view}`)
  for (const item of fleet.instances) output.print(`instance ${item.id}  zone ${item.zone}  ${item.url}  document ${item.documentVersion}  view ${item.viewSeen}  lease ${item.leaseMsLeft} ms${item.leaving ? '  leaving' : ''}`)
  for (const pool of fleet.pools) output.print(`pool ${pool.pool}  ${pool.endpoints} endpoints  ${pool.load} in flight  mean ${pool.endpoints === 0 ? '-' : (pool.load / pool.endpoints).toFixed(2)}`)
  for (const replica of fleet.replicas) output.print(`group ${replica.group}  ${replica.name} is ${replica.role}  term ${replica.term}  committed ${replica.commit}  voters ${replica.voters.map(toName).join(', ')}${replica.learners.length > 0 ? `  learners ${replica.learners.map(toName).join(', ')}` : ''}`)
  return exitCodes.ExitCode.done
}

function toName (member: string): string {
  return member.split('#')[0]
}

/**
 * `explain`: prints the routing decisions for a request and their reasons.
 * @param target any router instance
 * @param request the request id, from the response header x-request-id
 */
export async function explain (target: operatorClient.OperatorTarget, request: string, json: boolean): Promise<exitCodes.ExitCode> {
  const reply = await operatorClient.callOperatorApi<{ steps: Array<{ atMs: number, step: string, why: string }> }>(target, 'GET', `/v1/explain/${encodeURIComponent(request)}`)
  if (reply.kind !== 'ok') return output.printFailure(reply, json)
  if (json) output.print(JSON.stringify(reply.body))
  else for (const item of reply.body.steps) output.print(`${item.atMs.toFixed(1).padStart(9)} ms  ${item.step.padEnd(12)} ${item.why}`)
  return exitCodes.ExitCode.done
}

/**
 * `explain-logs`: prints why a request failed, from log files alone.
 * @param files log files of entry and control instances
 * @returns `failed` if no line mentions the request, `usage` if a file cannot be read
 */
export function explainLogs (request: string, files: readonly string[], json: boolean): exitCodes.ExitCode {
  let lines: logExplanation.LogLine[]
  try {
    lines = files.flatMap(file => logExplanation.parseLogLines(fs.readFileSync(file, 'utf8')))
  } catch (err) {
    output.printDiagnostic(`${err instanceof Error ? err.message : String(err)}: pass log files that can be read`)
    return exitCodes.ExitCode.usage
  }
  const found = logExplanation.explainRequest(lines, request)
  if (json) output.print(JSON.stringify(found))
  else {
    output.print(found.cause)
    for (const item of [...found.around, ...found.own].sort((a, b) => Date.parse(a.at) - Date.parse(b.at))) output.print(JSON.stringify(item))
  }
  return found.own.length === 0 ? exitCodes.ExitCode.failed : exitCodes.ExitCode.done
}

/**
 * `addresses`: lists the instances that a caller should use, best first.
 * @param target any router instance, with the token of a client account
 * @param query `zone`, `model` and `chat`; undefined ones are left out
 */
export async function addresses (target: operatorClient.OperatorTarget, query: Record<string, string | undefined>, json: boolean): Promise<exitCodes.ExitCode> {
  const params = new URLSearchParams()
  for (const [key, value] of Object.entries(query)) if (value !== undefined) params.set(key, value)
  const reply = await operatorClient.callOperatorApi<contracts.AddressList>(target, 'GET', `/v1/addresses?${params.toString()}`)
  if (reply.kind !== 'ok') return output.printFailure(reply, json)
  if (json) output.print(JSON.stringify(reply.body))
  else {
    for (const item of reply.body.addresses) output.print(`${item.url}  ${item.instance}  zone ${item.zone}`)
    output.printDiagnostic(`valid for ${reply.body.maxAgeSeconds} s`)
  }
  return exitCodes.ExitCode.done
}
