/** Known endpoints, merged by boot and sequence number, with digests for anti-entropy between instances. */
import * as contracts from '@kingcupdeck/contracts'

/** All endpoints known to this instance. */
export interface EndpointTable {
  get (id: string): contracts.EndpointRecord | undefined
  /** @returns all entries, including those with state `gone` that are not evicted yet */
  all (): IterableIterator<contracts.EndpointRecord>
  /** @returns the ready entries of a service, optionally only those that serve a model; the same array until the table changes */
  ready (service: string, model?: string): readonly contracts.EndpointRecord[]
  /** @returns the entries of a service with state `leaving` */
  leaving (service: string): readonly contracts.EndpointRecord[]
  /** Stores the entry if it is newer than the known one. @returns whether it was stored */
  merge (entry: contracts.EndpointRecord): boolean
  /** @returns a digest of the full table */
  digest (): number
  /** @returns one digest per bucket; equal tables have equal digests */
  bucketDigests (): number[]
  /** @returns the entries of all buckets whose digest differs from the given one */
  findDifferences (digests: readonly number[]): contracts.EndpointRecord[]
  /** @returns a number that increases with each change, for caching derived values */
  version (): number
  /** Evicts entries that have had state `gone` for longer than the retention period. */
  sweep (nowMs: number): void
}

/** Number of digest buckets; a mismatch transfers only the entries of its bucket. */
const BUCKET_COUNT = 32
const GONE_RETENTION_MS = 600_000
/** Breaks ties between equal sequence numbers, so that an endpoint returns only with a newer announcement. */
const STATE_PRECEDENCE: Record<contracts.EndpointRecord['state'], number> = { ready: 0, leaving: 1, gone: 2 }

export function createEndpointTable (): EndpointTable {
  const entries = new Map<string, contracts.EndpointRecord>()
  const goneSince = new Map<string, number>()
  const digests = new Array<number>(BUCKET_COUNT).fill(0)
  const listCache = new Map<string, readonly contracts.EndpointRecord[]>()
  let version = 0

  /** Adds the entry to its bucket's digest, or removes it again: the digest is an XOR. */
  const toggleDigest = (entry: contracts.EndpointRecord): void => {
    const bucket = toBucket(entry.id)
    digests[bucket] = (digests[bucket] ^ contracts.hash32(`${entry.id} ${entry.boot} ${entry.seq} ${entry.state}`)) >>> 0
  }

  const set = (entry: contracts.EndpointRecord): void => {
    const known = entries.get(entry.id)
    if (known !== undefined) toggleDigest(known)
    entries.set(entry.id, entry)
    toggleDigest(entry)
    listCache.clear()
    version++
    if (entry.state === 'gone') goneSince.set(entry.id, performance.now())
    else goneSince.delete(entry.id)
  }

  const listCached = (key: string, accepts: (entry: contracts.EndpointRecord) => boolean): readonly contracts.EndpointRecord[] => {
    const cached = listCache.get(key)
    if (cached !== undefined) return cached
    const list = [...entries.values()].filter(accepts)
    listCache.set(key, list)
    return list
  }

  return {
    get: id => entries.get(id),
    all: () => entries.values(),
    ready: (service, model) => listCached(`ready ${service} ${model ?? ''}`, entry => entry.service === service && entry.state === 'ready' && (model === undefined || entry.models.includes(model))),
    leaving: service => listCached(`leaving ${service}`, entry => entry.service === service && entry.state === 'leaving'),
    merge (entry) {
      const known = entries.get(entry.id)
      if (known !== undefined && !isNewer(entry, known)) return false
      set(entry)
      return true
    },
    digest: () => digests.reduce((sum, digest, bucket) => (sum ^ contracts.hash32(String(digest), bucket)) >>> 0, 0),
    bucketDigests: () => [...digests],
    findDifferences: remoteDigests => [...entries.values()].filter(entry => digests[toBucket(entry.id)] !== remoteDigests[toBucket(entry.id)]),
    version: () => version,
    sweep (nowMs) {
      for (const [id, since] of goneSince) {
        const entry = entries.get(id)
        if (nowMs - since < GONE_RETENTION_MS || entry === undefined) continue
        toggleDigest(entry)
        entries.delete(id)
        goneSince.delete(id)
        version++
      }
    }
  }
}

function toBucket (id: string): number {
  return contracts.hash32(id, 7) % BUCKET_COUNT
}

function isNewer (entry: contracts.EndpointRecord, known: contracts.EndpointRecord): boolean {
  if (entry.boot !== known.boot) return entry.boot > known.boot
  if (entry.seq !== known.seq) return entry.seq > known.seq
  return STATE_PRECEDENCE[entry.state] > STATE_PRECEDENCE[known.state]
}
