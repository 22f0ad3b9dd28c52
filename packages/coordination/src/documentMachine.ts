/**
 * The replicated state machine of the forwarding fleet: the latest configuration document, byte for byte, and the evacuated
 * availability zones. The highest version of the document wins: puts of the same or an older version change nothing. Evacuations
 * have no versions of their own, so they are compare-and-set: a delayed order must not revert a later one.
 */
import * as cbor from 'cbor-x'
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as discovery from '@kingcupdeck/discovery'
import * as state from '@kingcupdeck/state'

/**
 * Result of a put: stored; the same document is already stored (`held`); a newer one is stored (`behind`); another text is stored
 * under the same version (`conflict`); or a delta whose base is missing, to be resent as a full document (`needsWhole`). The
 * version is that of the stored document.
 */
export const putResult = z.object({ kind: z.enum(['stored', 'held', 'behind', 'conflict', 'needsWhole']), version: z.number() })
/** Result of a put. */
export type PutResult = z.infer<typeof putResult>

/** Command that changes the evacuation of a zone. */
export const evacuationCommand = z.object({
  t: z.literal('evacuation'),
  zone: z.string(),
  isEvacuated: z.boolean(),
  /** Revision that the command is based on. */
  revision: z.number()
})
/** Command that changes the evacuation of a zone. */
export type EvacuationCommand = z.infer<typeof evacuationCommand>

/** Result of an evacuation command: applied, or based on an outdated revision. The evacuations are those after the command. */
export const evacuationResult = z.object({ kind: z.enum(['changed', 'outdated']), evacuations: discovery.evacuations })
/** Result of an evacuation command. */
export type EvacuationResult = z.infer<typeof evacuationResult>

/** Snapshot with evacuations. */
const savedState = z.object({ document: contracts.packedText.nullable(), evacuations: discovery.evacuations })
type SavedState = z.infer<typeof savedState>
/** Before the first evacuation, a snapshot is the packed document alone, as in earlier releases. */
const anySavedState = z.union([savedState, contracts.packedText.nullable().transform(document => ({ document, evacuations: discovery.NO_EVACUATIONS }))])

/** The state machine, with read access to its state. */
export interface DocumentMachine extends state.StateMachine {
  /** Returns the latest document, null before the first. */
  latest (): contracts.VersionedText | null
  /** Returns the evacuated zones. */
  evacuations (): discovery.Evacuations
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
 * @param onEvacuations called when the evacuated zones change
 */
export function createDocumentMachine (onChange: (packed?: contracts.PackedText) => void = () => {}, onEvacuations: () => void = () => {}): DocumentMachine {
  let latest: contracts.VersionedText | null = null
  let evacuations = discovery.NO_EVACUATIONS

  const put = (packed: contracts.PackedText): PutResult => {
    const staleResult = resolveStalePut(latest, packed)
    if (staleResult !== undefined) return staleResult
    const document = contracts.unpackText(packed, latest)
    if (document === undefined) return { kind: 'needsWhole', version: latest?.version ?? 0 }
    latest = document
    onChange(packed)
    return { kind: 'stored', version: document.version }
  }

  const evacuate = ({ zone, isEvacuated, revision }: EvacuationCommand): EvacuationResult => {
    if (revision !== evacuations.revision) return { kind: 'outdated', evacuations }
    evacuations = discovery.changeEvacuation(evacuations, zone, isEvacuated)
    onEvacuations()
    return { kind: 'changed', evacuations }
  }

  return {
    apply (command) {
      const known = command as contracts.PackedText | EvacuationCommand
      return 't' in known ? evacuate(known) : put(known)
    },
    save () {
      const document = latest === null ? null : contracts.packFull(latest)
      return codec.encode(evacuations.revision === 0 ? document : { document, evacuations } satisfies SavedState)
    },
    restore (bytes) {
      const saved = anySavedState.parse(codec.decode(bytes))
      const document = saved.document === null ? null : contracts.unpackText(saved.document, null)
      if (document === undefined) throw new Error('the document of a snapshot must be a full one')
      latest = document
      evacuations = saved.evacuations
      onChange()
      onEvacuations()
    },
    latest: () => latest,
    evacuations: () => evacuations
  }
}
