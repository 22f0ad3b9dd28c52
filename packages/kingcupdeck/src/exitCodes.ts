/** Exit codes of the command line, as listed in the README. */
export enum ExitCode {
  done = 0,
  /** The operation failed; the printed message contains the reason. */
  failed = 1,
  /** Flags, environment variables or a document are invalid. */
  usage = 2,
  /** The document has changed since the base version. */
  conflict = 3,
  /** The instance did not answer, or no quorum of control instances is available. */
  unreachable = 4
}
