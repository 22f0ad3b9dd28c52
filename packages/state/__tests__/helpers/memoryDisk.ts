/** A disk that holds the state of a replica as values. */
import type * as state from '../../src/index.js'

/** A disk that keeps synced data when its replica crashes. */
export class MemoryDisk {
  meta: state.Meta | undefined
  entries: state.Entry[] = []
  snapshot: state.Snapshot | undefined
  committed = 0
  /** Founders that the replica was told. */
  founders: string[] | null = null
  /** Whether damaged state was removed. */
  isFormer = false

  wipe (): void {
    this.meta = undefined
    this.entries = []
    this.snapshot = undefined
    this.committed = 0
    this.founders = null
    this.isFormer = false
  }

  /** @returns the index up to which entries are stored without a gap */
  lastIndex (): number {
    let last = this.snapshot?.lastIndex ?? 0
    for (const item of this.entries) if (item.index === last + 1) last++
    return last
  }

  /**
   * Creates the storage of a replica on this disk.
   * @param write performs a change after all earlier ones, or a part of it if it fails
   * @param onGap called at the start of a replica with the indexes of a log that has a gap
   */
  createStorage (write: (apply: () => void, applyPart?: () => void) => Promise<void>, onGap: (indexes: string) => void): state.Storage {
    return {
      load: async () => {
        if (this.entries.some((item, i) => i > 0 && item.index !== this.entries[i - 1].index + 1)) onGap(this.entries.map(item => item.index).join(' '))
        const { founders, isFormer } = this
        return this.meta === undefined ? { kind: 'empty', founders, isFormer } : { kind: 'found', founders, isFormer, meta: this.meta, snapshot: this.snapshot, entries: [...this.entries], tornBytes: 0, commitIndex: this.committed }
      },
      wipe: async () => {
        await write(() => {
          this.wipe()
          this.isFormer = true
        })
      },
      saveFounders: async founders => { await write(() => { this.founders = [...founders] }) },
      removeFounders: async () => { await write(() => { this.founders = null }) },
      saveMeta: async meta => { await write(() => { this.meta = meta }) },
      append: async list => {
        const copy = [...list]
        await write(() => { this.entries.push(...copy) }, () => { this.entries.push(...copy.slice(0, 1)) })
      },
      saveCommitIndex: index => { write(() => { this.committed = index }).catch(() => {}) },
      truncateFrom: async index => { await write(() => { this.entries = this.entries.filter(item => item.index < index) }) },
      saveSnapshot: async (snapshot, keepFrom) => {
        await write(() => {
          this.snapshot = snapshot
          this.entries = this.entries.filter(item => item.index >= keepFrom)
        }, () => { this.snapshot = snapshot })
      },
      close: async () => {}
    }
  }

  /** Returns whether an entry or the snapshot holds the text. */
  holds (text: string): boolean {
    return JSON.stringify(this.entries).includes(text) || Buffer.from(this.snapshot?.state ?? []).includes(text)
  }

  /** Checks what a replica acknowledges against its disk. @returns what is missing */
  findMissing (reply: state.RpcReply): string | undefined {
    if (reply.t === 'append' && reply.isOk && reply.match > this.lastIndex()) return `acknowledged entries up to ${reply.match}, but its disk ends at ${this.lastIndex()}`
    if (reply.t === 'ballot' && reply.isGranted && reply.from.incarnation !== this.meta?.incarnation) return 'granted a vote, but its incarnation is not on its disk'
    return undefined
  }
}
