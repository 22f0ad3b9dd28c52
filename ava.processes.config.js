/** Tests that run processes up to their limits: one at a time, apart from the other tests. */
export default {
  files: ['platform/dist/__tests__/processes/**/*.test.js'],
  require: ['./scripts/testExit.mjs'],
  timeout: '180s',
  workerThreads: false,
  concurrency: 1
}
