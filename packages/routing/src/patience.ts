/** Maximum queueing time of a request by priority and time of day. */
import * as contracts from '@kingcupdeck/contracts'

/** Applies when no patience window matches. */
export const DEFAULT_PATIENCE_MS = 20_000
const MINUTES_PER_DAY = 1440

/**
 * Returns the shortest wait among the patience windows that match the priority and the local time of day.
 * @param atMs wall-clock time, milliseconds since 1970
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

const formatters = new Map<string, Intl.DateTimeFormat>()

const lastMinutes = new Map<string, { epochMinute: number, minuteOfDay: number }>()

/** Caches the latest result per time zone, since formatting a date for every request is expensive. */
function toMinuteOfDay (timeZone: string, atMs: number): number {
  const epochMinute = Math.floor(atMs / 60_000)
  const cached = lastMinutes.get(timeZone)
  if (cached?.epochMinute === epochMinute) return cached.minuteOfDay
  const minuteOfDay = formatMinuteOfDay(timeZone, atMs)
  lastMinutes.set(timeZone, { epochMinute, minuteOfDay })
  return minuteOfDay
}

function formatMinuteOfDay (timeZone: string, atMs: number): number {
  let formatter = formatters.get(timeZone)
  if (formatter === undefined) {
    formatter = new Intl.DateTimeFormat('en-GB', { timeZone, hour: '2-digit', minute: '2-digit', hour12: false })
    formatters.set(timeZone, formatter)
  }
  return toMinutes(formatter.format(atMs)) % MINUTES_PER_DAY
}
