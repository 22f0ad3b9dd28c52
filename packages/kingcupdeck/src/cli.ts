/** Command line interface: commands, flags and help texts. */
import * as cmd from 'cmd-ts'
import * as configCommands from './configCommands.js'
import * as daemons from './daemons.js'
import * as exitCodes from './exitCodes.js'
import * as fleetCommands from './fleetCommands.js'
import * as output from './output.js'
import * as settings from './settings.js'

const json = cmd.flag({ long: 'json', description: 'Print JSON' })

const ROUTER_URL_DESCRIPTION = 'Base URL of a router instance'

/** Builds one command-line option per setting. */
function toFlags (list: Record<string, settings.Setting>, addressDescription?: string) {
  return Object.fromEntries(Object.entries(list).map(([key, spec]) => [key, cmd.option({
    type: cmd.optional(cmd.string),
    long: key,
    description: `${key === 'address' ? addressDescription ?? spec.description : spec.description}. Allowed: ${spec.allowed}. Or ${settings.toVariable(key)}${spec.fallback === undefined ? '' : `; default "${spec.fallback}"`}`
  })]))
}

/** Calls `run` with validated settings, or prints every fault and sets the exit code `usage`. */
async function withSettings<T extends Record<string, settings.Setting>> (list: T, flags: Record<string, unknown>, run: (values: settings.Values<T>) => Promise<exitCodes.ExitCode | undefined>): Promise<void> {
  const checked = settings.checkSettings(list, flags as Record<string, string | undefined>, process.env)
  if (checked.kind === 'invalid') {
    for (const fault of checked.faults) output.printDiagnostic(fault)
    process.exitCode = exitCodes.ExitCode.usage
    return
  }
  const code = await run(checked.values)
  if (code !== undefined) process.exitCode = code
}

const operatorFlags = toFlags(settings.operatorSettings)
const routerFlags = toFlags(settings.operatorSettings, ROUTER_URL_DESCRIPTION)

const router = cmd.command({
  name: 'router',
  description: 'Runs a router instance until SIGTERM, then drains its requests before it exits',
  args: toFlags(settings.routerSettings),
  handler: async flags => { await withSettings(settings.routerSettings, flags, async values => { await daemons.runRouter(values); return undefined }) }
})

const control = cmd.command({
  name: 'control',
  description: 'Runs a control instance until SIGTERM',
  args: toFlags(settings.controlSettings),
  handler: async flags => { await withSettings(settings.controlSettings, flags, async values => { await daemons.runControl(values); return undefined }) }
})

const validate = cmd.command({
  name: 'validate',
  description: 'Validates a configuration document locally; prints every fault with its field path',
  args: { file: cmd.positional({ type: cmd.string, displayName: 'file' }), json },
  handler: args => { process.exitCode = configCommands.validate(args.file, args.json) }
})

const get = cmd.command({
  name: 'get',
  description: 'Prints the configuration document in force; its version goes to standard error',
  args: { ...operatorFlags, json },
  handler: async args => { await withSettings(settings.operatorSettings, args, async target => await configCommands.get(target, args.json)) }
})

const put = cmd.command({
  name: 'put',
  description: 'Submits a configuration document. Exits with 3 if the document has changed since the base version, with 2 if it is invalid',
  args: {
    ...operatorFlags,
    file: cmd.positional({ type: cmd.string, displayName: 'file' }),
    base: cmd.option({ long: 'base', type: cmd.optional(cmd.number), description: 'Version that the document is based on' }),
    operation: cmd.option({ long: 'operation', type: cmd.optional(cmd.string), description: 'Id of this operation; reuse it to retry safely after a lost answer' }),
    wait: cmd.flag({ long: 'wait', description: 'Wait until the document is in force on every instance' }),
    json
  },
  handler: async args => {
    await withSettings(settings.operatorSettings, args, async target => await configCommands.put({ target, file: args.file, base: args.base, operation: args.operation, isWaiting: args.wait, json: args.json }))
  }
})

const history = cmd.command({
  name: 'history',
  description: 'Lists the accepted versions of the configuration document, oldest first',
  args: { ...operatorFlags, json },
  handler: async args => { await withSettings(settings.operatorSettings, args, async target => await configCommands.history(target, args.json)) }
})

const status = cmd.command({
  name: 'status',
  description: 'Shows instances, leases, pools and replicas',
  args: { ...operatorFlags, json },
  handler: async args => { await withSettings(settings.operatorSettings, args, async target => await fleetCommands.status(target, args.json)) }
})

const explain = cmd.command({
  name: 'explain',
  description: 'Shows the routing decisions for a request and their reasons; the request id is in the response header x-request-id',
  args: { ...routerFlags, request: cmd.positional({ type: cmd.string, displayName: 'request id' }), json },
  handler: async args => { await withSettings(settings.operatorSettings, args, async target => await fleetCommands.explain(target, args.request, args.json)) }
})

const explainLogs = cmd.command({
  name: 'explain-logs',
  description: 'Finds the cause of a failed request in the log files of entry and control instances',
  args: {
    request: cmd.positional({ type: cmd.string, displayName: 'request id' }),
    files: cmd.restPositionals({ type: cmd.string, displayName: 'log files' }),
    json
  },
  handler: args => { process.exitCode = fleetCommands.explainLogs(args.request, args.files, args.json) }
})

const addresses = cmd.command({
  name: 'addresses',
  description: 'Lists the instances that a caller should use, best first; requires the token of a client account',
  args: {
    ...routerFlags,
    zone: cmd.option({ long: 'zone', type: cmd.optional(cmd.string), description: 'Availability zone of the caller' }),
    model: cmd.option({ long: 'model', type: cmd.optional(cmd.string), description: 'Model that the chat uses' }),
    chat: cmd.option({ long: 'chat', type: cmd.optional(cmd.string), description: 'Chat id: lists the owner of its engine first' }),
    json
  },
  handler: async args => {
    await withSettings(settings.operatorSettings, args, async target => await fleetCommands.addresses(target, { zone: args.zone, model: args.model, chat: args.chat }, args.json))
  }
})

/** All commands of the program. */
export const cli = cmd.subcommands({
  name: 'kingcupdeck',
  version: '0.1.0',
  description: 'Router fleet for LLM chats with cache affinity. Exit codes: 0 done, 1 failed, 2 invalid settings or document, 3 conflict, 4 unreachable.',
  cmds: {
    router,
    control,
    config: cmd.subcommands({ name: 'config', description: 'Works with the configuration document', cmds: { validate, get, put, history } }),
    status,
    explain,
    'explain-logs': explainLogs,
    addresses
  }
})

/**
 * Runs the command line.
 * @param args the arguments after the program name
 */
export async function runCli (args: string[]): Promise<void> {
  await cmd.run(cli, args)
}
