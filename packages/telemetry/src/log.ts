/** Log of numbered events through consola: one line per event, as text or JSON, with secrets redacted. */
import * as consola from 'consola/core'
import * as contracts from '@kingcupdeck/contracts'

/** Fields of an event. */
export type Fields = Record<string, string | number | boolean | null | undefined>

/** Writes numbered events. */
export interface Log {
  /** Logs an event of the catalogue. */
  event (name: contracts.EventName, fields?: Fields): void
}

/** Options of {@link createLog}. */
export interface LogOptions {
  /** Name of the process, included in every line. */
  instance: string
  /** Whether to write one JSON object per line instead of text. */
  json?: boolean
  /** The lowest severity that is written. */
  level?: contracts.Level | 'silent'
  /** Writes a line; standard error by default. */
  write?: (line: string) => void
}

const CONSOLA_LEVELS = { error: 0, warn: 1, info: 3, silent: -999 }
const SECRET_NAMES = /token|secret|authorization|password/i

/**
 * Creates a log.
 * @example
 * const log = createLog({ instance: 'r1', json: true })
 * log.event('started', { port: 8080 })
 */
export function createLog (opts: LogOptions): Log {
  const write = opts.write ?? ((line: string) => { process.stderr.write(line + '\n') })
  const format = opts.json ? toJsonLine : toTextLine
  const logger = consola.createConsola({
    level: CONSOLA_LEVELS[opts.level ?? 'info'],
    // Disables consola's merging of similar lines.
    throttle: 0,
    reporters: [{ log: entry => { write(format(opts.instance, entry.date, entry.args[0] as Entry)) } }]
  })
  return {
    event (name, fields = {}) {
      const spec = contracts.EVENTS[name]
      const entry: Entry = { name, code: spec.code, level: spec.level, text: spec.text, fields: redact(fields) }
      logger[spec.level](entry)
    }
  }
}

interface Entry { name: string, code: number, level: contracts.Level, text: string, fields: Fields }

function redact (fields: Fields): Fields {
  const redacted: Fields = {}
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) redacted[key] = SECRET_NAMES.test(key) ? '(left out)' : value
  }
  return redacted
}

function toJsonLine (instance: string, date: Date, entry: Entry): string {
  return JSON.stringify({ at: date.toISOString(), instance, code: entry.code, level: entry.level, event: entry.name, text: entry.text, ...entry.fields })
}

function toTextLine (instance: string, date: Date, entry: Entry): string {
  const fieldText = Object.entries(entry.fields).map(([key, value]) => `${key}=${String(value)}`).join(' ')
  return `${date.toISOString()} ${instance} ${entry.level} K${entry.code} ${entry.text}${fieldText === '' ? '' : ' ' + fieldText}`
}
