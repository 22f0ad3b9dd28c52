/** Catalogue of the numbered log events. scripts/events.mjs generates docs/EVENTS.md from it, which CI verifies. */

/** Severity of an event. */
export type Level = 'info' | 'warn' | 'error'

/** Catalogue entry of an event; `remedy` is empty if no action is needed. */
export interface EventSpec { code: number, level: Level, text: string, remedy: string }

const spec = (code: number, level: Level, text: string, remedy = ''): EventSpec => ({ code, level, text, remedy })

/** All events by name. Numbers are never reused. */
export const EVENTS = {
  started: spec(1001, 'info', 'process started'),
  stopping: spec(1002, 'info', 'graceful shutdown started'),
  stopped: spec(1003, 'info', 'process stopped'),
  settingsInvalid: spec(1004, 'error', 'settings are invalid', 'Correct the flags, environment variables or settings file named in the message.'),
  startFailed: spec(1007, 'error', 'process could not start', 'Check that its addresses are free and that its data folder is writable.'),
  uncaught: spec(1005, 'error', 'unexpected error caught', 'Report it together with the surrounding log lines.'),
  invariantBroken: spec(1006, 'error', 'an invariant was violated', 'Take the instance out of service and report the violation with its log.'),
  linkOpened: spec(1101, 'info', 'link to a peer opened'),
  linkClosed: spec(1102, 'info', 'link to a peer closed'),
  linkSilent: spec(1103, 'warn', 'link is unresponsive and was destroyed', 'If it repeats between the same two instances, check the network between them for devices that drop idle connections.'),
  linkRefused: spec(1104, 'warn', 'peer could not prove the fleet secret', 'Check that both sides use the same fleet secret. If the address is unknown to you, find out who connects.'),
  frameInvalid: spec(1105, 'warn', 'invalid frame received; link closed', 'Check that both sides run compatible versions.'),
  leaderElected: spec(1201, 'info', 'this replica became leader of its group'),
  leaderLost: spec(1202, 'warn', 'this replica is no longer leader of its group', 'Expected during restarts. If frequent, check the disks and links of the control instances.'),
  replicaFounded: spec(1203, 'info', 'replica group founded'),
  replicaAmnesia: spec(1204, 'warn', 'data folder is empty but the group has this replica as a member; rejoining as a non-voter', 'No action needed: the replica becomes a voter once it has caught up. Wait for event K1205 before stopping another replica.'),
  replicaRepaired: spec(1205, 'info', 'replica caught up and became a voter'),
  logTornTail: spec(1206, 'warn', 'log ended in an incomplete record, which was truncated', 'Expected after a power failure.'),
  logDamaged: spec(1207, 'error', 'log is damaged before its synced end; treated as a lost disk', 'Replace the disk.'),
  snapshotTaken: spec(1208, 'info', 'snapshot taken and log compacted'),
  snapshotInstalled: spec(1209, 'info', 'snapshot from the leader installed'),
  replicaFailed: spec(1210, 'error', 'replica stopped because its state could not be stored', 'Check the disk: free space, and whether writes complete. The replica starts again by itself from what is stored.'),
  votersChanged: spec(1211, 'info', 'voters of the replica group changed'),
  electionLost: spec(1212, 'info', 'this replica stood for election and was not elected', 'Expected for seconds while control instances restart. If no replica is elected, compare the voters named with the control instances that run: a quorum of the voters must be up.'),
  joinPending: spec(1213, 'info', 'this replica asks to be admitted to its group', 'If it repeats for minutes, check that the addresses named can be reached and that the group has a leader.'),
  leaseGranted: spec(1301, 'info', 'this instance holds a lease and is serving'),
  leaseLost: spec(1302, 'warn', 'lease expired; nothing is dispatched until it is renewed', 'Check the links from this instance to the control instances.'),
  instanceJoined: spec(1303, 'info', 'instance joined the view'),
  instanceLeft: spec(1304, 'warn', 'instance left the view', 'Expected during restarts and upgrades.'),
  documentInForce: spec(1305, 'info', 'new version of the configuration document applied'),
  documentAccepted: spec(1306, 'info', 'new version of the configuration document accepted'),
  recordChanged: spec(1307, 'info', 'endpoint or entry instance announced a change'),
  controlFound: spec(1308, 'info', 'subscribed to a control instance'),
  controlLost: spec(1309, 'warn', 'subscription to a control instance lost; subscribing to another one', 'If event K1308 does not follow, check the links to the control instances.'),
  evacuationsAccepted: spec(1321, 'info', 'evacuated availability zones changed at this control instance'),
  evacuationAnswered: spec(1322, 'info', 'result of an evacuation order returned to the operator'),
  evacuationsInForce: spec(1323, 'info', 'evacuated availability zones applied; their endpoints receive no further requests'),
  documentAnswered: spec(1314, 'info', 'result of a document update returned to the operator'),
  documentRefused: spec(1310, 'warn', 'configuration document rejected', 'The response to the operator names the field to correct.'),
  documentUnreadable: spec(1311, 'error', 'accepted configuration document cannot be parsed here; the previous version stays in effect', 'Check that all instances run the same version.'),
  replicaRestarted: spec(1312, 'warn', 'replica of the configuration document is being restarted after a disk failure', 'Check the disk: free space, and whether writes complete.'),
  documentNotFetched: spec(1318, 'info', 'fetching the configuration document from an instance failed; trying another one', 'Expected while instances restart or are unreachable. If documentInForce (K1305) does not follow, check the links to the control instances.'),
  documentReported: spec(1319, 'info', 'newer version of the configuration document became known'),
  documentCurrency: spec(1320, 'info', 'what this control instance reports to entry instances changed: its document version, and whether it is current'),
  recordsNotKept: spec(1315, 'warn', 'endpoint records could not be written to disk', 'Check the disk. Without the file, a restarted instance learns the records from the next announcements.'),
  settingsReloaded: spec(1313, 'info', 'settings file reloaded'),
  endpointJoined: spec(1401, 'info', 'endpoint became ready'),
  endpointLeaving: spec(1402, 'info', 'endpoint is leaving and receives no new work'),
  endpointGone: spec(1403, 'warn', 'endpoint is unresponsive or unreachable', 'If it does not recover, check the endpoint.'),
  endpointDied: spec(1404, 'warn', 'endpoint crashed with requests in flight', 'No action needed: its requests are retried on other endpoints, separately from each other.'),
  endpointFlapping: spec(1405, 'warn', 'endpoint changes state repeatedly; new work is withheld for a while', 'Check the endpoint. The hold-down time grows with each change.'),
  zoneUnreachable: spec(1410, 'warn', 'availability zone is unreachable from this instance; its endpoints are avoided', 'If other instances report it too, check the zone. Otherwise check the links of this machine.'),
  zoneReachable: spec(1411, 'info', 'availability zone is reachable again'),
  pathLost: spec(1412, 'warn', 'this instance lost its path to endpoints that other instances reach; connections to them pass through such an instance', 'Check the network between this instance and the endpoints of the availability zone.'),
  pathRegained: spec(1413, 'info', 'this instance has its path to the endpoints of an availability zone again'),
  tunnelRefused: spec(1414, 'info', 'connection to an endpoint on behalf of another instance was refused or failed', 'Expected while paths change or the endpoint is down.'),
  orderSent: spec(1406, 'info', 'engine was ordered to serve other models'),
  orderRefused: spec(1407, 'warn', 'engine rejected an order', 'The engine has received a newer order. If it repeats, two fleets control the same engine.'),
  endpointSetAside: spec(1409, 'warn', 'share of an endpoint was reduced because it performs worse than the others of its service, or was restored', 'Check the endpoint: it announces itself as ready.'),
  handoutTaken: spec(1316, 'info', 'document and records of a starting control instance applied'),
  handoutRefused: spec(1317, 'warn', 'fetching the document and records of a starting control instance failed', 'Expected while machines are down. Otherwise check that all instances use the same fleet secret.'),
  announcementRefused: spec(1408, 'warn', 'announcement rejected', 'Check the endpoint token and the service name at the endpoint.'),
  requestQuarantined: spec(1501, 'warn', 'request was in flight during repeated endpoint crashes and is quarantined', 'Run "kingcupdeck explain" with the request id and inspect the request.'),
  streamSilent: spec(1502, 'warn', 'stream from an engine is unresponsive; resuming over a new connection', 'If it repeats for the same endpoint, check that endpoint.'),
  ledgerRetry: spec(1503, 'warn', 'ledger did not confirm; retrying', 'If it persists, run "kingcupdeck status": a quorum of control instances must be up.'),
  requestEnded: spec(1505, 'info', 'forwarded request ended'),
  requestRefused: spec(1506, 'info', 'request rejected before it was forwarded'),
  linesDropped: spec(1507, 'warn', 'log lines dropped because the output buffer was full', 'Expected in bursts; the metrics are still complete.'),
  responseLost: spec(1508, 'info', 'response of an endpoint broke off'),
  requestSuspected: spec(1509, 'info', 'request was in flight at an endpoint that went down'),
  requestCleared: spec(1510, 'info', 'suspected request completed; its earlier crashes no longer count'),
  crashRetracted: spec(1511, 'info', 'endpoint that was taken for crashed responded under the same start; its crashes no longer count'),
  requestFailed: spec(1504, 'info', 'request failed')
} as const satisfies Record<string, EventSpec>

/** The name of an event. */
export type EventName = keyof typeof EVENTS
