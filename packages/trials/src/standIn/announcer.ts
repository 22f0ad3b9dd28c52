/** How a stand-in announces itself: to its owner as it was told, or to any instance it knows; with a lagged load. */
import * as undici from 'undici'
import * as contracts from '@kingcupdeck/contracts'

/** What is announced. */
export interface AnnouncerOptions {
  /** Base URLs of instances that it knows from its settings. */
  routers: readonly string[]
  token: string
  /** @returns the announcement as of now; the load in it is sent with a lag */
  toAnnouncement (seq: number): contracts.Announcement
}

/** The announcing of one endpoint. */
export interface Announcer {
  /** Announces at once, as when leaving. */
  announceNow (): Promise<void>
  stop (): void
}

const LOAD_LAG_ANNOUNCEMENTS = 1
const REQUEST_TIMEOUT_MS = 800

/**
 * Starts to announce.
 * @param opts what and to whom
 * @returns the announcing
 */
export function startAnnouncer (opts: AnnouncerOptions): Announcer {
  const loads: number[] = []
  let seq = 0
  let owner: string | undefined
  let intervalMs = contracts.ANNOUNCE_INTERVAL_MS
  let nextRouter = Math.floor(Math.random() * Math.max(1, opts.routers.length))
  const stopping = new AbortController()

  const send = async (url: string): Promise<contracts.AnnouncementReply | undefined> => {
    const current = opts.toAnnouncement(++seq)
    loads.push(current.load)
    const lagged = loads[Math.max(0, loads.length - 1 - LOAD_LAG_ANNOUNCEMENTS)]
    if (loads.length > LOAD_LAG_ANNOUNCEMENTS + 1) loads.shift()
    try {
      const res = await undici.request(`${url}/v1/announcements`, {
        method: 'POST',
        headers: { 'content-type': 'application/json', authorization: `Bearer ${opts.token}` },
        body: JSON.stringify({ ...current, load: lagged }),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS)
      })
      const body = await res.body.json()
      return res.statusCode === 200 ? contracts.announcementReply.parse(body) : undefined
    } catch {
      return undefined
    }
  }

  const announceNow = async (): Promise<void> => {
    for (let hops = 0; hops < 3; hops++) {
      const url = owner ?? opts.routers[nextRouter++ % opts.routers.length]
      const reply = await send(url)
      if (reply === undefined) {
        owner = undefined
        return
      }
      intervalMs = reply.intervalMs
      if (reply.owner === null || reply.owner === url) return
      owner = reply.owner
    }
  }

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      await announceNow()
      await new Promise(resolve => setTimeout(resolve, owner === undefined ? contracts.ANNOUNCE_INTERVAL_MS / 4 : intervalMs))
    }
  }
  void run()

  return { announceNow, stop: () => { stopping.abort() } }
}
