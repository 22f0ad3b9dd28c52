/** Known endpoints, merged by boot and sequence number, with digests for anti-entropy between instances. */
import * as contracts from '@kingcupdeck/contracts'

/** All endpoints known to this instance. */
export interface EndpointTable {
  get (id: string): contracts.EndpointRecord | undefined
  /** @returns all records, including those with state `gone` that are not evicted yet */
  all (): IterableIterator<contracts.EndpointRecord>
  /** @returns the ready records of a service, optionally only those that serve a model; the same array until the table changes */
  ready (service: string, model?: string): readonly contracts.EndpointRecord[]
  /** @returns the records of a service with state `leaving` */
  leaving (service: string): readonly contracts.EndpointRecord[]
  /** Stores the record if it is newer than the known one. @returns whether it was stored */
  merge (record: contracts.EndpointRecord): boolean
  /** @returns a digest of the full table */
  digest (): number
  /** @returns one digest per bucket; equal tables have equal digests */
  bucketDigests (): number[]
  /** @returns the records of all buckets whose digest differs from the given one */
  findDifferences (digests: readonly number[]): contracts.EndpointRecord[]
  /** @returns a number that increases with each change, for caching derived values */
  version (): number
  /** Evicts records that have had state `gone` for longer than the retention period. */
  sweep (nowMs: number): void
}

/** Number of digest buckets; a mismatch transfers only the records of its bucket. */
const BUCKET_COUNT = 32
const GONE_RETENTION_MS = 600_000
/** Breaks ties between equal sequence numbers, so that an endpoint returns only with a newer announcement. */
const STATE_PRECEDENCE: Record<contracts.EndpointRecord['state'], number> = { ready: 0, leaving: 1, gone: 2 }

export function createEndpointTable (): EndpointTable {
  const records = new Map<string, contracts.EndpointRecord>()
  const goneSince = new Map<string, number>()
  const digests = new Array<number>(BUCKET_COUNT).fill(0)
  const listCache = new Map<string, readonly contracts.EndpointRecord[]>()
  let version = 0

  /** Adds the record to its bucket's digest, or removes it again: the digest is an XOR. */
  const toggleDigest = (record: contracts.EndpointRecord): void => {
    const bucket = toBucket(record.id)
    digests[bucket] = (digests[bucket] ^ contracts.hash32(`${record.id} ${record.boot} ${record.seq} ${record.state}`)) >>> 0
  }

  const set = (record: contracts.EndpointRecord): void => {
    const known = records.get(record.id)
    if (known !== undefined) toggleDigest(known)
    records.set(record.id, record)
    toggleDigest(record)
    listCache.clear()
    version++
    if (record.state === 'gone') goneSince.set(record.id, performance.now())
    else goneSince.delete(record.id)
  }

  const listCached = (key: string, accepts: (record: contracts.EndpointRecord) => boolean): readonly contracts.EndpointRecord[] => {
    const cached = listCache.get(key)
    if (cached !== undefined) return cached
    const list = [...records.values()].filter(accepts)
    listCache.set(key, list)
    return list
  }

  return {
    get: id => records.get(id),
    all: () => records.values(),
    ready: (service, model) => listCached(`ready ${service} ${model ?? ''}`, record => record.service === service && record.state === 'ready' && (model === undefined || record.models.includes(model))),
    leaving: service => listCached(`leaving ${service}`, record => record.service === service && record.state === 'leaving'),
    merge (record) {
      const known = records.get(record.id)
      if (known !== undefined && !isNewer(record, known)) return false
      set(record)
      return true
    },
    digest: () => digests.reduce((sum, digest, bucket) => (sum ^ contracts.hash32(String(digest), bucket)) >>> 0, 0),
    bucketDigests: () => [...digests],
    findDifferences: remoteDigests => [...records.values()].filter(record => digests[toBucket(record.id)] !== remoteDigests[toBucket(record.id)]),
    version: () => version,
    sweep (nowMs) {
      for (const [id, since] of goneSince) {
        const record = records.get(id)
        if (nowMs - since < GONE_RETENTION_MS || record === undefined) continue
        toggleDigest(record)
        records.delete(id)
        goneSince.delete(id)
        version++
      }
    }
  }
}

function toBucket (id: string): number {
  return contracts.hash32(id, 7) % BUCKET_COUNT
}

function isNewer (record: contracts.EndpointRecord, known: contracts.EndpointRecord): boolean {
  if (record.boot !== known.boot) return record.boot > known.boot
  if (record.seq !== known.seq) return record.seq > known.seq
  return STATE_PRECEDENCE[record.state] > STATE_PRECEDENCE[known.state]
}
