/**
 * The replicated state machine of the forwarding fleet: the latest configuration document, byte for byte. The highest version
 * wins. There is no compare-and-set: puts of the same or an older version change nothing.
 */
import * as cbor from 'cbor-x'
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as state from '@kingcupdeck/state'

/**
 * Result of a put: stored; the same document is already stored (`held`); a newer one is stored (`behind`); another text is stored
 * under the same version (`conflict`); or a delta whose base is missing, to be resent as a full document (`needsWhole`). The
 * version is that of the stored document.
 */
export const putResult = z.object({ kind: z.enum(['stored', 'held', 'behind', 'conflict', 'needsWhole']), version: z.number() })
/** Result of a put. */
export type PutResult = z.infer<typeof putResult>

/** The state machine, with read access to its state. */
export interface DocumentMachine extends state.StateMachine {
  /** Returns the latest document, null before the first. */
  latest (): contracts.VersionedText | null
}

const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/**
 * Returns the result of a put that does not change the stored document, undefined if the put is newer.
 * @param put version and digest of the new document
 */
export function resolveStalePut (stored: contracts.VersionedText | null, put: { version: number, digest: string }): PutResult | undefined {
  if (stored === null || put.version > stored.version) return undefined
  if (put.version < stored.version) return { kind: 'behind', version: stored.version }
  return { kind: put.digest === stored.digest ? 'held' : 'conflict', version: stored.version }
}

/**
 * Creates an empty state machine.
 * @param onChange called when the document changes, with its packed form unless it was restored from a snapshot
 */
export function createDocumentMachine (onChange: (packed?: contracts.PackedText) => void = () => {}): DocumentMachine {
  let latest: contracts.VersionedText | null = null

  const put = (packed: contracts.PackedText): PutResult => {
    const staleResult = resolveStalePut(latest, packed)
    if (staleResult !== undefined) return staleResult
    const document = contracts.unpackText(packed, latest)
    if (document === undefined) return { kind: 'needsWhole', version: latest?.version ?? 0 }
    latest = document
    onChange(packed)
    return { kind: 'stored', version: document.version }
  }

  return {
    apply: command => put(command as contracts.PackedText),
    save: () => codec.encode(latest === null ? null : contracts.packFull(latest)),
    restore (bytes) {
      const saved = codec.decode(bytes) as contracts.PackedText | null
      latest = saved === null ? null : contracts.unpackText(saved, null) ?? null
      onChange()
    },
    latest: () => latest
  }
}
