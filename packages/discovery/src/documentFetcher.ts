/**
 * How an entry instance comes by the latest document: from the control instances that it listens to, and from other entry
 * instances, to which it hands on what it holds.
 *
 * Load pattern: a document has grown by two thousand routes, and 65 instances want it from nine control instances on links of a few
 * Mbit/s, some of which restart, are cut off or stand still. Control instances alone take seconds; every instance that has it
 * halves what is left.
 */
import * as timers from 'node:timers/promises'
import * as contracts from '@kingcupdeck/contracts'
import * as links from '@kingcupdeck/links'
import * as telemetry from '@kingcupdeck/telemetry'
import * as documentHistories from './documentHistory.js'
import * as messages from './messages.js'
import type * as sendBudgets from './sendBudget.js'

/** An instance that may be asked for the document. */
export interface DocumentSource {
  address: string
  /** The version that it said it holds. */
  version: number
  getLink: () => Promise<links.Link>
  /** Whether the link is opened for this and closed after it. */
  isLinkTemporary?: boolean
  /** Told when it did not hand out what it said it holds. */
  onFailure: (why: string) => void
}

/** What a fetcher is built from. */
export interface DocumentFetcherOptions {
  /** Control instances that this instance listens to, the one to be asked first before others. */
  controls: () => DocumentSource[]
  /** Inner addresses of the other entry instances, in random order. */
  peerAddresses: () => readonly string[]
  /** @returns a link to another entry instance */
  getPeerLink: (address: string) => Promise<links.Link>
  /** Takes a newer document, with the time since it was first heard of, milliseconds. */
  onDocument: (document: contracts.VersionedText, waitedMs: number) => void
  /** How much of its link this instance may fill with documents for others. */
  budget: sendBudgets.SendBudget
  signal: AbortSignal
  log: telemetry.Log
  now: () => number
}

/** Holds the latest document that this instance came by. */
export interface DocumentFetcher {
  /** @returns the version that is held, 0 without one */
  version (): number
  /** @returns the newest version that any instance said it holds */
  newestVersion (): number
  /** Takes a document that came with another answer. */
  accept (packed: contracts.PackedText | null): void
  /** Asks for the document over a link. @returns the answer, whose document was taken */
  fetchOver (link: links.Link): Promise<messages.DiscoveryReply>
  /** Notes the version that another entry instance holds. */
  notePeerVersion (address: string, version: number): void
  /** Fetches the document after a while, if a newer one is known then. */
  scheduleFetch (ms: number): void
  /** Answers another instance that holds a version. */
  toReply (version: number): messages.DiscoveryReply
}

/** A whole document of a megabyte is a tenth of that packed: 0.2 s on a link of 4 Mbit/s, the rest is for other traffic there. */
const FETCH_TIMEOUT_MS = 1000
/** An instance that has not answered for this long is asked no further; another one is asked beside it. */
const HEDGE_DELAY_MS = 300
/** Pause before the next instance is asked, after one that had nothing to give. */
const RETRY_PAUSE_MS = 60

/**
 * Creates a fetcher.
 * @param opts whom to ask, and who takes the document
 * @returns the fetcher, without a document
 */
export function createDocumentFetcher (opts: DocumentFetcherOptions): DocumentFetcher {
  const history = documentHistories.createDocumentHistory()
  const peerVersions = new Map<string, number>()
  /** Addresses that were asked and have not answered yet. */
  const pendingAddresses = new Set<string>()
  let latest: contracts.VersionedText | null = null
  let isFetching = false
  let timer: NodeJS.Timeout | undefined
  let newerKnownAt: number | undefined

  const version = (): number => latest?.version ?? 0

  const toPeer = (address: string): DocumentSource => ({
    address,
    version: peerVersions.get(address) ?? 0,
    getLink: async () => await opts.getPeerLink(address),
    onFailure (why) {
      peerVersions.delete(address)
      opts.log.event('documentNotFetched', { address, why })
    }
  })

  const peers = (): DocumentSource[] => opts.peerAddresses().map(toPeer)

  const newestVersion = (): number => Math.max(0, ...[...opts.controls(), ...peers()].map(item => item.version))

  const accept = (packed: contracts.PackedText | null): void => {
    if (packed === null || packed.version <= version()) return
    const document = contracts.unpackText(packed, latest)
    // The difference from a document that was replaced here while the answer was under way; the whole is fetched next.
    if (document === undefined) return
    latest = document
    history.add(document, packed)
    const waitedMs = newerKnownAt === undefined ? 0 : opts.now() - newerKnownAt
    newerKnownAt = undefined
    opts.onDocument(document, waitedMs)
  }

  const fetchOver = async (link: links.Link): Promise<messages.DiscoveryReply> => {
    const call: messages.DiscoveryCall = { t: 'fetch', version: version() }
    const reply = messages.discoveryReply.parse(await link.call(call, FETCH_TIMEOUT_MS))
    accept(reply.document)
    return reply
  }

  const fetchFrom = async (source: DocumentSource): Promise<void> => {
    const before = version()
    pendingAddresses.add(source.address)
    try {
      const link = await source.getLink()
      const reply = await fetchOver(link).finally(() => { if (source.isLinkTemporary === true) link.close() })
      // Guards against asking without end where the document that was announced is not handed out.
      if (source.version > before && version() === before && reply.isBusy !== true) source.onFailure('its document did not come')
    } catch (err) {
      source.onFailure(`its document could not be fetched: ${err instanceof Error ? err.message : String(err)}`)
    } finally {
      pendingAddresses.delete(source.address)
    }
  }

  /** Control instances and other entry instances by turns, those that hold a newer document before the others. */
  const pickSource = (turn: number): DocumentSource | undefined => {
    const isFree = (item: DocumentSource): boolean => !pendingAddresses.has(item.address)
    const isAhead = (item: DocumentSource): boolean => isFree(item) && item.version > version()
    const controls = opts.controls()
    const others = peers()
    const control = controls.find(isAhead)
    const peer = others.find(isAhead) ?? others.find(isFree)
    return turn % 2 === 0 ? control ?? peer : peer ?? control
  }

  const fetchUntilCurrent = async (): Promise<void> => {
    if (isFetching) return
    isFetching = true
    try {
      for (let turn = 0; !opts.signal.aborted && newestVersion() > version(); turn++) {
        newerKnownAt ??= opts.now()
        const source = pickSource(turn)
        if (source !== undefined) await Promise.race([fetchFrom(source), timers.setTimeout(HEDGE_DELAY_MS, undefined, { ref: false })])
        if (newestVersion() > version()) await timers.setTimeout(RETRY_PAUSE_MS, undefined, { ref: false })
      }
    } finally {
      isFetching = false
    }
  }

  return {
    version,
    newestVersion,
    accept,
    fetchOver,
    notePeerVersion (address, said) {
      peerVersions.set(address, said)
    },
    scheduleFetch (ms) {
      if (newestVersion() <= version()) return
      newerKnownAt ??= opts.now()
      if (ms === 0) {
        void fetchUntilCurrent()
        return
      }
      timer ??= setTimeout(() => {
        timer = undefined
        void fetchUntilCurrent()
      }, ms).unref()
    },
    toReply: since => ({ records: null, controls: [], version: version(), ...messages.toDocumentReply(history.packSince(since), opts.budget, opts.now()) })
  }
}
