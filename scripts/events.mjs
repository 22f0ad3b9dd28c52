// Generates docs/EVENTS.md from the catalogue in packages/contracts/src/events.ts; --check only compares.
import * as fs from 'node:fs'
import * as contracts from '@kingcupdeck/contracts'

const file = new URL('../docs/EVENTS.md', import.meta.url)
const rows = Object.entries(contracts.EVENTS)
  .sort(([, a], [, b]) => a.code - b.code)
  .map(([name, spec]) => `| K${spec.code} | ${name} | ${spec.level} | ${spec.text} | ${spec.remedy || '–'} |`)
const text = `# Events

Generated from \`packages/contracts/src/events.ts\` by \`node scripts/events.mjs\`; CI checks that both match.
Numbers are never reused. With \`--log-json true\` each line is one JSON object with \`code\`, \`event\` and the event's fields.

| number | event | level | meaning | what to do |
| --- | --- | --- | --- | --- |
${rows.join('\n')}
`

if (process.argv.includes('--check')) {
  const isSame = fs.existsSync(file) && fs.readFileSync(file, 'utf8') === text
  if (!isSame) process.stderr.write('docs/EVENTS.md is out of date: run node scripts/events.mjs and commit the result.\n')
  process.exit(isSame ? 0 : 1)
}
fs.writeFileSync(file, text)
