/** The numbered log events. docs/EVENTS.md is made from this table by scripts/events.mjs; CI checks that they agree. */

/** How grave an event is. */
export type Level = 'info' | 'warn' | 'error'

/** What the catalogue says of an event. */
export interface EventSpec { code: number, level: Level, text: string, remedy: string }

const spec = (code: number, level: Level, text: string, remedy = ''): EventSpec => ({ code, level, text, remedy })

/** Every event by its name. Numbers are never given again. */
export const EVENTS = {
  started: spec(1001, 'info', 'process started'),
  stopping: spec(1002, 'info', 'graceful shutdown begins'),
  stopped: spec(1003, 'info', 'process ended in order'),
  settingsInvalid: spec(1004, 'error', 'settings are not usable', 'Correct the flags or environment variables that the message names.'),
  startFailed: spec(1007, 'error', 'the process could not start', 'Check that its addresses are free and its folder can be written.'),
  uncaught: spec(1005, 'error', 'an error reached the last handler', 'Report it with the log lines around it.'),
  invariantBroken: spec(1006, 'error', 'an invariant of the program does not hold', 'Take the instance out of service and report it with its log.'),
  linkOpened: spec(1101, 'info', 'link to a peer opened'),
  linkClosed: spec(1102, 'info', 'link to a peer closed'),
  linkSilent: spec(1103, 'warn', 'link went silent and was destroyed', 'If it repeats between the same two instances, check the path between them for a device that forgets connections.'),
  linkRefused: spec(1104, 'warn', 'a peer could not prove the fleet secret', 'Check that both sides have the same fleet secret; if the address is unknown to you, find out who connects.'),
  frameInvalid: spec(1105, 'warn', 'a frame could not be read and the link was closed', 'Check that both sides run compatible versions.'),
  leaderElected: spec(1201, 'info', 'this replica leads its group'),
  leaderLost: spec(1202, 'warn', 'this replica no longer leads its group', 'Expected at restarts; if frequent, check the disks and links of the control instances.'),
  replicaFounded: spec(1203, 'info', 'replica group founded'),
  replicaAmnesia: spec(1204, 'warn', 'the data folder is empty but the group knows this replica: rejoining without a vote', 'Nothing to do: it is re-admitted when caught up. Wait for event 1205 before taking another replica down.'),
  replicaRepaired: spec(1205, 'info', 'a replica caught up and was admitted as a voter'),
  logTornTail: spec(1206, 'warn', 'the log ended in an unfinished record, which was cut off', 'Expected after a power loss.'),
  logDamaged: spec(1207, 'error', 'the log is damaged before its synced end: treated as a lost disk', 'Replace the disk.'),
  snapshotTaken: spec(1208, 'info', 'snapshot taken and log shortened'),
  snapshotInstalled: spec(1209, 'info', 'snapshot received from the leader'),
  leaseGranted: spec(1301, 'info', 'this instance holds a lease and serves'),
  leaseLost: spec(1302, 'warn', 'the lease ran out: nothing is dispatched until it is renewed', 'Check the links from this instance to the control instances.'),
  instanceJoined: spec(1303, 'info', 'an instance joined the view'),
  instanceLeft: spec(1304, 'warn', 'an instance left the view', 'Expected at restarts and upgrades.'),
  documentInForce: spec(1305, 'info', 'a new version of the document is in force here'),
  documentAccepted: spec(1306, 'info', 'a new version of the document was accepted'),
  recordChanged: spec(1307, 'info', 'an endpoint or entry instance announced a change'),
  controlFound: spec(1308, 'info', 'a control instance tells this instance news'),
  controlLost: spec(1309, 'warn', 'a control instance no longer tells this instance news; another one is asked', 'If no other follows (event 1308), check the links to the control instances.'),
  documentAnswered: spec(1314, 'info', 'an operator was told what became of a document'),
  documentRefused: spec(1310, 'warn', 'a document was refused', 'The answer to the operator names the field to correct.'),
  documentUnreadable: spec(1311, 'error', 'a document that was accepted cannot be read here; the one before stays in force', 'Check that all instances run the same version.'),
  replicaRestarted: spec(1312, 'warn', 'the replica of the document is started again after its disk failed', 'Check the disk: free space, and whether writes end.'),
  documentNotFetched: spec(1318, 'info', 'an instance did not hand out the document; another one is asked', 'Expected while instances restart or are cut off; if documentInForce (K1305) does not follow, check the links to the control instances.'),
  recordsNotKept: spec(1315, 'warn', 'the records of endpoints could not be written to the disk', 'Check the disk; a restart then learns them from the next announcements.'),
  settingsReloaded: spec(1313, 'info', 'the settings file was read again'),
  endpointJoined: spec(1401, 'info', 'an endpoint became ready'),
  endpointLeaving: spec(1402, 'info', 'an endpoint is leaving: it gets no new work'),
  endpointGone: spec(1403, 'warn', 'an endpoint went silent or away', 'If it does not come back, look at the endpoint.'),
  endpointDied: spec(1404, 'warn', 'an endpoint died with requests in flight', 'Its requests are tried elsewhere, apart from each other.'),
  endpointFlapping: spec(1405, 'warn', 'an endpoint comes and goes: held back for a while', 'Look at the endpoint; the hold-down grows with each change.'),
  orderSent: spec(1406, 'info', 'an engine was ordered to carry other models'),
  orderRefused: spec(1407, 'warn', 'an engine refused an order', 'It saw a newer one; if it repeats, two fleets command the same engine.'),
  endpointSetAside: spec(1409, 'warn', 'an endpoint answers worse than the others of its service: it gets less work, or its share again', 'Look at the endpoint: its announcements say that it is well.'),
  handoutTaken: spec(1316, 'info', 'the document and records that a starting control instance hands out were taken'),
  handoutRefused: spec(1317, 'warn', 'what a starting control instance hands out could not be taken', 'Expected while machines are down; otherwise check that all instances have the same fleet secret.'),
  announcementRefused: spec(1408, 'warn', 'an announcement was refused', 'Check the endpoint token and the service name at the endpoint.'),
  requestQuarantined: spec(1501, 'warn', 'a request was in flight at two deaths of endpoints and is held back', 'Use "kingcupdeck explain" with the request id and look at the request.'),
  streamSilent: spec(1502, 'warn', 'an engine fell silent mid-stream: the answer is resumed over a new connection', 'If it repeats for one endpoint, look at it.'),
  ledgerRetry: spec(1503, 'warn', 'the ledger did not confirm yet: trying on', 'If it goes on, see "status": a quorum of control instances must be up.'),
  requestEnded: spec(1505, 'info', 'a forwarded request ended'),
  requestRefused: spec(1506, 'info', 'a request was refused before it was forwarded'),
  linesDropped: spec(1507, 'warn', 'log lines were left out to stay within bounds', 'Expected in bursts; the counters in the metrics are whole.'),
  requestFailed: spec(1504, 'info', 'a request ended in an error')
} as const satisfies Record<string, EventSpec>

/** The name of an event. */
export type EventName = keyof typeof EVENTS
