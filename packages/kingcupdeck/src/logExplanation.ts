/** Finds the cause of a failed request in the logs of several instances, joined by the request's id. */
import * as z from 'zod'

const logLine = z.looseObject({ at: z.string(), instance: z.string(), event: z.string() })
/** A line of a log. */
export type LogLine = z.infer<typeof logLine>

/** What the logs say of a request. */
export interface Explanation {
  /** The lines that name the request. */
  own: LogLine[]
  /** What the same instances and the control instances noted of the endpoints that were tried, shortly before and after. */
  around: LogLine[]
  /** One sentence for people. */
  cause: string
}

/** Events this long before and after a request are shown with it. */
const CONTEXT_WINDOW_MS = 10_000

/**
 * Reads log lines; text that is no line of ours is passed over.
 * @param text the content of a log, which may have something before each line
 * @returns the lines
 */
export function parseLogLines (text: string): LogLine[] {
  return text.split('\n').flatMap(raw => {
    const from = raw.indexOf('{')
    if (from < 0) return []
    try {
      const parsed = logLine.safeParse(JSON.parse(raw.slice(from)))
      return parsed.success ? [parsed.data] : []
    } catch {
      return []
    }
  })
}

/**
 * Explains a request.
 * @param lines lines of all instances, in any order
 * @param request the request's id
 * @returns what they say
 */
export function explainRequest (lines: readonly LogLine[], request: string): Explanation {
  const own = lines.filter(item => item.request === request).sort(byTime)
  if (own.length === 0) return { own, around: [], cause: 'no instance logged this request: it did not arrive, or its line was left out (see event linesDropped)' }
  const last = own[own.length - 1]
  const at = Date.parse(last.at)
  const endpoints = toText(last.attempts).split('; ').map(item => item.split(' ')[0]).filter(item => item !== '')
  const around = lines
    .filter(item => Math.abs(Date.parse(item.at) - at) < CONTEXT_WINDOW_MS && (endpoints.includes(toText(item.endpoint)) || endpoints.includes(toText(item.id)) || isInstanceEvent(item, last.instance)))
    .sort(byTime)
  return { own, around, cause: toCause(last, around) }
}

function toCause (last: LogLine, around: readonly LogLine[]): string {
  const location = `at ${last.instance}, document version ${toText(last.document) || 'none'}`
  if (last.event === 'requestRefused') return `refused with ${toText(last.status)} before any endpoint was tried: ${toText(last.why)} (${location})`
  const outcome = toText(last.outcome)
  const tried = toText(last.attempts) === '' ? 'no endpoint was tried' : `tried: ${toText(last.attempts)}`
  const downEndpoints = around.filter(item => item.event === 'endpointGone').map(item => `${toText(item.endpoint)} (${toText(item.why)})`)
  const downSuffix = downEndpoints.length === 0 ? '' : `; found down around then: ${[...new Set(downEndpoints)].join(', ')}`
  return `ended with "${outcome}" after ${toText(last.totalMs)} of ${toText(last.waitMs)} ms; ${tried}${downSuffix} (${location})`
}

function isInstanceEvent (item: LogLine, instance: string): boolean {
  return item.instance === instance && ['controlLost', 'controlFound', 'documentInForce', 'stopping', 'started', 'linesDropped', 'uncaught'].includes(item.event)
}

function byTime (left: LogLine, right: LogLine): number {
  return Date.parse(left.at) - Date.parse(right.at)
}

function toText (value: unknown): string {
  return value === undefined || value === null ? '' : String(value)
}
