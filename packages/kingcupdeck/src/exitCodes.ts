/** Exit codes of the command line; the README lists them. */
export enum ExitCode {
  done = 0,
  /** The operation failed: the message says why. */
  failed = 1,
  /** Flags, environment variables or a document are not usable. */
  usage = 2,
  /** The document was changed by someone else meanwhile. */
  conflict = 3,
  /** No control instance, or no quorum of them, answered. */
  unreachable = 4
}
