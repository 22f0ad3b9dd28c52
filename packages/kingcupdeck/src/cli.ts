/** The command line: every command with its flags and its help. */
import * as cmd from 'cmd-ts'
import * as configCommands from './configCommands.js'
import * as daemons from './daemons.js'
import * as exitCodes from './exitCodes.js'
import * as fleetCommands from './fleetCommands.js'
import * as output from './output.js'
import * as settings from './settings.js'

const json = cmd.flag({ long: 'json', description: 'Print JSON' })

const ROUTER_URL_DESCRIPTION = 'Base URL of a router instance'

/** Makes a flag for each setting. */
function toFlags (list: Record<string, settings.Setting>, addressDescription?: string) {
  return Object.fromEntries(Object.entries(list).map(([key, spec]) => [key, cmd.option({
    type: cmd.optional(cmd.string),
    long: key,
    description: `${key === 'address' ? addressDescription ?? spec.description : spec.description}. Allowed: ${spec.allowed}. Or ${settings.toVariable(key)}${spec.fallback === undefined ? '' : `; default "${spec.fallback}"`}`
  })]))
}

/** Runs with checked settings, or prints every fault and ends with 2. */
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
  description: 'Runs a router instance until SIGTERM, then leaves without cutting a request',
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
  description: 'Checks a document without sending it; prints every fault with its field',
  args: { file: cmd.positional({ type: cmd.string, displayName: 'file' }), json },
  handler: args => { process.exitCode = configCommands.validate(args.file, args.json) }
})

const get = cmd.command({
  name: 'get',
  description: 'Prints the document in force; its version goes to standard error',
  args: { ...operatorFlags, json },
  handler: async args => { await withSettings(settings.operatorSettings, args, async target => await configCommands.get(target, args.json)) }
})

const put = cmd.command({
  name: 'put',
  description: 'Sends a document. Ends with 3 if someone else changed it meanwhile, with 2 if it has faults',
  args: {
    ...operatorFlags,
    file: cmd.positional({ type: cmd.string, displayName: 'file' }),
    base: cmd.option({ long: 'base', type: cmd.optional(cmd.number), description: 'Version that the document was made from' }),
    operation: cmd.option({ long: 'operation', type: cmd.optional(cmd.string), description: 'Id of this operation; give the same again after a lost answer' }),
    wait: cmd.flag({ long: 'wait', description: 'Wait until every instance has it in force' }),
    json
  },
  handler: async args => {
    await withSettings(settings.operatorSettings, args, async target => await configCommands.put({ target, file: args.file, base: args.base, operation: args.operation, isWaiting: args.wait, json: args.json }))
  }
})

const history = cmd.command({
  name: 'history',
  description: 'Lists accepted versions, oldest first',
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
  description: 'Shows what was decided for a request and why; the id stands in the header x-request-id of the answer',
  args: { ...routerFlags, request: cmd.positional({ type: cmd.string, displayName: 'request id' }), json },
  handler: async args => { await withSettings(settings.operatorSettings, args, async target => await fleetCommands.explain(target, args.request, args.json)) }
})

const explainLogs = cmd.command({
  name: 'explain-logs',
  description: 'Finds the cause of a failed request of the forwarding fleet in the logs of its instances',
  args: {
    request: cmd.positional({ type: cmd.string, displayName: 'request id' }),
    files: cmd.restPositionals({ type: cmd.string, displayName: 'log files' }),
    json
  },
  handler: args => { process.exitCode = fleetCommands.explainLogs(args.request, args.files, args.json) }
})

const addresses = cmd.command({
  name: 'addresses',
  description: 'Shows which instances a caller should use, best first; the token is a client account\'s',
  args: {
    ...routerFlags,
    zone: cmd.option({ long: 'zone', type: cmd.optional(cmd.string), description: 'Zone of the caller' }),
    model: cmd.option({ long: 'model', type: cmd.optional(cmd.string), description: 'Model that the chat uses' }),
    chat: cmd.option({ long: 'chat', type: cmd.optional(cmd.string), description: 'Chat id: the owner of its engine comes first' }),
    json
  },
  handler: async args => {
    await withSettings(settings.operatorSettings, args, async target => await fleetCommands.addresses(target, { zone: args.zone, model: args.model, chat: args.chat }, args.json))
  }
})

/** The whole command line. */
export const cli = cmd.subcommands({
  name: 'kingcupdeck',
  version: '0.1.0',
  description: 'A router fleet for very many returning chats. Exit codes: 0 done, 1 failed, 2 unusable settings or document, 3 conflict, 4 unreachable.',
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
 * @param args the arguments behind the program's name
 */
export async function runCli (args: string[]): Promise<void> {
  await cmd.run(cli, args)
}
