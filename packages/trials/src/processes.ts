/** Child processes of a test run; all are killed when the run exits. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'

/** Root folder of the repository. */
export const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../../..')
const CLI_FILE = path.join(ROOT, 'packages/kingcupdeck/bin/kingcupdeck.js')
const STAND_IN_FILE = path.join(ROOT, 'packages/trials/dist/src/standIn/main.js')

/** One child process. */
export interface TrialProcess {
  readonly name: string
  isRunning (): boolean
  /** Sends SIGKILL and waits for the exit. */
  kill (): Promise<void>
  /** Suspends the process with SIGSTOP. */
  freeze (): void
  /** Resumes a frozen process. */
  thaw (): void
  /** Whether the program handles SIGHUP yet; always true where the system does not tell. */
  handlesSignals (): boolean
  /** Sends SIGHUP, as when a terminal is closed. */
  hangUp (): void
  /** Sends SIGTERM and returns the exit code. */
  stop (): Promise<number | null>
}

/** Hexadecimal digits of the mask of caught signals that hold the first 16 of them. */
const SIGNAL_DIGITS = 4
const SIGHUP_BIT = 1 << (os.constants.signals.SIGHUP - 1)

const running = new Set<childProcess.ChildProcess>()
process.on('exit', () => { for (const child of running) child.kill('SIGKILL') })

/**
 * Starts a Node.js script.
 * @param name names the log file
 * @param logFolder folder of the file that receives standard output and standard error
 */
export function startProcess (name: string, script: string, args: string[], logFolder: string): TrialProcess {
  fs.mkdirSync(logFolder, { recursive: true })
  const out = fs.openSync(path.join(logFolder, `${name}.log`), 'a')
  const child = childProcess.spawn(process.execPath, [script, ...args], { stdio: ['ignore', out, out] })
  fs.closeSync(out)
  running.add(child)
  const exited = new Promise<number | null>(resolve => {
    child.once('exit', code => {
      running.delete(child)
      resolve(code)
    })
  })
  return {
    name,
    isRunning: () => running.has(child),
    async kill () {
      child.kill('SIGKILL')
      await exited
    },
    freeze () { child.kill('SIGSTOP') },
    thaw () { child.kill('SIGCONT') },
    handlesSignals: () => isCaught(child.pid),
    hangUp () { child.kill('SIGHUP') },
    async stop () {
      child.kill('SIGTERM')
      return await exited
    }
  }
}

/** Returns whether a process has a handler for SIGHUP; Node.js itself has none. */
function isCaught (pid: number | undefined): boolean {
  try {
    const caught = /^SigCgt:\s*([0-9a-f]+)$/m.exec(fs.readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? ''
    return (parseInt(caught.slice(-SIGNAL_DIGITS), 16) & SIGHUP_BIT) !== 0
  } catch {
    return !fs.existsSync('/proc/self/status')
  }
}

/** Starts a router or control instance with the given flags. */
export function startInstance (name: string, command: string, flags: Record<string, string>, logFolder: string): TrialProcess {
  const args = Object.entries(flags).flatMap(([key, value]) => [`--${key}`, value])
  return startProcess(name, CLI_FILE, [command, ...args], logFolder)
}

/** Starts a stand-in process. */
export function startStandIn (name: string, opts: unknown, logFolder: string): TrialProcess {
  return startProcess(name, STAND_IN_FILE, [JSON.stringify(opts)], logFolder)
}

/** Start of a range below the ephemeral ports, so that no outgoing connection takes a port before it is used. */
const FIRST_PORT = 20_000
const PORT_COUNT = 12_000

/** Finds distinct ports that nothing listens on now. */
export async function findPorts (count: number): Promise<number[]> {
  const ports = new Set<number>()
  while (ports.size < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT)
    if (!ports.has(port) && await isFree(port)) ports.add(port)
  }
  return [...ports]
}

async function isFree (port: number): Promise<boolean> {
  return await new Promise(resolve => {
    const server = net.createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, '127.0.0.1', () => { server.close(() => { resolve(true) }) })
  })
}
