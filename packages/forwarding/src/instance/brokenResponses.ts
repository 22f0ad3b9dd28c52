/** Responses whose connection is closed before they are complete. Each is counted once, when its connection closes. */
import type * as http from 'node:http'

/** Why the connection of a response was closed before the response was complete. */
export type BrokenCause =
  /** The endpoint broke the response off, and no other one could continue it. */
  | 'endpoint'
  /** The client closed the connection. */
  | 'client'
  /** The deadline passed after the response had begun. */
  | 'deadline'
  /** This instance stopped. */
  | 'stopping'
  /** This instance held too many bytes, most of them for this response. */
  | 'memory'
  /** The handling of the request threw an error after the response had begun. */
  | 'error'

const causes = new WeakMap<http.ServerResponse, BrokenCause>()

/** Notes why the connection of a response is about to be closed. Only the first cause counts. */
export function noteCause (res: http.ServerResponse, cause: BrokenCause): void {
  if (!causes.has(res)) causes.set(res, cause)
}

/** Returns the cause that was noted; a connection that this instance does not close is closed by the client. */
export function findCause (res: http.ServerResponse): BrokenCause {
  return causes.get(res) ?? 'client'
}

/** Calls back if the connection of a response is closed before the response was written. */
export function watch (res: http.ServerResponse, onBroken: (cause: BrokenCause) => void): void {
  res.once('close', () => { if (!res.writableFinished) onBroken(findCause(res)) })
}

/** Returns whether a cause is told by no other log line of the request. */
export function needsLine (cause: BrokenCause): boolean {
  switch (cause) {
    case 'stopping':
    case 'memory':
    case 'error': return true
    case 'endpoint':
    case 'client':
    case 'deadline': return false
  }
}
