/** Browser script of the console, served without a build step. */
import * as scriptForms from './scriptForms.js'

/** Source of `/console.js`. */
export const SCRIPT = String.raw`'use strict'
const PARTS = {
  services: 'Services',
  clientAccounts: 'Client accounts',
  priorities: 'Priorities',
  patience: 'Patience windows',
  models: 'Models',
  carriages: 'Model assignments',
  zones: 'Availability zones',
  operators: 'Operators'
}
const app = { token: '', schema: null, base: 0, document: null, draft: null, faults: [], part: 'fleet', timer: 0 }
const byId = id => document.getElementById(id)

function el (tag, props = {}, ...children) {
  const node = document.createElement(tag)
  for (const [key, value] of Object.entries(props)) {
    if (key.startsWith('on')) node.addEventListener(key.slice(2), value)
    else if (value !== undefined && value !== false) node.setAttribute(key, value === true ? '' : value)
  }
  node.append(...children.filter(child => child !== undefined))
  return node
}

async function call (method, path, body) {
  const res = await fetch(path, { method, headers: { authorization: 'Bearer ' + app.token, 'content-type': 'application/json' }, body: body === undefined ? undefined : JSON.stringify(body) })
  return { status: res.status, body: await res.json() }
}

const copy = value => JSON.parse(JSON.stringify(value))
const isSame = (left, right) => JSON.stringify(left) === JSON.stringify(right)

async function signIn () {
  app.token = byId('token').value
  const reply = await call('GET', '/v1/config')
  if (reply.status !== 200) {
    byId('loginFault').textContent = reply.body.error.message
    return
  }
  app.schema = (await call('GET', '/v1/schema')).body
  takeDocument(reply.body.version, reply.body.document)
  byId('login').hidden = true
  byId('work').hidden = false
  drawTabs()
  show('fleet')
}

function takeDocument (version, doc) {
  app.base = version
  app.document = doc
  app.draft = copy(doc)
  app.faults = []
}

function drawTabs () {
  const tabs = [['fleet', 'Fleet'], ...Object.entries(PARTS)]
  byId('tabs').replaceChildren(...tabs.map(([part, title]) => el('button', { type: 'button', role: 'tab', id: 'tab-' + part, 'aria-selected': String(part === app.part), onclick: () => show(part) }, title)))
}

function show (part) {
  app.part = part
  clearInterval(app.timer)
  for (const id of ['review', 'conflict']) byId(id).hidden = true
  byId('panel').hidden = false
  drawTabs()
  drawState()
  if (part === 'fleet') {
    drawFleet()
    app.timer = setInterval(drawFleet, 2000)
  } else drawPart(part)
}

function drawState () {
  const count = listChanges(app.document, app.draft).length
  byId('state').textContent = 'Based on version ' + app.base + '. ' + (count === 0 ? 'No changes.' : count + ' unsubmitted change(s).')
  byId('check').disabled = count === 0
}

/* ---- forms generated from the schema ---- */

function drawPart (part) {
  const itemSchema = resolve(app.schema.properties[part].additionalProperties)
  const entries = Object.entries(app.draft[part]).map(([id, value]) => drawEntry(part, id, value, itemSchema))
  const name = el('input', { id: 'newId', 'aria-label': 'Id of the new entry', placeholder: 'id of the new entry' })
  const add = el('button', { type: 'button', id: 'add', onclick: () => addEntry(part, name.value, itemSchema) }, 'Add')
  byId('panel').replaceChildren(el('h2', {}, PARTS[part]), ...entries, el('div', { class: 'field' }, name, add))
}

function addEntry (part, id, schema) {
  if (id === '' || id in app.draft[part]) return
  app.draft[part][id] = toBlank(schema)
  drawPart(part)
  drawState()
  byId('entry-' + part + '-' + id).open = true
}

function drawEntry (part, id, value, schema) {
  const title = typeof value.title === 'string' && value.title !== '' ? id + ': ' + value.title : id
  const remove = el('button', { type: 'button', onclick: () => { delete app.draft[part][id]; drawPart(part); drawState() } }, 'Remove ' + id)
  const hasFault = app.faults.some(fault => fault.path.startsWith(part + '.' + id + '.'))
  return el('details', { id: 'entry-' + part + '-' + id, open: hasFault }, el('summary', {}, title), ...drawValue(value, schema, [part, id], next => { app.draft[part][id] = next }), remove)
}

${scriptForms.SCRIPT_FORMS}
/* ---- review, submission, conflicts ---- */

function listChanges (from, to) {
  const changes = []
  for (const part of Object.keys(to)) {
    const isEntries = part in PARTS
    const keys = isEntries ? [...new Set([...Object.keys(from[part]), ...Object.keys(to[part])])] : [null]
    for (const key of keys) {
      const before = key === null ? from[part] : from[part][key]
      const after = key === null ? to[part] : to[part][key]
      if (!isSame(before, after)) changes.push({ part, key, before, after })
    }
  }
  return changes
}

const toName = change => (PARTS[change.part] || change.part) + (change.key === null ? '' : ', ' + change.key)
const toText = value => value === undefined ? '(absent)' : JSON.stringify(value, null, 2)

function drawSides (changes, left, right) {
  return changes.map(change => el('div', {}, el('h3', {}, toName(change)), el('div', { class: 'sides' }, el('div', {}, left, el('pre', {}, toText(change.before))), el('div', {}, right, el('pre', {}, toText(change.after))))))
}

async function review () {
  const reply = await call('POST', '/v1/config/check', app.draft)
  app.faults = reply.body.faults || []
  if (app.faults.length > 0) {
    const part = app.faults[0].path.split('.')[0]
    show(part in PARTS ? part : 'services')
    byId('state').textContent = app.faults.length + ' fault(s): ' + app.faults.map(fault => fault.path + ' ' + fault.message).join('; ')
    const first = document.querySelector('[aria-invalid=true]')
    if (first !== null) first.focus()
    return
  }
  byId('panel').hidden = true
  byId('review').hidden = false
  byId('diff').replaceChildren(...drawSides(listChanges(app.document, app.draft), 'Current', 'Proposed'))
  byId('send').focus()
}

async function send () {
  const operation = crypto.randomUUID ? crypto.randomUUID() : String(Math.random()).slice(2)
  let reply
  /* Retries with the same operation id return the original result, so a lost answer can be retried safely. */
  for (let tries = 0; tries < 3 && reply === undefined; tries++) reply = await call('PUT', '/v1/config?base=' + app.base + '&operation=' + operation, app.draft).catch(() => undefined)
  if (reply === undefined) {
    byId('state').textContent = 'No answer from the control instance. Your changes are kept; submit again.'
    return
  }
  if (reply.status === 409) {
    showConflict(reply.body.current)
    return
  }
  if (reply.status !== 200) {
    byId('state').textContent = reply.body.error.message
    return
  }
  takeDocument(reply.body.version, copy(app.draft))
  show('fleet')
  byId('state').textContent = 'Version ' + reply.body.version + ' was accepted.'
}

function showConflict (current) {
  app.current = current
  byId('review').hidden = true
  byId('conflict').hidden = false
  byId('conflictText').textContent = 'Your draft is based on version ' + app.base + '; the current version is ' + current.version + '.'
  byId('sides').replaceChildren(...drawSides(listChanges(current.document, app.draft), 'Current', 'Your draft'))
  byId('rebase').focus()
}

/** Reapplies the changes of this draft to the current version. */
function rebase () {
  const mine = listChanges(app.document, app.draft)
  const next = copy(app.current.document)
  for (const change of mine) {
    if (change.key === null) next[change.part] = change.after
    else if (change.after === undefined) delete next[change.part][change.key]
    else next[change.part][change.key] = change.after
  }
  app.base = app.current.version
  app.document = app.current.document
  app.draft = next
  review()
}

/* ---- the fleet ---- */

async function drawFleet () {
  const reply = await call('GET', '/v1/status')
  if (app.part !== 'fleet') return
  if (reply.status !== 200) {
    byId('panel').replaceChildren(el('p', { class: 'fault' }, reply.body.error.message))
    return
  }
  const fleet = reply.body
  const owners = (await call('GET', '/v1/endpoints')).body.endpoints || []
  if (app.part !== 'fleet') return
  const endpoints = owners.sort((a, b) => a.endpoint < b.endpoint ? -1 : 1).map(item => [item.endpoint, item.service, item.zone, item.owner, item.state, item.load + ' of ' + item.cap, String(item.queued)])
  const rows = fleet.instances.map(item => [item.id, item.zone, item.url, String(item.documentVersion) + (item.documentVersion === fleet.documentVersion ? '' : ' (behind)'), String(item.viewSeen), Math.max(0, item.leaseMsLeft) + ' ms', item.leaving ? 'leaving' : 'serving'])
  const pools = fleet.pools.map(pool => {
    const factor = app.document.services[pool.pool] ? app.document.services[pool.pool].loadFactor : 1
    const mean = pool.endpoints === 0 ? 0 : pool.load / pool.endpoints
    return [pool.pool, String(pool.endpoints), String(pool.load), mean.toFixed(2), String(Math.max(1, Math.ceil(factor * (pool.load + 1) / Math.max(1, pool.endpoints))))]
  })
  const replicas = fleet.replicas.map(item => [item.group, item.name, item.role, String(item.term), String(item.commit), item.voters.map(voter => voter.split('#')[0]).join(', '), item.learners.map(voter => voter.split('#')[0]).join(', ')])
  byId('panel').replaceChildren(
    el('h2', {}, 'Fleet'),
    el('p', {}, 'Leader ' + fleet.leader + ', term ' + fleet.term + ', document version ' + fleet.documentVersion + ', view ' + fleet.view + '.'),
    toTable('Instances', ['instance', 'availability zone', 'address', 'document version', 'view', 'lease remaining', 'state'], rows),
    toTable('Endpoints', ['endpoint', 'service', 'availability zone', 'owner', 'state', 'load', 'queued'], endpoints),
    toTable('Pools', ['service', 'endpoints', 'in flight', 'mean load', 'load cap'], pools),
    toTable('Replicas on the leader', ['group', 'replica', 'role', 'term', 'committed', 'voters', 'learners'], replicas))
}

function toTable (title, heads, rows) {
  return el('div', { class: 'scroll' }, el('h3', {}, title), el('table', {}, el('thead', {}, el('tr', {}, ...heads.map(head => el('th', { scope: 'col' }, head)))), el('tbody', {}, ...rows.map(row => el('tr', {}, ...row.map(cell => el('td', {}, cell)))))))
}

byId('login').addEventListener('submit', event => { event.preventDefault(); signIn() })
byId('check').addEventListener('click', review)
byId('send').addEventListener('click', send)
byId('back').addEventListener('click', () => show(Object.keys(PARTS).includes(app.part) ? app.part : 'services'))
byId('rebase').addEventListener('click', rebase)
byId('discard').addEventListener('click', () => { takeDocument(app.current.version, app.current.document); show('services') })
byId('token').focus()
`
