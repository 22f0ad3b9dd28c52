/** A stand-in for a runner: announces itself as PROTOCOL.md says, checks that a request is meant for it, and hands it to `serve`. */
import * as http from 'node:http'
import * as fleets from './fleet.mjs'

const HEARTBEAT_MS = 1200

/**
 * Starts a runner.
 * @param {{ id: string, ip: string, port: number, zone: string, service: string, slots: number, controls: object[], serve: (req: object, res: object, body: Buffer, headers: object) => void }} opts
 * `headers` are those of an answer of this runner, without the seal
 */
export async function startEndpoint (opts) {
  const { id, ip, port } = opts
  const born = Date.now()
  let seq = 0
  let isClosed = false
  const sockets = new Set()
  const server = http.createServer({ keepAliveTimeout: 20_000 }, (req, res) => {
    const chunks = []
    req.on('data', chunk => chunks.push(chunk))
    req.on('error', () => {})
    res.on('error', () => {})
    req.on('end', () => {
      const headers = { 'x-kingcupdeck-attempt-id': req.headers['x-kingcupdeck-attempt-id'] ?? '', 'x-kingcupdeck-instance-id': id }
      if (req.url === '/health') {
        res.writeHead(200, { ...headers, 'content-length': 0 }).end()
        return
      }
      const expected = req.headers['x-kingcupdeck-expect-instance']
      if (expected !== undefined && expected !== id) {
        res.writeHead(421, { ...headers, 'x-kingcupdeck-not-executed': '1', 'content-length': 0 }).end()
        return
      }
      opts.serve(req, res, Buffer.concat(chunks), headers)
    })
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { sockets.delete(socket) })
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, ip, resolve)
  })

  const announce = async () => {
    const body = JSON.stringify({ service: opts.service, address: `${ip}:${port}`, zone: opts.zone, version: 'v1', slots: opts.slots, state: 'ready', coldLeftMs: 0, stage: 'unified', models: [{ name: 'm', version: 1, adapters: [] }], seq: ++seq, born })
    for (const control of [...opts.controls].sort(() => Math.random() - 0.5)) {
      const answer = await fleets.call('PUT', `http://${control.ip}:${fleets.PORTS.control}/-/instances/${id}`, body).catch(() => undefined)
      if (answer?.status === 200) return true
    }
    return false
  }

  let isKnown = false
  for (let i = 0; i < 100 && !isKnown; i++) {
    isKnown = await announce()
    if (!isKnown) await fleets.sleep(100)
  }
  if (!isKnown) throw new Error(`no control instance acknowledged runner ${id}`)
  const timer = setInterval(() => { void announce() }, HEARTBEAT_MS)
  return {
    id,
    close () {
      if (isClosed) return
      isClosed = true
      clearInterval(timer)
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
