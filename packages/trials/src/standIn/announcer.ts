/** Announcements of an endpoint stand-in: to its owner if known, else to any configured router instance, with a delayed load. */
import * as undici from 'undici'
import * as contracts from '@kingcupdeck/contracts'

export interface AnnouncerOptions {
  /** Base URLs of the configured router instances. */
  routers: readonly string[]
  token: string
  /** Returns the current announcement; its load is replaced by that of an earlier announcement. */
  toAnnouncement (seq: number): contracts.Announcement
}

/** Periodic announcements of one endpoint. */
export interface Announcer {
  /** Announces now, in addition to the periodic announcements. */
  announceNow (): Promise<void>
  stop (): void
}

/** Number of announcements by which the announced load is delayed. */
const LOAD_LAG_ANNOUNCEMENTS = 1
const REQUEST_TIMEOUT_MS = 800

/** Starts to announce an endpoint at the interval that its owner asks for. */
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
