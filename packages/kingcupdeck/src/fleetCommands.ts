/** `kingcupdeck status`, `explain` and `addresses`. */
import * as fs from 'node:fs'
import * as contracts from '@kingcupdeck/contracts'
import * as exitCodes from './exitCodes.js'
import * as logExplanation from './logExplanation.js'
import * as operatorClient from './operatorClient.js'
import * as output from './output.js'

/**
 * `status`: the fleet as the control leader knows it.
 * @param target a control instance
 * @param json print JSON
 * @returns the exit code
 */
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
 * `explain`: what was decided for a request, and why.
 * @param target any router instance
 * @param request the request id, from the header x-request-id
 * @param json print JSON
 * @returns the exit code
 */
export async function explain (target: operatorClient.OperatorTarget, request: string, json: boolean): Promise<exitCodes.ExitCode> {
  const reply = await operatorClient.callOperatorApi<{ steps: Array<{ atMs: number, step: string, why: string }> }>(target, 'GET', `/v1/explain/${encodeURIComponent(request)}`)
  if (reply.kind !== 'ok') return output.printFailure(reply, json)
  if (json) output.print(JSON.stringify(reply.body))
  else for (const item of reply.body.steps) output.print(`${item.atMs.toFixed(1).padStart(9)} ms  ${item.step.padEnd(12)} ${item.why}`)
  return exitCodes.ExitCode.done
}

/**
 * `explain-logs`: why a request failed, from log files alone.
 * @param request the request's id
 * @param files logs of entry and control instances
 * @param json print JSON
 * @returns the exit code
 */
export function explainLogs (request: string, files: readonly string[], json: boolean): exitCodes.ExitCode {
  let lines: logExplanation.LogLine[]
  try {
    lines = files.flatMap(file => logExplanation.parseLogLines(fs.readFileSync(file, 'utf8')))
  } catch (err) {
    output.printDiagnostic(`${err instanceof Error ? err.message : String(err)}: name readable log files`)
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
 * `addresses`: which instances a caller should use.
 * @param target any router instance, with a client account's token
 * @param query zone, model and chat, where given
 * @param json print JSON
 * @returns the exit code
 */
export async function addresses (target: operatorClient.OperatorTarget, query: Record<string, string | undefined>, json: boolean): Promise<exitCodes.ExitCode> {
  const params = new URLSearchParams()
  for (const [key, value] of Object.entries(query)) if (value !== undefined) params.set(key, value)
  const reply = await operatorClient.callOperatorApi<contracts.AddressList>(target, 'GET', `/v1/addresses?${params.toString()}`)
  if (reply.kind !== 'ok') return output.printFailure(reply, json)
  if (json) output.print(JSON.stringify(reply.body))
  else {
    for (const item of reply.body.addresses) output.print(`${item.url}  ${item.instance}  zone ${item.zone}`)
    output.printDiagnostic(`keep for ${reply.body.maxAgeSeconds} s`)
  }
  return exitCodes.ExitCode.done
}
