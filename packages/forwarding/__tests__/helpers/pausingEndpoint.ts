/** Endpoint that sends streams, and can pause like a stopped process or be lost. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as loopbackHosts from './loopbackHost.js'
import * as helper from './testEntry.js'

/** A request at an endpoint; times by the clock of the test. */
export interface Run {
  endpoint: string
  attempt: string
  /** Whether the endpoint was paused or lost at some time after the run began. */
  wasSilent: boolean
  /** Whether the endpoint broke it off. */
  wasCut: boolean
  /** When it began to run and the response headers were sent, undefined before. */
  beganAt: number | undefined
  /** When the response ended or the entry closed the connection, undefined before. */
  endedAt: number | undefined
}

/** An endpoint that can pause. */
export interface PausingEndpoint {
  endpoint: Pick<helper.TestEndpoint, 'id' | 'address'>
  runs: Run[]
  /** Stops working; connections are accepted by the system, or not. */
  pause: (isAccepting: boolean) => void
  resume: () => void
  /** Resets the open connections. */
  reset: () => void
  /** Opens a connection, which stays without a reply while the endpoint is paused without accepting any. */
  connect: () => net.Socket
  close: () => void
}

/** Options of {@link startPausingEndpoint}. */
export interface PausingEndpointOptions {
  events: number
  intervalMs: number
  /** Time from the headers to the first event. */
  firstEventMs: number
  now: () => number
}

/** Starts an endpoint. */
export async function startPausingEndpoint (id: string, opts: PausingEndpointOptions): Promise<PausingEndpoint> {
  const runs: Run[] = []
  const sockets = new Set<net.Socket>()
  let resumed: Promise<void> | undefined
  let onResume = (): void => {}
  let isAccepting = true
  const ready = async (): Promise<void> => {
    // It may pause again before this task continues.
    for (let pending = resumed; pending !== undefined; pending = resumed) await pending
  }

  const serve = async (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> => {
    const run: Run = { endpoint: id, attempt: req.headers['x-attempt'] as string, wasSilent: resumed !== undefined, wasCut: false, beganAt: undefined, endedAt: undefined }
    runs.push(run)
    res.on('close', () => { run.endedAt ??= opts.now() })
    await ready()
    if (res.destroyed) return
    helper.beginStream(req, res)
    res.flushHeaders()
    run.beganAt = opts.now()
    await timers.setTimeout(opts.firstEventMs)
    for (let event = Number(req.headers['last-event-id'] ?? 0) + 1; event <= opts.events; event++) {
      await ready()
      if (res.destroyed) return
      // An event may arrive in two parts.
      res.write(`id: ${event}\nda`)
      await timers.setTimeout(opts.intervalMs / 2)
      await ready()
      res.write(`ta: event ${event}\n\n`)
      await timers.setTimeout(opts.intervalMs / 2)
    }
    await ready()
    res.end()
  }

  const server = http.createServer((req, res) => {
    req.resume()
    req.on('end', () => { void serve(req, res) })
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
  })
  const host = loopbackHosts.nextHost()
  await new Promise<void>(resolve => { server.listen(0, host, resolve) })
  const { port } = server.address() as net.AddressInfo
  const openRuns = (): Run[] => runs.filter(item => item.endedAt === undefined)

  return {
    endpoint: { id, address: `${host}:${port}` },
    runs,
    pause (accepts) {
      isAccepting = accepts
      resumed ??= new Promise(resolve => { onResume = resolve })
      for (const run of openRuns()) run.wasSilent = true
    },
    resume () {
      isAccepting = true
      resumed = undefined
      onResume()
    },
    reset () {
      for (const run of openRuns()) run.wasCut = true
      for (const socket of sockets) socket.resetAndDestroy()
    },
    connect () {
      if (isAccepting) return net.connect({ host, port })
      const socket = new net.Socket()
      Object.defineProperty(socket, 'connecting', { value: true })
      return socket
    },
    close () {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

/** Returns the events of a whole stream. */
export function toEvents (count: number): string[] {
  return Array.from({ length: count }, (_, i) => `id: ${i + 1}\ndata: event ${i + 1}\n\n`)
}
