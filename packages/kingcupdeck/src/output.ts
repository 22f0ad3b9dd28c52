/** Output of the commands: results to standard output, diagnostics to standard error. */
import * as exitCodes from './exitCodes.js'
import type * as operatorClient from './operatorClient.js'

/** Prints a result to standard output. */
export function print (line: string): void {
  process.stdout.write(line + '\n')
}

/** Prints a diagnostic message to standard error. */
export function printDiagnostic (line: string): void {
  process.stderr.write(line + '\n')
}

/** Prints the error of a failed API call and returns the matching exit code. */
export function printFailure (reply: Exclude<operatorClient.OperatorReply<unknown>, { kind: 'ok' }>, json: boolean): exitCodes.ExitCode {
  if (reply.kind === 'unreachable') {
    if (json) print(JSON.stringify({ error: { type: 'unreachable', message: reply.detail } }))
    else printDiagnostic(`No answer: ${reply.detail}. Check --address and that a quorum of control instances is running.`)
    return exitCodes.ExitCode.unreachable
  }
  if (json) print(JSON.stringify(reply.body))
  else printDiagnostic(reply.error.message)
  if (reply.error.type === 'conflict') return exitCodes.ExitCode.conflict
  if (reply.error.type === 'invalid_document' || reply.error.type === 'bad_request') return exitCodes.ExitCode.usage
  return reply.status === 503 ? exitCodes.ExitCode.unreachable : exitCodes.ExitCode.failed
}
