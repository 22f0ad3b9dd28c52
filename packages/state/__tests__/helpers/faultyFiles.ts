/** Makes writes and syncs of open files fail, for tests of storage on a faulty disk. */
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'

/** Fault of a call: none, refused, or performed in part and then failed. */
export type Fault = 'none' | 'refused' | 'partial'

type Method = (this: fs.FileHandle, ...args: unknown[]) => Promise<unknown>

const WRITES = ['write', 'writeFile', 'appendFile', 'truncate'] as const
const SYNCS = ['sync', 'datasync'] as const

/** Identifies a file beyond its name, since a replaced file is another one. */
async function toFileId (file: fs.FileHandle | string): Promise<string> {
  const stat = typeof file === 'string' ? await fs.stat(file) : await file.stat()
  return `${stat.ino} ${stat.birthtimeMs}`
}

/** Replaces the writing methods of all file handles of this process. @param next returns the fault of the next call */
export async function createFaultyFiles (next: () => Fault) {
  const handle = await fs.open(await fs.mkdtemp(path.join(os.tmpdir(), 'faulty-')), 'r')
  const prototype = Object.getPrototypeOf(handle) as Record<string, Method>
  await handle.close()
  const originals = new Map<string, Method>()
  /** Files with a failed sync: what they held then may be lost although it can be read and a later sync succeeds. */
  const unreliable = new Set<string>()
  const replace = (name: string, create: (original: Method) => Method): void => {
    const original = prototype[name]
    originals.set(name, original)
    prototype[name] = create(original)
  }
  const fail = (): never => { throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' }) }
  for (const name of WRITES) {
    replace(name, original => async function (...args) {
      const fault = next()
      if (fault === 'none') return await original.apply(this, args)
      const [content] = args
      if (fault === 'partial' && Buffer.isBuffer(content)) {
        // `write` takes the number of bytes as its third argument.
        const half = Math.floor(content.length / 2)
        await original.apply(this, name === 'write' ? [content, 0, half, args[3]] : [content.subarray(0, half)])
      }
      return fail()
    })
  }
  for (const name of SYNCS) {
    replace(name, original => async function (...args) {
      const fault = next()
      if (fault === 'none') return await original.apply(this, args)
      unreliable.add(await toFileId(this))
      return fail()
    })
  }
  return {
    /** Returns whether a sync of the file has failed since it was created. */
    isUnreliable: async (file: string) => unreliable.has(await toFileId(file)),
    restore () {
      for (const [name, original] of originals) prototype[name] = original
    }
  }
}
