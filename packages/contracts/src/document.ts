/**
 * The configuration document: the one thing that operators write and the fleet obeys. All parts are records keyed by id,
 * so that a change travels as the entries that differ (see documentDelta.ts).
 */
import * as z from 'zod'

const id = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'must be 1 to 63 lower-case letters, digits, dots, dashes or underscores')
const tokenDigest = z.string().regex(/^[0-9a-f]{64}$/, 'must be the SHA-256 of the token: 64 hexadecimal digits')
const clock = z.string().regex(/^([01]\d|2[0-3]):[0-5]\d$/, 'must be a time of day from 00:00 to 23:59')

/** An availability zone. */
export const zone = z.strictObject({ title: z.string().max(200).default('') })

/** A priority: requests of a lower rank go first; within a rank, client accounts share by weight. */
export const priority = z.strictObject({ rank: z.int().min(0).max(9), title: z.string().max(200).default('') })

/** A service made of model engines. */
export const modelService = z.strictObject({
  kind: z.literal('model'),
  title: z.string().max(200).default(''),
  /** No engine is given work beyond this multiple of the mean load across the service's engines. */
  loadFactor: z.number().min(1.01).max(10).default(1.25),
  /** Whether the engines refuse an order that carries an old fencing number. */
  checksFencing: z.boolean().default(false),
  endpointTokens: z.array(tokenDigest).min(1)
})

/** One call of a plain service. */
export const plainCall = z.strictObject({
  idempotent: z.boolean(),
  priority: id.optional(),
  /** After this long without an answer the connection counts as silent. */
  timeoutSeconds: z.number().positive().max(600).default(5)
})

/** A plain service: routed to as well; some of its calls may not be repeated. */
export const plainService = z.strictObject({
  kind: z.literal('plain'),
  title: z.string().max(200).default(''),
  loadFactor: z.number().min(1.01).max(10).default(2),
  calls: z.record(id, plainCall),
  endpointTokens: z.array(tokenDigest).min(1)
})

/** A service of either kind. */
export const service = z.discriminatedUnion('kind', [modelService, plainService])

/** A model that callers may name, the service whose engines run it and what it is made of. */
export const model = z.strictObject({
  service: id,
  base: z.string().min(1).max(200),
  adapter: z.string().max(200).default(''),
  version: z.string().min(1).max(100)
})

/** Which models an engine should carry; the entry `*` of a service is for engines without an entry of their own. */
export const modelAssignment = z.strictObject({ service: id, engine: z.string().min(1).max(200), models: z.array(id) })

/** A client account: an organisation's team or application that calls the fleet. */
export const clientAccount = z.strictObject({
  title: z.string().max(200).default(''),
  tokens: z.array(tokenDigest).min(1),
  /** Fleet-wide limit, requests a second. */
  requestsPerSecond: z.number().positive().max(1e6),
  /** How many requests beyond the rate may come at once. */
  burst: z.number().min(1).max(1e6).default(20),
  /** Share of an engine's queue relative to the other client accounts. */
  weight: z.number().positive().max(1000).default(1),
  priority: id,
  services: z.array(id).min(1)
})

/** How long requests of a priority may wait for an engine, between two times of day. */
export const patienceWindow = z.strictObject({
  priority: id,
  from: clock,
  to: clock,
  waitSeconds: z.number().positive().max(86400)
})

/** An operator who may change the document. */
export const operator = z.strictObject({ tokens: z.array(tokenDigest).min(1) })

/** How long outcomes of non-idempotent requests are kept. */
export const ledgerSettings = z.strictObject({
  retentionHours: z.number().positive().max(24 * 30).default(24),
  maxAnswerBytes: z.int().min(0).max(1024 * 1024).default(16 * 1024)
})

const shape = z.strictObject({
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

/** The document as operators write it: checked for shape and for references that lead nowhere. */
export const document = shape.superRefine(checkReferences)

/** The document as the fleet obeys it. */
export type Document = z.infer<typeof document>
/** A service. */
export type Service = z.infer<typeof service>
/** A model that callers may name. */
export type Model = z.infer<typeof model>
/** A client account. */
export type ClientAccount = z.infer<typeof clientAccount>
/** A patience window. */
export type PatienceWindow = z.infer<typeof patienceWindow>

/** A fault of a document, at the field where it stands. */
export interface DocumentFault { path: string, message: string }

/** What checking a document gives. */
export type DocumentCheckResult = { kind: 'valid', document: Document } | { kind: 'invalid', faults: DocumentFault[] }

/**
 * Checks a document and reports all its faults at once.
 * @param input any value, usually parsed JSON
 * @returns the document with defaults filled in, or every fault with its path
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

function checkReferences (doc: z.infer<typeof shape>, ctx: z.RefinementCtx): void {
  const fault = (path: PropertyKey[], message: string) => ctx.addIssue({ code: 'custom', path, message })
  const need = (part: 'services' | 'priorities' | 'models', ref: string, path: PropertyKey[]) => {
    if (!(ref in doc[part])) fault(path, `names "${ref}", which is not in ${part}: add it there or name one of ${Object.keys(doc[part]).join(', ') || '(none yet)'}`)
  }
  for (const [key, item] of Object.entries(doc.models)) need('services', item.service, ['models', key, 'service'])
  for (const [key, item] of Object.entries(doc.carriages)) {
    need('services', item.service, ['carriages', key, 'service'])
    item.models.forEach((ref, i) => need('models', ref, ['carriages', key, 'models', i]))
  }
  for (const [key, item] of Object.entries(doc.clientAccounts)) {
    need('priorities', item.priority, ['clientAccounts', key, 'priority'])
    item.services.forEach((ref, i) => need('services', ref, ['clientAccounts', key, 'services', i]))
  }
  for (const [key, item] of Object.entries(doc.patience)) need('priorities', item.priority, ['patience', key, 'priority'])
  for (const [key, item] of Object.entries(doc.services)) {
    if (item.kind === 'model') continue
    for (const [call, spec] of Object.entries(item.calls)) {
      if (spec.priority !== undefined) need('priorities', spec.priority, ['services', key, 'calls', call, 'priority'])
    }
  }
  checkUniqueTokens(doc, fault)
  if (Object.keys(doc.operators).length === 0) fault(['operators'], 'is empty: keep at least one operator, or nobody could change the document again')
  try {
    Intl.DateTimeFormat('en', { timeZone: doc.timeZone })
  } catch {
    fault(['timeZone'], `"${doc.timeZone}" is not a time zone: use a name such as Asia/Bangkok`)
  }
}

function checkUniqueTokens (doc: z.infer<typeof shape>, fault: (path: PropertyKey[], message: string) => void): void {
  const seen = new Map<string, string>()
  for (const [key, account] of Object.entries(doc.clientAccounts)) {
    account.tokens.forEach((digest, i) => {
      const other = seen.get(digest)
      if (other !== undefined && other !== key) fault(['clientAccounts', key, 'tokens', i], `is also a token of client account "${other}": give each account its own`)
      seen.set(digest, key)
    })
  }
}
