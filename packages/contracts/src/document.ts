/** Schema of the configuration document. Its parts are records keyed by id, so that changes are sent as deltas (documentDelta.ts). */
import * as z from 'zod'

const id = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'must be 1 to 63 lower-case letters, digits, dots, dashes or underscores')
const tokenDigest = z.string().regex(/^[0-9a-f]{64}$/, 'must be the SHA-256 of the token: 64 hexadecimal digits')
const clock = z.string().regex(/^([01]\d|2[0-3]):[0-5]\d$/, 'must be a time of day from 00:00 to 23:59')

/** An availability zone. */
export const zone = z.strictObject({ title: z.string().max(200).default('') })

/** A priority: requests of a lower rank are served first; within a rank, client accounts share by weight. */
export const priority = z.strictObject({ rank: z.int().min(0).max(9), title: z.string().max(200).default('') })

/** A service whose endpoints are model engines. */
export const modelService = z.strictObject({
  kind: z.literal('model'),
  title: z.string().max(200).default(''),
  /** Maximum load of an engine as a multiple of the mean load of the service's engines. */
  loadFactor: z.number().min(1.01).max(10).default(1.25),
  /** Whether the engines reject orders with an outdated fencing number. */
  checksFencing: z.boolean().default(false),
  endpointTokens: z.array(tokenDigest).min(1)
})

/** A call of a plain service. */
export const plainCall = z.strictObject({
  idempotent: z.boolean(),
  priority: id.optional(),
  /** After this long without a response the connection is considered unresponsive. */
  timeoutSeconds: z.number().positive().max(600).default(5)
})

/** A service of plain HTTP calls, some of which are not idempotent. */
export const plainService = z.strictObject({
  kind: z.literal('plain'),
  title: z.string().max(200).default(''),
  loadFactor: z.number().min(1.01).max(10).default(2),
  calls: z.record(id, plainCall),
  endpointTokens: z.array(tokenDigest).min(1)
})

/** A service. */
export const service = z.discriminatedUnion('kind', [modelService, plainService])

/** A model that callers may request: its service, base model, adapter and version. */
export const model = z.strictObject({
  service: id,
  base: z.string().min(1).max(200),
  adapter: z.string().max(200).default(''),
  version: z.string().min(1).max(100)
})

/** The models that an engine should serve. Engine `*` applies to all engines of the service without their own assignment. */
export const modelAssignment = z.strictObject({ service: id, engine: z.string().min(1).max(200), models: z.array(id) })

/** A client account: a team or application that calls the fleet. */
export const clientAccount = z.strictObject({
  title: z.string().max(200).default(''),
  tokens: z.array(tokenDigest).min(1),
  /** Rate limit across the fleet. */
  requestsPerSecond: z.number().positive().max(1e6),
  /** Burst size of the rate limit, in requests. */
  burst: z.number().min(1).max(1e6).default(20),
  /** Share of an endpoint's queue relative to the other client accounts. */
  weight: z.number().positive().max(1000).default(1),
  priority: id,
  services: z.array(id).min(1)
})

/** The maximum queueing time of a priority between two times of day. */
export const patienceWindow = z.strictObject({
  priority: id,
  from: clock,
  to: clock,
  waitSeconds: z.number().positive().max(86400)
})

/** An operator who may change the configuration document. */
export const operator = z.strictObject({ tokens: z.array(tokenDigest).min(1) })

/** Retention of the outcomes of non-idempotent requests. */
export const ledgerSettings = z.strictObject({
  retentionHours: z.number().positive().max(24 * 30).default(24),
  maxAnswerBytes: z.int().min(0).max(1024 * 1024).default(16 * 1024)
})

const documentShape = z.strictObject({
  format: z.literal(1),
  deployment: id,
  timeZone: z.string().default('UTC'),
  zones: z.record(id, zone),
  priorities: z.record(id, priority),
  services: z.record(id, service),
  models: z.record(id, model),
  carriages: z.record(id, modelAssignment),
  clientAccounts: z.record(id, clientAccount),
  patience: z.record(id, patienceWindow),
  operators: z.record(id, operator),
  ledger: ledgerSettings.prefault({})
})

/** The configuration document, including checks of its references. */
export const document = documentShape.superRefine(checkReferences)

/** The validated configuration document with defaults filled in. */
export type Document = z.infer<typeof document>
/** A service. */
export type Service = z.infer<typeof service>
/** A model that callers may request. */
export type Model = z.infer<typeof model>
/** A client account. */
export type ClientAccount = z.infer<typeof clientAccount>
/** The maximum queueing time of a priority between two times of day. */
export type PatienceWindow = z.infer<typeof patienceWindow>

/** A fault of a configuration document, with the path of the field. */
export interface DocumentFault { path: string, message: string }

/** The result of {@link checkDocument}. */
export type DocumentCheckResult = { kind: 'valid', document: Document } | { kind: 'invalid', faults: DocumentFault[] }

/**
 * Validates a configuration document and reports all faults.
 * @returns the document with defaults filled in, or all faults
 * @example
 * const checked = checkDocument(JSON.parse(text))
 * if (checked.kind === 'invalid') console.error(checked.faults)
 */
export function checkDocument (input: unknown): DocumentCheckResult {
  const res = document.safeParse(input)
  if (res.success) return { kind: 'valid', document: res.data }
  return { kind: 'invalid', faults: res.error.issues.map(toFault) }
}

function toFault (issue: z.core.$ZodIssue): DocumentFault {
  return { path: issue.path.map(String).join('.') || '(document)', message: issue.message }
}

function checkReferences (doc: z.infer<typeof documentShape>, ctx: z.RefinementCtx): void {
  const addFault = (path: PropertyKey[], message: string) => ctx.addIssue({ code: 'custom', path, message })
  const checkReference = (part: 'services' | 'priorities' | 'models', ref: string, path: PropertyKey[]) => {
    if (!(ref in doc[part])) addFault(path, `references "${ref}", which is not defined in ${part}: define it there or use one of ${Object.keys(doc[part]).join(', ') || '(none defined)'}`)
  }
  for (const [key, item] of Object.entries(doc.models)) checkReference('services', item.service, ['models', key, 'service'])
  for (const [key, item] of Object.entries(doc.carriages)) {
    checkReference('services', item.service, ['carriages', key, 'service'])
    item.models.forEach((ref, i) => checkReference('models', ref, ['carriages', key, 'models', i]))
  }
  for (const [key, item] of Object.entries(doc.clientAccounts)) {
    checkReference('priorities', item.priority, ['clientAccounts', key, 'priority'])
    item.services.forEach((ref, i) => checkReference('services', ref, ['clientAccounts', key, 'services', i]))
  }
  for (const [key, item] of Object.entries(doc.patience)) checkReference('priorities', item.priority, ['patience', key, 'priority'])
  for (const [key, item] of Object.entries(doc.services)) {
    if (item.kind === 'model') continue
    for (const [call, spec] of Object.entries(item.calls)) {
      if (spec.priority !== undefined) checkReference('priorities', spec.priority, ['services', key, 'calls', call, 'priority'])
    }
  }
  checkUniqueTokens(doc, addFault)
  if (Object.keys(doc.operators).length === 0) addFault(['operators'], 'is empty: define at least one operator, otherwise the document could no longer be changed')
  try {
    Intl.DateTimeFormat('en', { timeZone: doc.timeZone })
  } catch {
    addFault(['timeZone'], `"${doc.timeZone}" is not a known time zone: use an IANA name such as Asia/Bangkok`)
  }
}

function checkUniqueTokens (doc: z.infer<typeof documentShape>, addFault: (path: PropertyKey[], message: string) => void): void {
  const seen = new Map<string, string>()
  for (const [key, account] of Object.entries(doc.clientAccounts)) {
    account.tokens.forEach((digest, i) => {
      const other = seen.get(digest)
      if (other !== undefined && other !== key) addFault(['clientAccounts', key, 'tokens', i], `is also a token of client account "${other}": use a separate token for each account`)
      seen.set(digest, key)
    })
  }
}
