/** Endpoints that were taken for crashed and respond again under the same start; on virtual time. */
import * as ava from 'ava'
import * as crashQuarantines from '../src/quarantine/crashQuarantine.js'
import type * as crashReports from '../src/quarantine/crashReport.js'

const test = ava.default
const STALL_MS = 500
const PAUSE_MS = 5000
const ENDPOINTS = ['e1', 'e2', 'e3']

interface Setup {
  quarantine: crashQuarantines.CrashQuarantine
  /** Quarantine of another instance, which receives the reports at once. */
  other: crashQuarantines.CrashQuarantine
  /** Reports that were sent to other instances. */
  reports: crashReports.CrashReport[]
  /** Loses a request at an endpoint that does not respond to a probe. */
  stall: (endpoint: string) => void
  /** Sends another request to an endpoint, which responds. */
  respond: (endpoint: string) => void
  now: () => number
  wait: (ms: number) => void
}

function createSetup (): Setup {
  const reports: crashReports.CrashReport[] = []
  const other = crashQuarantines.createCrashQuarantine()
  const quarantine = crashQuarantines.createCrashQuarantine({
    send (list) {
      reports.push(...list)
      other.merge(list, at, 'first')
    }
  })
  let at = 0
  return {
    quarantine,
    other,
    reports,
    stall (endpoint) {
      quarantine.startRun(['x'], endpoint, at).end('lost', at)
      quarantine.confirmDown(endpoint, at, 'silent')
    },
    respond (endpoint) { quarantine.confirmUp(endpoint, at, at) },
    now: () => at,
    wait (ms) { at += ms }
  }
}

function stallAll ({ stall, respond, wait }: Setup): void {
  for (const endpoint of ENDPOINTS) {
    stall(endpoint)
    wait(STALL_MS)
    respond(endpoint)
    wait(PAUSE_MS)
  }
}

// Guards against a quarantine because of endpoints that only stalled.
test('a request that was lost at stalled endpoints is not quarantined', t => {
  const setup = createSetup()
  stallAll(setup)
  t.false(setup.quarantine.isQuarantined(['x'], setup.now()))
})

// Guards against a repeated report of an instance that has not heard of the response.
test('other instances do not quarantine it either', t => {
  const setup = createSetup()
  const { other } = setup
  stallAll(setup)
  t.false(other.isQuarantined(['x'], setup.now()))
  other.merge(setup.reports.filter(item => item.crashed.length > 0).map(item => ({ ...item, agoMs: ENDPOINTS.length * PAUSE_MS })), setup.now(), 'late')
  t.false(other.isQuarantined(['x'], setup.now()))
})

// Guards against an endpoint that restarts under its id and responds before its new start is announced.
test('crashes count if a later start of the endpoints is announced after all', t => {
  const setup = createSetup()
  const { quarantine, other, stall, respond, now, wait } = setup
  for (const endpoint of ENDPOINTS) {
    stall(endpoint)
    wait(STALL_MS)
    respond(endpoint)
    for (const instance of [quarantine, other]) instance.confirmDown(endpoint, now(), 'restarted')
    wait(PAUSE_MS)
  }
  t.true(quarantine.isQuarantined(['x'], now()))
  other.merge(quarantine.toReports(now()), now(), 'first')
  t.true(other.isQuarantined(['x'], now()), 'by the reports that are repeated')
})

// Guards against taking a response that was under way for one after the crash.
test('a response to a request that was sent before the crash does not excuse the endpoint', t => {
  const { quarantine, stall, wait, now } = createSetup()
  for (const endpoint of ENDPOINTS) {
    const sentAt = now()
    wait(1)
    stall(endpoint)
    quarantine.confirmUp(endpoint, sentAt, now())
    wait(PAUSE_MS)
  }
  t.true(quarantine.isQuarantined(['x'], now()))
})

// Guards against a response that broke off, after which the request succeeded, and a crash of its endpoint seconds later.
test('a loss before a completed run does not become a crash', t => {
  const { quarantine, wait, now } = createSetup()
  for (const endpoint of ENDPOINTS) {
    quarantine.startRun(['x'], endpoint, now()).end('lost', now())
    wait(STALL_MS)
    quarantine.startRun(['x'], 'e4', now()).end('completed', now())
    wait(STALL_MS)
    quarantine.confirmDown(endpoint, now(), 'refused')
    wait(PAUSE_MS)
  }
  t.false(quarantine.isQuarantined(['x'], now()))
})

test('a loss on a lost path does not become a crash', t => {
  const { quarantine, wait, now } = createSetup()
  for (const endpoint of ENDPOINTS) {
    quarantine.startRun(['x'], endpoint, now()).end('lost', now())
    quarantine.excuse(endpoint)
    wait(STALL_MS)
    quarantine.confirmDown(endpoint, now(), 'restarted')
    wait(PAUSE_MS)
  }
  t.false(quarantine.isQuarantined(['x'], now()))
})
