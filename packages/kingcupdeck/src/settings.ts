/** Settings from flags and environment variables, validated by schema; all faults are reported at once. */
import * as z from 'zod'
import * as routing from '@kingcupdeck/routing'

const IP_PORT = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/
const instanceName = z.string().regex(/^[a-z0-9][a-z0-9-]{0,40}$/)
const ipPort = z.string().regex(IP_PORT)
const booleanText = z.enum(['true', 'false']).transform(value => value === 'true')
const wholeNumber = z.string().regex(/^\d+$/).transform(Number)

/** Comma-separated list of control instances, each `id=ip:port`. */
const controlList = z.string().transform((text, ctx) => {
  const list = text.split(',').map(item => {
    const [id, address] = item.trim().split('=')
    return { id, address }
  })
  const isValid = list.every(item => instanceName.safeParse(item.id).success && ipPort.safeParse(item.address).success)
  if (!isValid) ctx.addIssue({ code: 'custom', message: 'list' })
  return list
})

/** A setting: its schema and the texts for help and error messages. */
export interface Setting<S extends z.ZodType = z.ZodType> {
  schema: S
  /** Human-readable description of the allowed values. */
  allowed: string
  description: string
  /** Default when neither flag nor environment variable is set; a setting without one is required. */
  fallback?: string
  /** Whether the value is hidden in error messages. */
  isSecret?: boolean
}

const setting = <S extends z.ZodType>(schema: S, allowed: string, description: string, extra: { fallback?: string, isSecret?: boolean } = {}): Setting<S> => ({ schema, allowed, description, ...extra })

const common = {
  id: setting(instanceName, 'lower-case letters, digits and dashes, at most 41', 'Name of this instance, unique in the fleet'),
  listen: setting(ipPort, 'ip:port, numeric; port 0 selects a free port', 'Listen address for callers and operators'),
  'peer-listen': setting(ipPort, 'ip:port, numeric; port 0 selects a free port', 'Listen address for other instances'),
  control: setting(controlList, 'id=ip:port for each control instance, separated by commas', 'Addresses of all control instances'),
  'fleet-secret': setting(z.string().min(16).max(200), '16 to 200 characters', 'Shared secret of all instances of the fleet', { isSecret: true }),
  'ledger-groups': setting(wholeNumber.pipe(z.number().min(1).max(64)), 'an integer from 1 to 64, the same on all instances', 'Number of replica groups that the ledger is sharded across', { fallback: '1' }),
  'log-json': setting(booleanText, 'true or false', 'Log one JSON object per line', { fallback: 'false' }),
  'log-level': setting(z.enum(['error', 'warn', 'info', 'silent']), 'error, warn, info or silent', 'Minimum severity of logged events', { fallback: 'info' }),
  'fatal-invariants': setting(booleanText, 'true or false', 'End the process when an invariant is violated (for tests)', { fallback: 'false' })
}

/** Settings of a router instance. */
export const routerSettings = {
  ...common,
  zone: setting(z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/), 'the id of a zone in the configuration document', 'Availability zone of this instance'),
  'advertise-url': setting(z.string().regex(/^https?:\/\/\S+$|^$/), 'a base URL, or empty', 'Base URL advertised to callers; derived from --listen when empty', { fallback: '' }),
  'advertise-peer': setting(z.union([ipPort, z.literal('')]), 'ip:port, or empty', 'Address advertised to peers; derived from --peer-listen when empty', { fallback: '' }),
  'max-body-bytes': setting(wholeNumber.pipe(z.number().min(1024).max(15_000_000)), 'an integer from 1024 to 15000000', 'Maximum size of a request body in bytes', { fallback: '4194304' }),
  policy: setting(z.enum(routing.PLACEMENT_POLICIES), routing.PLACEMENT_POLICIES.join(', '), 'Placement policy; all except "owner" are benchmark baselines', { fallback: 'owner' }),
  'kv-import': setting(booleanText, 'true or false', 'Import the KV cache of a chat that runs on another engine than before', { fallback: 'true' })
}

/** Settings of a control instance. */
export const controlSettings = {
  ...common,
  'data-folder': setting(z.string().min(1), 'a folder', 'Folder for the replicated state'),
  bootstrap: setting(booleanText, 'true or false', 'Whether all control instances start for the first time, with empty folders', { fallback: 'false' }),
  document: setting(z.string(), 'a file, or empty', 'Initial configuration document, used while the fleet has none', { fallback: '' }),
  'snapshot-every': setting(wholeNumber.pipe(z.number().min(10)), 'an integer, 10 or more', 'Number of applied log entries between snapshots', { fallback: '500' })
}

/** Settings of the operators' commands. */
export const operatorSettings = {
  address: setting(z.string().regex(/^https?:\/\/\S+$/), 'a base URL', 'Base URL of a control instance', { fallback: 'http://127.0.0.1:7000' }),
  token: setting(z.string().min(1), 'an operator\'s token', 'Token that authenticates the call', { isSecret: true })
}

/** Parsed values of validated settings. */
export type Values<T extends Record<string, Setting>> = { [K in keyof T]: z.output<T[K]['schema']> }

/** Result of {@link checkSettings}. */
export type CheckedSettings<T extends Record<string, Setting>> = { kind: 'valid', values: Values<T> } | { kind: 'invalid', faults: string[] }

/**
 * Returns the name of a setting's environment variable.
 * @param key the name of the setting, as in its flag
 */
export function toVariable (key: string): string {
  return `KINGCUPDECK_${key.toUpperCase().replaceAll('-', '_')}`
}

/**
 * Validates settings. A flag takes precedence over its environment variable.
 * @returns the parsed values, or one message per fault with flag, value, allowed values and remedy
 */
export function checkSettings<T extends Record<string, Setting>> (settings: T, flags: Record<string, string | undefined>, env: NodeJS.ProcessEnv): CheckedSettings<T> {
  const values: Record<string, unknown> = {}
  const faults: string[] = []
  for (const [key, spec] of Object.entries(settings)) {
    const raw = flags[key] ?? env[toVariable(key)] ?? spec.fallback
    if (raw === undefined) {
      faults.push(`--${key} is missing. Allowed: ${spec.allowed}. Pass the flag or set ${toVariable(key)}.`)
      continue
    }
    const parsed = spec.schema.safeParse(raw)
    if (parsed.success) values[key] = parsed.data
    else faults.push(`--${key} is ${spec.isSecret === true ? 'a value (not shown)' : `"${raw}"`}, which is invalid. Allowed: ${spec.allowed}. Correct the flag or ${toVariable(key)}.`)
  }
  return faults.length === 0 ? { kind: 'valid', values: values as Values<T> } : { kind: 'invalid', faults }
}
