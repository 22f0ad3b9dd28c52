/** Responses that their clients have not read yet when the instance stops. */
import * as ava from 'ava'
import * as net from 'node:net'
import * as helper from './helpers/testEntry.js'

const test = ava.default
const BODY_BYTES = 7 * 1024 * 1024

// Guards against responses that are cut off at a stop because they are written, but not sent yet.
test('a response that its client reads slowly counts as open, and is complete after the instance stops to listen', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => {
    res.writeHead(200, { 'x-attempt': req.headers['x-attempt'] as string, 'x-seal': 's', 'content-length': BODY_BYTES })
    res.end(Buffer.alloc(BODY_BYTES, 'x'))
  })
  const entry = await helper.startEntry([helper.toRoute()], [endpoint])
  const [host, port] = entry.address.split(':')
  const socket = net.connect({ host, port: Number(port) })
  socket.pause()
  socket.write('GET /a/x HTTP/1.1\r\nHost: test.example\r\nX-Attempt: r1\r\nConnection: close\r\n\r\n')
  while (!entry.lines.some(line => line.event === 'requestEnded')) await new Promise(resolve => { setTimeout(resolve, 10) })
  await new Promise(resolve => { setTimeout(resolve, 100) })
  t.is(entry.server.openRequests(), 1)
  entry.server.stopListening()
  let bytes = 0
  socket.on('data', chunk => { bytes += chunk.length })
  socket.on('error', () => {})
  socket.resume()
  await new Promise(resolve => { socket.once('close', resolve) })
  t.true(bytes > BODY_BYTES, String(bytes))
  while (entry.server.openRequests() > 0) await new Promise(resolve => { setTimeout(resolve, 10) })
  entry.close()
  endpoint.close()
})

// Guards against a request that is cut off on its way because its connection counted as idle.
test('connections without requests close when the instance stops to listen, and those in use do not', async t => {
  const endpoint = await helper.startEndpoint('e1', (req, res) => { setTimeout(() => { helper.healthy(req, res, 1) }, 300) })
  const entry = await helper.startEntry([helper.toRoute({ kind: 'once' })], [endpoint])
  const [host, port] = entry.address.split(':')
  const open = async (text: string): Promise<{ received: Promise<string>, write: (text: string) => void }> => {
    const socket = net.connect({ host, port: Number(port) })
    let received = ''
    socket.on('data', chunk => { received += String(chunk) })
    socket.on('error', () => {})
    await new Promise(resolve => { socket.write(text, resolve) })
    return { received: new Promise(resolve => { socket.once('close', () => { resolve(received) }) }), write: text => socket.write(text) }
  }
  const head = 'POST /a/x HTTP/1.1\r\nHost: test.example\r\nConnection: close\r\nContent-Length: 2\r\nX-Attempt: '
  const [idle, unused] = await Promise.all([open('GET /a/x HTTP/1.1\r\nHost: test.example\r\nX-Attempt: r0\r\n\r\n'), open('')])
  await new Promise(resolve => { setTimeout(resolve, 500) })
  const [running, half] = await Promise.all([open(`${head}r1\r\n\r\nok`), open(`${head}r2\r\n\r\no`)])
  await new Promise(resolve => { setTimeout(resolve, 100) })
  entry.server.stopListening()
  half.write('k')
  unused.write(`${head}r3\r\n\r\nok`)
  t.regex(await idle.received, /^HTTP\/1\.1 200 /)
  t.regex(await unused.received, /^HTTP\/1\.1 200 /)
  t.regex(await running.received, /^HTTP\/1\.1 200 /)
  t.regex(await half.received, /^HTTP\/1\.1 200 /)
  entry.close()
  endpoint.close()
})
