/**
 * The evacuation orders in the log of a replica that may not be committed yet. An acknowledged order is in the logs of a majority; which
 * orders those are is only known once there is a leader.
 */
import type * as discovery from '@kingcupdeck/discovery'
import type * as state from '@kingcupdeck/state'
import * as documentMachines from './documentMachine.js'

/** The orders in the log of a replica. */
export interface LoggedEvacuations {
  /** The storage of the replica, which notes the orders that are logged. */
  storage: state.Storage
  /**
   * Returns the evacuations with those that orders in the log would add.
   * @param held the evacuations as committed, as far as known
   */
  toReport (held: discovery.Evacuations): discovery.EvacuationReport
}

interface LoggedOrder { index: number, command: documentMachines.EvacuationCommand }

/**
 * Notes the orders that pass through a storage.
 * @param storage the storage of the replica
 * @param onChange called when orders were appended or removed; an append is complete, and so acknowledged, only once its result has resolved
 */
export function createLoggedEvacuations (storage: state.Storage, onChange: () => Promise<void>): LoggedEvacuations {
  let orders: LoggedOrder[] = []

  const addOrders = (list: readonly state.Entry[]): boolean => {
    const added = list.flatMap(item => {
      const command = item.body.kind === 'command' ? documentMachines.evacuationCommand.safeParse(item.body.command) : undefined
      return command?.success === true ? [{ index: item.index, command: command.data }] : []
    })
    orders.push(...added)
    return added.length > 0
  }

  const keepOrders = (isKept: (order: LoggedOrder) => boolean): boolean => {
    const countBefore = orders.length
    orders = orders.filter(isKept)
    return orders.length < countBefore
  }

  return {
    storage: {
      ...storage,
      async load () {
        const loaded = await storage.load()
        if (loaded.kind === 'found') addOrders(loaded.entries)
        return loaded
      },
      async wipe () {
        orders = []
        await storage.wipe()
      },
      async append (list) {
        const isChanged = addOrders(list)
        await Promise.all([storage.append(list), isChanged ? onChange() : undefined])
      },
      async truncateFrom (index) {
        const isChanged = keepOrders(item => item.index < index)
        await Promise.all([storage.truncateFrom(index), isChanged ? onChange() : undefined])
      },
      async saveSnapshot (snapshot, keepFrom) {
        keepOrders(item => item.index > snapshot.lastIndex)
        await storage.saveSnapshot(snapshot, keepFrom)
      }
    },
    toReport (held) {
      // An order takes effect at the revision that it is based on: those based on earlier ones have been applied, or never will be.
      const zones = orders.filter(({ command }) => command.isEvacuated && command.revision >= held.revision).map(({ command }) => command.zone)
      return zones.length === 0 ? held : { ...held, pending: [...new Set(zones)].sort() }
    }
  }
}
