/** The latest documents, so that a reader who holds one of them is sent only what changed since. */
import * as contracts from '@kingcupdeck/contracts'

/** The latest documents. */
export interface DocumentHistory {
  /**
   * Takes the document that is held from now on.
   * @param held the document
   * @param packed how it came here, if it came packed: what it is the difference from is not worked out again for others
   */
  add (held: contracts.VersionedText, packed?: contracts.PackedText): void
  /**
   * Packs the latest document for a reader.
   * @param version what the reader holds, 0 for nothing
   * @returns the document, or null if the reader holds the latest or there is none
   */
  packSince (version: number): contracts.PackedText | null
}

/** Readers that are behind by more changes are sent the whole; at the size we design for these take 8 MB. */
const MAX_VERSIONS = 8

/**
 * Creates a history.
 * @returns the history, empty
 */
export function createDocumentHistory (): DocumentHistory {
  const texts: contracts.VersionedText[] = []
  /** Many readers hold the same version when the next one comes: what is packed for the first serves all. */
  const packedSince = new Map<number, contracts.PackedText>()

  return {
    add (held, packed) {
      packedSince.clear()
      const from = packed === undefined || packed.base === '' ? undefined : texts.find(item => item.digest === packed.base)
      if (from !== undefined && packed !== undefined) packedSince.set(from.version, packed)
      texts.push(held)
      if (texts.length > MAX_VERSIONS) texts.shift()
    },
    packSince (version) {
      const latest = texts.at(-1)
      if (latest === undefined || latest.version <= version) return null
      const from = texts.find(item => item.version === version)
      const known = packedSince.get(from?.version ?? 0)
      if (known !== undefined) return known
      const packed = from === undefined ? contracts.packFull(latest) : contracts.packDelta(from, latest)
      packedSince.set(from?.version ?? 0, packed)
      return packed
    }
  }
}
