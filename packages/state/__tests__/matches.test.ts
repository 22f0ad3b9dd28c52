/** What a follower acknowledges in its answers to heartbeats. */
import * as ava from 'ava'
import type * as entries from '../src/entries.js'
import * as matches from '../src/matches.js'

const test = ava.default
const toMeta = (term: number): entries.Meta => ({ incarnation: 'i', term, votedFor: null, founding: [] })

// Guards against an acknowledgement in a term that a loss of power takes back, whose entries an earlier leader could replace.
test('nothing is acknowledged in a term that is not synced', t => {
  const matched = { term: 2, index: 5 }
  t.is(matches.syncedMatch({ matched, syncedIndex: 7, syncedMeta: undefined }, 2), 0)
  t.is(matches.syncedMatch({ matched, syncedIndex: 7, syncedMeta: toMeta(1) }, 2), 0)
  t.is(matches.syncedMatch({ matched, syncedIndex: 7, syncedMeta: toMeta(2) }, 2), 5)
})

// Guards against acknowledging entries that are in memory only, or that match another leader's log.
test('only synced entries that match the log of the leader of this term are acknowledged', t => {
  const matched = { term: 2, index: 5 }
  t.is(matches.syncedMatch({ matched, syncedIndex: 3, syncedMeta: toMeta(2) }, 2), 3)
  t.is(matches.syncedMatch({ matched, syncedIndex: 7, syncedMeta: toMeta(3) }, 3), 0)
})

// Guards against answers that acknowledge nothing to a leader because a message of the one before it waited for the disk.
test('what matches an earlier leader does not replace what matches the present one', t => {
  const core = { matched: { term: 0, index: 0 } }
  matches.noteMatch(core, 3, 5)
  matches.noteMatch(core, 2, 7)
  t.deepEqual(core.matched, { term: 3, index: 5 })
  matches.noteMatch(core, 3, 4)
  t.deepEqual(core.matched, { term: 3, index: 5 })
  matches.noteMatch(core, 4, 2)
  t.deepEqual(core.matched, { term: 4, index: 2 })
})
