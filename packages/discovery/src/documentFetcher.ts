/**
 * Fetches the latest document of an entry instance, from its control instances and from other entry instances, and serves it to
 * other entry instances. Sharing the transfer among all instances that have the document keeps slow links from limiting it.
 */
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as documentHistories from './documentHistory.js'
import * as messages from './messages.js'
import type * as sendBudgets from './sendBudget.js'

/** An instance from which the document can be fetched. */
export interface DocumentSource {
  address: string
  /** The version that it reported. */
  version: number
  getLink: () => Promise<links.Link>
  /** Whether the link is closed after the fetch. */
  isLinkTemporary?: boolean
  /** Called when the reported version could not be fetched. */
  onFailure: (reason: string) => void
}

/** Options of {@link createDocumentFetcher}. */
export interface DocumentFetcherOptions {
  /** Subscribed control instances, in order of preference. */
  controls: () => DocumentSource[]
  /** Inner addresses of the other entry instances, in random order. */
  peerAddresses: () => readonly string[]
  /** Returns a link to another entry instance. */
  getPeerLink: (address: string) => Promise<links.Link>
  /**
   * Called with each newer document.
   * @param waitedMs time since a newer version first became known
   * @param from the instance that sent it
   */
  onDocument: (document: contracts.VersionedText, waitedMs: number, from: string) => void
  /** Limits the documents that are sent to other instances. */
  budget: sendBudgets.SendBudget
  signal: AbortSignal
  log: telemetry.Log
  now: () => number
}

/** Fetches and caches the latest document. */
export interface DocumentFetcher {
  /** Returns the version of the cached document, 0 without one. */
  version (): number
  /** Returns the newest version that any instance ever reported: it stays known when that instance is no longer reachable. */
  newestVersion (): number
  /**
   * Applies a document that was received in any reply; ignores it unless it is newer.
   * @param from the instance that sent it
   */
  accept (packed: contracts.PackedText | null, from: string): void
  /** Records a version that an instance reported. */
  noteReport (from: string, version: number): void
  /** Records the version that another entry instance reported. */
  notePeerVersion (address: string, version: number): void
  /** Starts fetching after a delay, if a newer version is known. */
  scheduleFetch (delayMs: number): void
  /** Returns the reply to a fetch call of an instance with the given version. */
  toReply (version: number): messages.DiscoveryReply
}

/**
 * Must exceed the time that a full document takes on a link of a few Mbit/s: a megabyte is a tenth of that packed, 0.2 s at
 * 4 Mbit/s. The rest is for other traffic on the link.
 */
const FETCH_TIMEOUT_MS = 1000
/** Another instance is tried concurrently when one has not answered within this time. */
const HEDGE_DELAY_MS = 300
/** Pause before the next instance is tried. */
const RETRY_PAUSE_MS = 60

/** Creates a fetcher without a document. */
export function createDocumentFetcher (opts: DocumentFetcherOptions): DocumentFetcher {
  const history = documentHistories.createDocumentHistory()
  const peerVersions = new Map<string, number>()
  /** Addresses with a fetch in flight. */
  const pendingAddresses = new Set<string>()
  let latest: contracts.VersionedText | null = null
  let isFetching = false
  let timer: NodeJS.Timeout | undefined
  let newerKnownAt: number | undefined
  let newestVersion = 0

  const version = (): number => latest?.version ?? 0

  const toPeerSource = (address: string): DocumentSource => ({
    address,
    version: peerVersions.get(address) ?? 0,
    getLink: async () => await opts.getPeerLink(address),
    onFailure (reason) {
      peerVersions.delete(address)
      opts.log.event('documentNotFetched', { address, why: reason })
    }
  })

  const peerSources = (): DocumentSource[] => opts.peerAddresses().map(toPeerSource)

  /** Returns the newest version that can be fetched now. */
  const newestAvailable = (): number => Math.max(0, ...[...opts.controls(), ...peerSources()].map(item => item.version))

  const noteReport = (from: string, reportedVersion: number): void => {
    if (reportedVersion <= newestVersion) return
    newestVersion = reportedVersion
    if (reportedVersion > version()) opts.log.event('documentReported', { version: reportedVersion, from, held: version() })
  }

  /** Returns undefined for a damaged document: what came with it holds, and the document is fetched from another instance. */
  const unpack = (packed: contracts.PackedText, from: string): contracts.VersionedText | undefined => {
    try {
      return contracts.unpackText(packed, latest)
    } catch (err) {
      opts.log.event('documentDamaged', { version: packed.version, from, bytes: packed.body.length, detail: err instanceof Error ? err.message : String(err) })
      return undefined
    }
  }

  const accept = (packed: contracts.PackedText | null, from: string): void => {
    if (packed === null || packed.version <= version()) return
    const document = unpack(packed, from)
    // A delta from a version that was replaced while the reply was in flight; the next fetch sends the current version.
    if (document === undefined) return
    latest = document
    history.add(document, packed)
    const waitedMs = newerKnownAt === undefined ? 0 : opts.now() - newerKnownAt
    newerKnownAt = undefined
    opts.onDocument(document, waitedMs, from)
  }

  const fetchOver = async (link: links.Link, from: string): Promise<messages.DiscoveryReply> => {
    const call: messages.DiscoveryCall = { t: 'fetch', version: version() }
    const reply = messages.discoveryReply.parse(await link.call(call, FETCH_TIMEOUT_MS))
    noteReport(from, reply.version)
    accept(reply.document, from)
    return reply
  }

  const fetchFrom = async (source: DocumentSource): Promise<void> => {
    const versionBefore = version()
    pendingAddresses.add(source.address)
    try {
      const link = await source.getLink()
      const reply = await fetchOver(link, source.address).finally(() => { if (source.isLinkTemporary === true) link.close() })
      // Reports the failure, so that a source that never sends its reported version is not retried indefinitely.
      if (source.version > versionBefore && version() === versionBefore && reply.isBusy !== true) source.onFailure(`version ${source.version} was reported but not sent`)
    } catch (err) {
      source.onFailure(`document fetch failed: ${err instanceof Error ? err.message : String(err)}`)
    } finally {
      pendingAddresses.delete(source.address)
    }
  }

  /** Alternates between control instances and other entry instances; prefers those that reported a newer version. */
  const pickSource = (attempt: number): DocumentSource | undefined => {
    const isIdle = (item: DocumentSource): boolean => !pendingAddresses.has(item.address)
    const isAhead = (item: DocumentSource): boolean => isIdle(item) && item.version > version()
    const controls = opts.controls()
    const peers = peerSources()
    const control = controls.find(isAhead)
    const peer = peers.find(isAhead) ?? peers.find(isIdle)
    return attempt % 2 === 0 ? control ?? peer : peer ?? control
  }

  const fetchUntilCurrent = async (): Promise<void> => {
    if (isFetching) return
    isFetching = true
    try {
      for (let attempt = 0; !opts.signal.aborted && newestAvailable() > version(); attempt++) {
        newerKnownAt ??= opts.now()
        const source = pickSource(attempt)
        if (source !== undefined) await Promise.race([fetchFrom(source), timers.setTimeout(HEDGE_DELAY_MS, undefined, { ref: false })])
        if (newestAvailable() > version()) await timers.setTimeout(RETRY_PAUSE_MS, undefined, { ref: false })
      }
    } finally {
      isFetching = false
    }
  }

  return {
    version,
    newestVersion: () => Math.max(newestVersion, version()),
    accept,
    noteReport,
    notePeerVersion (address, reportedVersion) {
      noteReport(address, reportedVersion)
      peerVersions.set(address, reportedVersion)
    },
    scheduleFetch (delayMs) {
      if (newestAvailable() <= version()) return
      newerKnownAt ??= opts.now()
      if (delayMs === 0) {
        void fetchUntilCurrent()
        return
      }
      timer ??= setTimeout(() => {
        timer = undefined
        void fetchUntilCurrent()
      }, delayMs).unref()
    },
    toReply: callerVersion => ({ records: null, controls: [], version: version(), ...messages.toDocumentReply(history.packSince(callerVersion), opts.budget, opts.now()) })
  }
}
