/**
 * The replicated state of the forwarding fleet: the operators' latest document, as they sent it. The highest version wins;
 * there is no compare-and-set, so a resend or an older version changes nothing and is accepted again.
 */
import * as cbor from 'cbor-x'
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as state from '@kingcupdeck/state'

/**
 * What became of a document: stored, held already, behind a newer one, in conflict with another text of its version, or not
 * readable since it is the difference from a text that is not held; then it is to be sent whole.
 */
export const putResult = z.object({ kind: z.enum(['stored', 'held', 'behind', 'conflict', 'needsWhole']), version: z.number() })
/** What became of a document. */
export type PutResult = z.infer<typeof putResult>

/** The machine, with what readers need of its state. */
export interface DocumentMachine extends state.Machine {
  /** @returns the latest document, or null before the first */
  latest (): contracts.VersionedText | null
}

const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/**
 * Tells what becomes of a document that does not change what is held.
 * @param held the document that is held
 * @param put version and digest of the document that is put
 * @returns the result, or undefined where the document is newer
 */
export function resolveStalePut (held: contracts.VersionedText | null, put: { version: number, digest: string }): PutResult | undefined {
  if (held === null || put.version > held.version) return undefined
  if (put.version < held.version) return { kind: 'behind', version: held.version }
  return { kind: put.digest === held.digest ? 'held' : 'conflict', version: held.version }
}

/**
 * Creates the machine.
 * @param onChange told when another document is held, and how it came, unless it was restored
 * @returns the machine, empty
 */
export function createDocumentMachine (onChange: (packed?: contracts.PackedText) => void = () => {}): DocumentMachine {
  let held: contracts.VersionedText | null = null

  const put = (packed: contracts.PackedText): PutResult => {
    const old = resolveStalePut(held, packed)
    if (old !== undefined) return old
    const text = contracts.unpackText(packed, held)
    if (text === undefined) return { kind: 'needsWhole', version: held?.version ?? 0 }
    held = text
    onChange(packed)
    return { kind: 'stored', version: text.version }
  }

  return {
    apply: command => put(command as contracts.PackedText),
    save: () => codec.encode(held === null ? null : contracts.packFull(held)),
    restore (bytes) {
      const saved = codec.decode(bytes) as contracts.PackedText | null
      held = saved === null ? null : contracts.unpackText(saved, null) ?? null
      onChange()
    },
    latest: () => held
  }
}
