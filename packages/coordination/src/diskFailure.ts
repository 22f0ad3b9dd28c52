/** Tells failures of the disk, which may pass, from others. */

/** Codes of disk failures that may be reported without the system call. */
const DISK_FAILURES: ReadonlySet<unknown> = new Set(['ENOSPC', 'EDQUOT', 'EIO'])

/** Returns whether an error is one of the disk or its files, so that the replica can be started again later. */
export function isDiskFailure (err: unknown): boolean {
  const { code, syscall } = (err ?? {}) as NodeJS.ErrnoException
  return typeof syscall === 'string' || DISK_FAILURES.has(code)
}
