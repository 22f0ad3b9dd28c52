/** File operations that stored state rests on. Tests replace them by a disk that loses power. */
import * as fs from 'node:fs/promises'

/** An open file. */
export interface OpenFile {
  write (content: Buffer, offset: number, length: number, position: number): Promise<unknown>
  writeFile (content: string | Buffer): Promise<void>
  appendFile (content: Buffer): Promise<void>
  truncate (size: number): Promise<void>
  sync (): Promise<void>
  datasync (): Promise<void>
  close (): Promise<void>
}

/** The subset of `node:fs/promises` that is used, with the same semantics. */
export interface FileSystem {
  /** Returns the first folder that was created, undefined if all exist. */
  mkdir (folder: string, opts: { recursive: true }): Promise<string | undefined>
  open (file: string, flags: string): Promise<OpenFile>
  readFile (file: string): Promise<Buffer>
  writeFile (file: string, content: Buffer): Promise<void>
  rename (from: string, to: string): Promise<void>
  rm (file: string, opts: { force: true }): Promise<void>
}

/** The file system of this machine. */
export const nodeFileSystem: FileSystem = fs
