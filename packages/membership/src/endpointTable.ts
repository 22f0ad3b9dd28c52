/** All endpoints that an instance has heard of, merged by the endpoints' own numbering, with digests to find gaps. */
import * as contracts from '@kingcupdeck/contracts'

/** The endpoints that an instance has heard of. */
export interface EndpointTable {
  get (id: string): contracts.EndpointRecord | undefined
  /** @returns all entries, those of endpoints that went away among them */
  all (): IterableIterator<contracts.EndpointRecord>
  /** @returns the entries of a pool that are ready and carry a model; the same array until something changes */
  ready (service: string, model?: string): readonly contracts.EndpointRecord[]
  /** @returns the entries of a pool that are leaving */
  leaving (service: string): readonly contracts.EndpointRecord[]
  /** Takes an entry if it is newer. @returns whether it was */
  merge (entry: contracts.EndpointRecord): boolean
  /** @returns one number for the whole table */
  digest (): number
  /** @returns one number a bucket; equal tables have equal digests */
  bucketDigests (): number[]
  /** @returns the entries of buckets whose digest differs */
  findDifferences (digests: readonly number[]): contracts.EndpointRecord[]
  /** Grows with each change; lets readers keep what they derived. */
  version (): number
  /** Forgets endpoints that went away long ago. */
  sweep (nowMs: number): void
}

/** Digest buckets: one mismatch then costs a thirty-second part of the table. */
const BUCKETS = 32
const FORGET_GONE_MS = 600_000
/** At equal numbers the graver state wins: nothing comes back without a newer announcement. */
const GRAVITY: Record<contracts.EndpointRecord['state'], number> = { ready: 0, leaving: 1, gone: 2 }

/**
 * Creates an empty table.
 * @returns the table
 */
export function createEndpointTable (): EndpointTable {
  const entries = new Map<string, contracts.EndpointRecord>()
  const goneSince = new Map<string, number>()
  const digests = new Array<number>(BUCKETS).fill(0)
  const lists = new Map<string, readonly contracts.EndpointRecord[]>()
  let version = 0

  const toggle = (entry: contracts.EndpointRecord): void => {
    const bucket = toBucket(entry.id)
    digests[bucket] = (digests[bucket] ^ contracts.hash32(`${entry.id} ${entry.boot} ${entry.seq} ${entry.state}`)) >>> 0
  }

  const set = (entry: contracts.EndpointRecord): void => {
    const known = entries.get(entry.id)
    if (known !== undefined) toggle(known)
    entries.set(entry.id, entry)
    toggle(entry)
    lists.clear()
    version++
    if (entry.state === 'gone') goneSince.set(entry.id, performance.now())
    else goneSince.delete(entry.id)
  }

  const listOnce = (key: string, accepts: (entry: contracts.EndpointRecord) => boolean): readonly contracts.EndpointRecord[] => {
    const known = lists.get(key)
    if (known !== undefined) return known
    const list = [...entries.values()].filter(accepts)
    lists.set(key, list)
    return list
  }

  return {
    get: id => entries.get(id),
    all: () => entries.values(),
    ready: (service, model) => listOnce(`ready ${service} ${model ?? ''}`, entry => entry.service === service && entry.state === 'ready' && (model === undefined || entry.models.includes(model))),
    leaving: service => listOnce(`leaving ${service}`, entry => entry.service === service && entry.state === 'leaving'),
    merge (entry) {
      const known = entries.get(entry.id)
      if (known !== undefined && !isNewer(entry, known)) return false
      set(entry)
      return true
    },
    digest: () => digests.reduce((sum, digest, bucket) => (sum ^ contracts.hash32(String(digest), bucket)) >>> 0, 0),
    bucketDigests: () => [...digests],
    findDifferences: theirs => [...entries.values()].filter(entry => digests[toBucket(entry.id)] !== theirs[toBucket(entry.id)]),
    version: () => version,
    sweep (nowMs) {
      for (const [id, since] of goneSince) {
        const entry = entries.get(id)
        if (nowMs - since < FORGET_GONE_MS || entry === undefined) continue
        toggle(entry)
        entries.delete(id)
        goneSince.delete(id)
        version++
      }
    }
  }
}

function toBucket (id: string): number {
  return contracts.hash32(id, 7) % BUCKETS
}

function isNewer (entry: contracts.EndpointRecord, known: contracts.EndpointRecord): boolean {
  if (entry.boot !== known.boot) return entry.boot > known.boot
  if (entry.seq !== known.seq) return entry.seq > known.seq
  return GRAVITY[entry.state] > GRAVITY[known.state]
}
