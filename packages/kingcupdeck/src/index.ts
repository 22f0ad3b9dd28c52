/** Public entry point: command line, settings and exit codes. */
export * from './exitCodes.js'
export * from './settings.js'
export { cli, runCli } from './cli.js'
