/** A file system in memory that loses power: each unsynced write and name is then present, missing, torn or filled with zeros. */
import * as path from 'node:path'
import type * as state from '../../src/index.js'

/** Larger writes are split, as Node.js does with larger ones. */
const CHUNK_BYTES = 160

/** A change of which a sync has failed is not written by a later sync: its pages pass for written. */
type Change = ({ kind: 'write', at: number, content: Buffer } | { kind: 'truncate', size: number }) & { hasFailed?: boolean }

/** A file: its content, and the content and the later changes that a power loss finds. */
interface File { content: Buffer, synced: Buffer, changes: Change[] }

type Node = File | 'folder'

/** A name that was set, or removed if it has no node. */
interface NameChange { name: string, node: Node | undefined }

/** What a power loss leaves: each change by lot, or none. */
export type PowerLoss = 'drawn' | 'syncedOnly'

export interface PowerLossDisk extends ReturnType<typeof createPowerLossDisk> {}

/** Creates an empty disk whose only folder is the root. @param random returns a number in [0, 1) */
export function createPowerLossDisk (random: () => number) {
  let names = new Map<string, Node>([['/', 'folder']])
  let syncedNames = new Map(names)
  let nameChanges: NameChange[] = []
  let powerLosses = 0

  const fail = (code: string, name: string): never => { throw Object.assign(new Error(`${code}: ${name}`), { code }) }

  const setName = (name: string, node: Node | undefined): void => {
    nameChanges.push({ name, node })
    applyName(names, { name, node })
  }

  const findFile = (name: string): File => {
    const node = names.get(name)
    return node === undefined || node === 'folder' ? fail('ENOENT', name) : node
  }

  const syncFolder = (folder: string): void => {
    const isInside = ({ name }: NameChange): boolean => path.dirname(name) === folder
    for (const change of nameChanges.filter(isInside)) applyName(syncedNames, change)
    nameChanges = nameChanges.filter(change => !isInside(change))
  }

  const change = (file: File, item: Change): void => {
    file.changes.push(item)
    file.content = applyChange(file.content, item)
  }

  /** Returns the file system as one process sees it; its operations never end once the power was lost. @param beforeOperation also called after each part of a write */
  const connect = (beforeOperation: (isSync: boolean) => Promise<void> = async () => {}): state.FileSystem => {
    const lossesAtStart = powerLosses
    const begin = async (isSync: boolean): Promise<void> => {
      await beforeOperation(isSync)
      if (powerLosses > lossesAtStart) await new Promise(() => {})
    }

    const writeAt = async (file: File, content: Buffer, at: number): Promise<void> => {
      for (let offset = 0; offset < content.length; offset += CHUNK_BYTES) {
        const chunk = Buffer.from(content.subarray(offset, offset + CHUNK_BYTES))
        change(file, { kind: 'write', at: at + offset, content: chunk })
        // The power may be lost between two parts, and after the last one.
        await begin(false)
      }
    }

    const openFolder = (folder: string): state.OpenFile => {
      const reject = async (): Promise<never> => fail('EISDIR', folder)
      const sync = async (): Promise<void> => {
        await begin(true)
        syncFolder(folder)
      }
      return { write: reject, writeFile: reject, appendFile: reject, truncate: reject, sync, datasync: sync, close: async () => {} }
    }

    const openFile = (file: File): state.OpenFile => {
      const sync = async (): Promise<void> => {
        await begin(true).catch(err => {
          for (const item of file.changes) item.hasFailed = true
          throw err
        })
        file.synced = file.changes.filter(item => item.hasFailed !== true).reduce(applyChange, file.synced)
        file.changes = file.changes.filter(item => item.hasFailed === true)
      }
      return {
        async write (content, offset, length, position) { await writeAt(file, content.subarray(offset, offset + length), position) },
        async writeFile (content) { await writeAt(file, Buffer.from(content), 0) },
        async appendFile (content) { await writeAt(file, content, file.content.length) },
        async truncate (size) {
          change(file, { kind: 'truncate', size })
          await begin(false)
        },
        sync,
        datasync: sync,
        async close () {}
      }
    }

    const fs: state.FileSystem = {
      async mkdir (folder) {
        await begin(false)
        const missing: string[] = []
        for (let name = folder; !names.has(name); name = path.dirname(name)) missing.unshift(name)
        for (const name of missing) setName(name, 'folder')
        return missing[0]
      },
      async open (name, flags) {
        await begin(false)
        if (names.get(name) === 'folder') return openFolder(name)
        if (!names.has(path.dirname(name)) || (flags.startsWith('r') && !names.has(name))) fail('ENOENT', name)
        if (!names.has(name)) setName(name, { content: Buffer.alloc(0), synced: Buffer.alloc(0), changes: [] })
        const file = findFile(name)
        if (flags.startsWith('w') && file.content.length > 0) change(file, { kind: 'truncate', size: 0 })
        return openFile(file)
      },
      async readFile (name) {
        await begin(false)
        return Buffer.from(findFile(name).content)
      },
      async writeFile (name, content) {
        await (await fs.open(name, 'w')).writeFile(content)
      },
      async rename (from, to) {
        await begin(false)
        const file = findFile(from)
        setName(to, file)
        setName(from, undefined)
      },
      async rm (name) {
        await begin(false)
        if (names.has(name)) setName(name, undefined)
      }
    }

    return fs
  }

  /** Returns whether a change that was not synced is found after the power loss. */
  const isKept = (loss: PowerLoss): boolean => loss === 'drawn' && random() < 0.5

  const loseChanges = (file: File, loss: PowerLoss): void => {
    let content = file.synced
    for (const item of file.changes) {
      if (!isKept(loss)) continue
      content = applyChange(content, item.kind === 'write' ? drawWrite(item, content.length) : item)
    }
    file.content = content
    file.synced = content
    file.changes = []
  }

  /** A torn write has its first part only; one beyond the end may have extended the file, but be filled with zeros. */
  const drawWrite = (item: Extract<Change, { kind: 'write' }>, size: number): Change => {
    const lot = random()
    if (lot < 0.4) return item
    if (lot < 0.7 || item.at < size) return { ...item, content: item.content.subarray(0, Math.floor(random() * item.content.length)) }
    const written = Buffer.alloc(item.content.length)
    item.content.copy(written, 0, 0, lot < 0.85 ? 0 : Math.floor(random() * item.content.length))
    return { ...item, content: written }
  }

  return {
    connect,
    /** Returns whether any file holds the text. */
    holds (text: string): boolean {
      return [...names.values()].some(node => node !== 'folder' && node.content.includes(text))
    },
    /** Replaces the content of a file, synced. */
    put (name: string, content: Buffer): void {
      const file: File = { content, synced: content, changes: [] }
      names.set(name, file)
      syncedNames.set(name, file)
    },
    /** Replaces the state by one that a power loss may leave. */
    losePower (loss: PowerLoss): void {
      powerLosses++
      const kept = new Map(syncedNames)
      for (const item of nameChanges) if (isKept(loss)) applyName(kept, item)
      for (const name of [...kept.keys()]) if (!hasParents(kept, name)) kept.delete(name)
      for (const node of new Set(kept.values())) if (node !== 'folder') loseChanges(node, loss)
      names = kept
      syncedNames = new Map(kept)
      nameChanges = []
    },
    wipe (): void {
      names = new Map([['/', 'folder']])
      syncedNames = new Map(names)
      nameChanges = []
    }
  }
}

function applyName (names: Map<string, Node>, { name, node }: NameChange): void {
  if (node === undefined) names.delete(name)
  else names.set(name, node)
}

function applyChange (content: Buffer, change: Change): Buffer {
  if (change.kind === 'truncate') {
    const out = Buffer.alloc(change.size)
    content.copy(out, 0, 0, change.size)
    return out
  }
  const out = Buffer.alloc(Math.max(content.length, change.at + change.content.length))
  content.copy(out)
  change.content.copy(out, change.at)
  return out
}

function hasParents (names: ReadonlyMap<string, Node>, name: string): boolean {
  for (let folder = path.dirname(name); folder !== '/'; folder = path.dirname(folder)) if (!names.has(folder)) return false
  return true
}
