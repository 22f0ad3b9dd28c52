/**
 * Signals of a daemon: SIGTERM and SIGINT stop it, SIGHUP is ignored. Has no imports, so that it handles them before the rest of the
 * program is loaded.
 */

/** What is done on signals once an instance runs. */
export interface DaemonHandlers { stop: () => void, ignore: (signal: string) => void }

const state: { handlers?: DaemonHandlers } = {}

/** Handles signals from now on. Until {@link handleSignals} a signal to stop ends the process at once. */
export function watchSignals (): void {
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.on(signal, () => {
      if (state.handlers === undefined) process.exit(0)
      state.handlers.stop()
    })
  }
  process.on('SIGHUP', () => { state.handlers?.ignore('SIGHUP') })
}

/** Hands signals to a running instance. */
export function handleSignals (handlers: DaemonHandlers): void {
  state.handlers = handlers
}
