/** Public face of the program: its settings and exit codes, for those who start it. */
export * from './exitCodes.js'
export * from './settings.js'
export { cli, runCli } from './cli.js'
