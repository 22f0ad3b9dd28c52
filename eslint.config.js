import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: resolveIgnoresFromGitignore() }),
  // As ts-standard has it: a promise that nobody waits for is marked with a void statement.
  { rules: { 'no-void': ['error', { allowAsStatement: true }] } },
  { rules: { 'no-restricted-syntax': ['error', { selector: 'ImportSpecifier', message: 'Use a namespace import: import * as name from "…".' }] }, files: ['packages/**/*.ts'] }
]
