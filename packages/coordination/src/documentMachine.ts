/**
 * The replicated state of the forwarding fleet: the operators' latest document, as they sent it. The highest version wins;
 * there is no compare-and-set, so a resend or an older version changes nothing and is accepted again.
 */
import * as cbor from 'cbor-x'
import * as z from 'zod'
import * as contracts from '@kingcupdeck/contracts'
import * as state from '@kingcupdeck/state'

/** A document to store: its version, a digest of its text, and the text deflated. */
export const putCommand = z.object({ version: z.number(), digest: z.string(), body: contracts.bytes })
/** A document to store. */
export type PutCommand = z.infer<typeof putCommand>

/** What became of a document: stored, held already, behind a newer one, or in conflict with another text of its version. */
export const putResult = z.object({ kind: z.enum(['stored', 'held', 'behind', 'conflict']), version: z.number() })
/** What became of a document. */
export type PutResult = z.infer<typeof putResult>

/** The machine, with what readers need of its state. */
export interface DocumentMachine extends state.Machine {
  /** @returns the latest document, or null before the first */
  held (): PutCommand | null
}

const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/**
 * Creates the machine.
 * @param onChange told when another document is held
 * @returns the machine, empty
 */
export function createDocumentMachine (onChange: () => void = () => {}): DocumentMachine {
  let held: PutCommand | null = null

  const put = (cmd: PutCommand): PutResult => {
    if (held !== null && cmd.version < held.version) return { kind: 'behind', version: held.version }
    if (held !== null && cmd.version === held.version) return { kind: cmd.digest === held.digest ? 'held' : 'conflict', version: held.version }
    held = cmd
    onChange()
    return { kind: 'stored', version: cmd.version }
  }

  return {
    apply: command => put(command as PutCommand),
    save: () => codec.encode(held),
    restore (bytes) {
      held = codec.decode(bytes) as PutCommand | null
      onChange()
    },
    held: () => held
  }
}
