/** The latest versions of the document, from which deltas are made for readers of one of them. */
import * as contracts from '@kingcupdeck/contracts'

/** The latest versions of the document. */
export interface DocumentHistory {
  /**
   * Adds the new latest version.
   * @param packed its packed form, if it was received so; a delta is then reused for other readers
   */
  add (document: contracts.VersionedText, packed?: contracts.PackedText): void
  /**
   * Packs the latest version for a reader: as a delta if the reader's version is in the history, otherwise in full.
   * @param version the reader's version, 0 for none
   * @returns null if the reader has the latest version or there is none
   */
  packSince (version: number): contracts.PackedText | null
}

/** Readers of older versions receive the full document. */
const MAX_VERSIONS = 8
/** Bound of the retained versions; the latest one is always retained. */
const MAX_RETAINED_BYTES = 8 * 1024 * 1024

/** Creates an empty history. */
export function createDocumentHistory (): DocumentHistory {
  const versions: contracts.VersionedText[] = []
  /** Packed forms of the latest version by the reader's version, 0 for the full document. */
  const packedByBase = new Map<number, contracts.PackedText>()

  return {
    add (document, packed) {
      packedByBase.clear()
      const base = packed === undefined || packed.base === '' ? undefined : versions.find(item => item.digest === packed.base)
      if (base !== undefined && packed !== undefined) packedByBase.set(base.version, packed)
      versions.push(document)
      let bytes = versions.reduce((sum, item) => sum + item.text.length, 0)
      while (versions.length > 1 && (versions.length > MAX_VERSIONS || bytes > MAX_RETAINED_BYTES)) bytes -= versions.shift()?.text.length ?? 0
    },
    packSince (version) {
      const latest = versions.at(-1)
      if (latest === undefined || latest.version <= version) return null
      const base = versions.find(item => item.version === version)
      const cached = packedByBase.get(base?.version ?? 0)
      if (cached !== undefined) return cached
      const packed = base === undefined ? contracts.packFull(latest) : contracts.packDelta(base, latest)
      packedByBase.set(base?.version ?? 0, packed)
      return packed
    }
  }
}
