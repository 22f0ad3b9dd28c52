/**
 * Keeps acknowledged documents in the handout files of all control instances that can be reached: after a loss of all processes, entry
 * instances serve by the handout of the first instance that starts, and a majority may start late.
 */
import * as timers from 'node:timers/promises'
import * as z from 'zod'
import * as links from '@kingcupdeck/links'
import type * as documentCalls from './documentCall.js'
import type * as handoutFiles from './handoutFile.js'

/** Reply to a call that keeps a document. */
export const keepReply = z.object({ version: z.number() })
/** Reply to a call that keeps a document. */
export type KeepReply = z.infer<typeof keepReply>

/** Returns once the handout file of this instance has a version of the document or a later one. */
export type KeepDocument = (version: number) => Promise<KeepReply>

/**
 * How long an acknowledgement waits for the handout files, and a handout file for its document: more than the two syncs of a replaced file
 * on a slow disk, after those of a write in progress. An instance that takes longer may hand out an older document.
 */
export const KEEP_TIMEOUT_MS = 700
const POLL_INTERVAL_MS = 5

/** Options of {@link createKeepDocument}. */
export interface KeepDocumentOptions {
  /** Returns the version of the local document, which is committed; 0 without one. */
  version: () => number
  file: Pick<handoutFiles.HandoutFile, 'saveNow' | 'writtenVersion'>
  /** Milliseconds. */
  timeoutMs: number
}

/** Creates the function that keeps documents in the handout file of this instance. It throws if that takes too long. */
export function createKeepDocument (opts: KeepDocumentOptions): KeepDocument {
  return async version => {
    const deadline = performance.now() + opts.timeoutMs
    while (opts.file.writtenVersion() < version) {
      const leftMs = deadline - performance.now()
      if (leftMs <= 0) throw new Error(`version ${version} is not in the handout file after ${opts.timeoutMs} ms: the local document is version ${opts.version()}`)
      if (opts.version() >= version) await links.withTimeout(opts.file.saveNow(), leftMs, 'the handout file was not written')
      // A write that failed is repeated later.
      if (opts.file.writtenVersion() < version) await timers.setTimeout(POLL_INTERVAL_MS)
    }
    return { version: opts.file.writtenVersion() }
  }
}

/** Options of {@link createFleetKeeping}. */
export interface FleetKeepingOptions {
  keep: KeepDocument
  /** Inner addresses of the other control instances. */
  peerAddresses: () => readonly string[]
  /** Returns a link to another control instance. */
  getPeerLink: (address: string) => Promise<links.Link>
  /** Milliseconds. */
  timeoutMs: number
}

/**
 * Creates a function that waits until all control instances that can be reached keep a committed document, but no longer than the given
 * time. It never rejects. An instance that did not answer, as one that is down or of an earlier version, is asked but not waited for until
 * it has answered again.
 */
export function createFleetKeeping (opts: FleetKeepingOptions): (version: number, timeoutMs: number) => Promise<void> {
  /** The latest version that each instance is known to keep. */
  const keptBy = new Map<string, number>()
  /** Instances that did not answer the latest call. */
  const silent = new Set<string>()

  const keepAt = async (address: string, version: number): Promise<void> => {
    if ((keptBy.get(address) ?? 0) >= version) return
    try {
      const link = await opts.getPeerLink(address)
      const reply = keepReply.parse(await link.call({ t: 'keep', version } satisfies documentCalls.DocumentCall, opts.timeoutMs))
      keptBy.set(address, Math.max(keptBy.get(address) ?? 0, reply.version))
      silent.delete(address)
    } catch {
      // It takes the document from the log later.
      silent.add(address)
    }
  }

  return async (version, timeoutMs) => {
    const awaited = [opts.keep(version).catch(() => {})]
    for (const address of opts.peerAddresses()) {
      const wasSilent = silent.has(address)
      const kept = keepAt(address, version)
      if (!wasSilent) awaited.push(kept)
    }
    const kept = Promise.all(awaited)
    await Promise.race([kept, timers.setTimeout(Math.min(opts.timeoutMs, timeoutMs), undefined, { ref: false })])
  }
}
