/** A disk that holds the state of a replica as values. */
import type * as state from '../../src/index.js'

/** A disk that keeps synced data when its replica crashes. */
export class MemoryDisk {
  meta: state.Meta | undefined
  entries: state.Entry[] = []
  snapshot: state.Snapshot | undefined
  committed = 0

  wipe (): void {
    this.meta = undefined
    this.entries = []
    this.snapshot = undefined
    this.committed = 0
  }

  /** @returns the index up to which entries are stored without a gap */
  lastIndex (): number {
    let last = this.snapshot?.lastIndex ?? 0
    for (const item of this.entries) if (item.index === last + 1) last++
    return last
  }

  /** Checks what a replica acknowledges against its disk. @returns what is missing */
  findMissing (reply: state.RpcReply): string | undefined {
    if (reply.t === 'append' && reply.isOk && reply.match > this.lastIndex()) return `acknowledged entries up to ${reply.match}, but its disk ends at ${this.lastIndex()}`
    if (reply.t === 'ballot' && reply.isGranted && reply.from.incarnation !== this.meta?.incarnation) return 'granted a vote, but its incarnation is not on its disk'
    return undefined
  }
}
