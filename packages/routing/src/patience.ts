/** How long a request of some priority may wait at this time of day. */
import * as contracts from '@kingcupdeck/contracts'

/** Without a window, a request waits this long at most. */
export const DEFAULT_PATIENCE_MS = 20_000

/**
 * Finds the patience in force.
 * @param doc the document
 * @param priority the request's priority
 * @param atMs wall-clock time
 * @returns milliseconds
 */
export function toPatienceMs (doc: contracts.Document, priority: string, atMs: number): number {
  const minute = toMinuteOfDay(doc.timeZone, atMs)
  const windows = Object.values(doc.patience).filter(item => item.priority === priority && isWithin(item, minute))
  if (windows.length === 0) return DEFAULT_PATIENCE_MS
  return Math.min(...windows.map(item => item.waitSeconds)) * 1000
}

function isWithin (window: contracts.PatienceWindow, minute: number): boolean {
  const from = toMinutes(window.from)
  const to = toMinutes(window.to)
  if (from === to) return true
  if (from < to) return minute >= from && minute < to
  return minute >= from || minute < to
}

function toMinutes (clock: string): number {
  const [hour, minute] = clock.split(':').map(Number)
  return hour * 60 + minute
}

const formats = new Map<string, Intl.DateTimeFormat>()

const latest = new Map<string, { epochMinute: number, minuteOfDay: number }>()

/** Asked for each request; worked out once a minute and time zone. */
function toMinuteOfDay (timeZone: string, atMs: number): number {
  const epochMinute = Math.floor(atMs / 60_000)
  const known = latest.get(timeZone)
  if (known?.epochMinute === epochMinute) return known.minuteOfDay
  const minuteOfDay = formatMinuteOfDay(timeZone, atMs)
  latest.set(timeZone, { epochMinute, minuteOfDay })
  return minuteOfDay
}

function formatMinuteOfDay (timeZone: string, atMs: number): number {
  let format = formats.get(timeZone)
  if (format === undefined) {
    format = new Intl.DateTimeFormat('en-GB', { timeZone, hour: '2-digit', minute: '2-digit', hour12: false })
    formats.set(timeZone, format)
  }
  return toMinutes(format.format(atMs)) % 1440
}
