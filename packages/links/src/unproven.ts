/**
 * Accepted connections whose peer has not proven the fleet secret yet. Anyone can open one, so their number is limited: at the limit, the
 * oldest one is closed for a new one. Connections that have sent a valid first frame are closed last, so that peers which take their time,
 * as many do that start at once, are not closed for connections that say nothing.
 */
import type * as net from 'node:net'
import * as telemetry from '@kingcupdeck/telemetry'

/** More than the peers of an instance in the largest fleet, which may all dial at once. */
export const MAX_UNPROVEN = 512
const LOG_INTERVAL_MS = 10_000

/** Connections without a proof. */
export interface UnprovenConnections {
  /** Adds a connection; closes another one at the limit. */
  add (socket: net.Socket): void
  /** Notes that a connection has sent a valid first frame. */
  noteHello (socket: net.Socket): void
  /** Removes a connection that has proven itself or is closed. */
  remove (socket: net.Socket): void
}

/** Creates the set of a listening socket, empty. */
export function createUnprovenConnections (log: telemetry.Log): UnprovenConnections {
  /** In the order in which they were added. */
  const silent = new Set<net.Socket>()
  const greeted = new Set<net.Socket>()
  const toUnlogged = telemetry.createLineLimit(LOG_INTERVAL_MS)

  const closeOldest = (): void => {
    const [oldest] = silent.size > 0 ? silent : greeted
    silent.delete(oldest)
    greeted.delete(oldest)
    const unlogged = toUnlogged()
    if (unlogged !== undefined) log.event('linksCrowded', { address: oldest.remoteAddress ?? '', limit: MAX_UNPROVEN, unlogged })
    oldest.destroy()
  }

  return {
    add (socket) {
      if (silent.size + greeted.size >= MAX_UNPROVEN) closeOldest()
      silent.add(socket)
    },
    noteHello (socket) {
      if (silent.delete(socket)) greeted.add(socket)
    },
    remove (socket) {
      silent.delete(socket)
      greeted.delete(socket)
    }
  }
}
