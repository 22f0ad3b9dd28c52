/** Deltas between versions of the configuration document, sent to instances instead of the full document. */
import * as z from 'zod'
import * as doc from './document.js'

const PARTS = ['zones', 'priorities', 'services', 'models', 'carriages', 'clientAccounts', 'patience', 'operators'] as const
const SCALARS = ['deployment', 'timeZone', 'ledger'] as const

/** A change of a delta: an entry set or removed, or a scalar part replaced. */
export const change = z.discriminatedUnion('op', [
  z.object({ op: z.literal('set'), part: z.enum(PARTS), id: z.string(), value: z.unknown() }),
  z.object({ op: z.literal('remove'), part: z.enum(PARTS), id: z.string() }),
  z.object({ op: z.literal('replace'), part: z.enum(SCALARS), value: z.unknown() })
])
/** A change of a delta. */
export type Change = z.infer<typeof change>

/** Returns the changes that turn one document into another, in a stable order. */
export function diffDocuments (from: doc.Document, to: doc.Document): Change[] {
  const changes: Change[] = []
  for (const part of SCALARS) {
    if (!isEqual(from[part], to[part])) changes.push({ op: 'replace', part, value: to[part] })
  }
  for (const part of PARTS) {
    const before: Record<string, unknown> = from[part]
    const after: Record<string, unknown> = to[part]
    for (const key of Object.keys(after)) {
      if (!Object.hasOwn(before, key) || !isEqual(before[key], after[key])) changes.push({ op: 'set', part, id: key, value: after[key] })
    }
    for (const key of Object.keys(before)) {
      if (!Object.hasOwn(after, key)) changes.push({ op: 'remove', part, id: key })
    }
  }
  return changes
}

/** Returns a copy of a document with the changes of {@link diffDocuments} applied. */
export function applyChanges (from: doc.Document, changes: readonly Change[]): doc.Document {
  const to: Record<string, unknown> = { ...from }
  for (const part of PARTS) to[part] = { ...from[part] }
  for (const item of changes) {
    switch (item.op) {
      case 'replace': to[item.part] = item.value; break
      case 'set': setEntry(to[item.part] as Record<string, unknown>, item.id, item.value); break
      case 'remove': delete (to[item.part] as Record<string, unknown>)[item.id]; break
    }
  }
  return to as doc.Document
}

/** Sets an entry of any name, also one that objects inherit. */
function setEntry (part: Record<string, unknown>, id: string, value: unknown): void {
  Object.defineProperty(part, id, { value, writable: true, enumerable: true, configurable: true })
}

function isEqual (left: unknown, right: unknown): boolean {
  return JSON.stringify(left) === JSON.stringify(right)
}
