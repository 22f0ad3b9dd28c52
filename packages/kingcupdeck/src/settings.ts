/** Settings: each is a flag and an environment variable, checked by one schema, all faults reported at once. */
import * as z from 'zod'
import * as routing from '@kingcupdeck/routing'

const IP_PORT = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/
const instanceName = z.string().regex(/^[a-z0-9][a-z0-9-]{0,40}$/)
const ipPort = z.string().regex(IP_PORT)
const booleanText = z.enum(['true', 'false']).transform(value => value === 'true')
const wholeNumber = z.string().regex(/^\d+$/).transform(Number)

/** The `id=ip:port` list that names the control instances. */
const controlList = z.string().transform((text, ctx) => {
  const list = text.split(',').map(item => {
    const [id, address] = item.trim().split('=')
    return { id, address }
  })
  const isValid = list.every(item => instanceName.safeParse(item.id).success && ipPort.safeParse(item.address).success)
  if (!isValid) ctx.addIssue({ code: 'custom', message: 'list' })
  return list
})

/** One setting. */
export interface Setting<S extends z.ZodType = z.ZodType> {
  schema: S
  /** What is allowed, for people. */
  allowed: string
  description: string
  /** The value when neither flag nor variable is given; without one the setting is needed. */
  fallback?: string
  /** Never shown, neither in faults nor in logs. */
  isSecret?: boolean
}

const setting = <S extends z.ZodType>(schema: S, allowed: string, description: string, extra: { fallback?: string, isSecret?: boolean } = {}): Setting<S> => ({ schema, allowed, description, ...extra })

const common = {
  id: setting(instanceName, 'lower-case letters, digits and dashes, at most 41', 'Name of this instance, unique in the fleet'),
  listen: setting(ipPort, 'ip:port, by number; port 0 takes a free one', 'Where callers and operators connect'),
  'peer-listen': setting(ipPort, 'ip:port, by number; port 0 takes a free one', 'Where other instances connect'),
  control: setting(controlList, 'id=ip:port for each control instance, separated by commas', 'The control instances'),
  'fleet-secret': setting(z.string().min(16).max(200), '16 to 200 characters', 'Secret that every instance of the fleet must know', { isSecret: true }),
  'ledger-groups': setting(wholeNumber.pipe(z.number().min(1).max(64)), 'a whole number from 1 to 64, the same on all instances', 'Number of groups that the ledger is divided into', { fallback: '1' }),
  'log-json': setting(booleanText, 'true or false', 'Log one JSON object a line', { fallback: 'false' }),
  'log-level': setting(z.enum(['error', 'warn', 'info', 'silent']), 'error, warn, info or silent', 'Least grave events to log', { fallback: 'info' }),
  'fatal-invariants': setting(booleanText, 'true or false', 'End the process when an invariant is broken (for tests)', { fallback: 'false' })
}

/** Settings of a router instance. */
export const routerSettings = {
  ...common,
  zone: setting(z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/), 'an id of a zone in the document', 'Availability zone of this instance'),
  'advertise-url': setting(z.string().regex(/^https?:\/\/\S+$|^$/), 'a base URL, or nothing', 'Base URL that callers are told; from --listen when empty', { fallback: '' }),
  'advertise-peer': setting(z.union([ipPort, z.literal('')]), 'ip:port, or nothing', 'Address that peers are told; from --peer-listen when empty', { fallback: '' }),
  'max-body-bytes': setting(wholeNumber.pipe(z.number().min(1024).max(15_000_000)), 'a whole number from 1024 to 15000000', 'Largest request body, bytes', { fallback: '4194304' }),
  policy: setting(z.enum(routing.PLACEMENT_POLICIES), routing.PLACEMENT_POLICIES.join(', '), 'Placement policy; all but "owner" are baselines for measurements', { fallback: 'owner' }),
  'kv-import': setting(booleanText, 'true or false', 'Let a chat that runs away from its cache take it along', { fallback: 'true' })
}

/** Settings of a control instance. */
export const controlSettings = {
  ...common,
  'data-folder': setting(z.string().min(1), 'a folder', 'Where the replicated state lives'),
  document: setting(z.string(), 'a file, or nothing', 'Document to begin with while the fleet has none', { fallback: '' }),
  'snapshot-every': setting(wholeNumber.pipe(z.number().min(10)), 'a whole number from 10', 'Applied log entries between two snapshots', { fallback: '500' })
}

/** Settings of the operators' commands. */
export const operatorSettings = {
  address: setting(z.string().regex(/^https?:\/\/\S+$/), 'a base URL', 'Base URL of a control instance', { fallback: 'http://127.0.0.1:7000' }),
  token: setting(z.string().min(1), 'an operator\'s token', 'Your token', { isSecret: true })
}

/** Values of settings after the check. */
export type Values<T extends Record<string, Setting>> = { [K in keyof T]: z.output<T[K]['schema']> }

/** What checking settings gives. */
export type CheckedSettings<T extends Record<string, Setting>> = { kind: 'valid', values: Values<T> } | { kind: 'invalid', faults: string[] }

/**
 * The environment variable of a setting.
 * @param key the setting's name, as in the flag
 * @returns the variable's name
 */
export function toVariable (key: string): string {
  return `KINGCUPDECK_${key.toUpperCase().replaceAll('-', '_')}`
}

/**
 * Checks settings; a flag goes before its environment variable.
 * @param settings what is known
 * @param flags values given as flags
 * @param env environment variables
 * @returns the values, or every fault with flag, value, what is allowed and the remedy
 */
export function checkSettings<T extends Record<string, Setting>> (settings: T, flags: Record<string, string | undefined>, env: NodeJS.ProcessEnv): CheckedSettings<T> {
  const values: Record<string, unknown> = {}
  const faults: string[] = []
  for (const [key, spec] of Object.entries(settings)) {
    const raw = flags[key] ?? env[toVariable(key)] ?? spec.fallback
    if (raw === undefined) {
      faults.push(`--${key} is missing. Allowed: ${spec.allowed}. Give the flag or set ${toVariable(key)}.`)
      continue
    }
    const parsed = spec.schema.safeParse(raw)
    if (parsed.success) values[key] = parsed.data
    else faults.push(`--${key} is ${spec.isSecret === true ? 'a value (not shown)' : `"${raw}"`}, which is not allowed. Allowed: ${spec.allowed}. Correct the flag or ${toVariable(key)}.`)
  }
  return faults.length === 0 ? { kind: 'valid', values: values as Values<T> } : { kind: 'invalid', faults }
}
