/** The record of a run: `record.txt` beside the case, and the exit status. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'

/** Opens the record of the case whose module has this URL. */
export function openRecord (moduleUrl) {
  const file = path.join(path.dirname(url.fileURLToPath(moduleUrl)), 'record.txt')
  fs.writeFileSync(file, '')
  const startedAt = performance.now()
  return {
    write (line) {
      const text = `${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}`
      fs.appendFileSync(file, `${text}\n`)
      console.log(text)
    }
  }
}

/** Runs a case to its end. @param {(fleetOf: (started: object) => object) => Promise<boolean>} run returns whether the rule was broken */
export async function runCase (record, run) {
  const started = []
  let status = 2
  try {
    status = await run(item => {
      started.push(item)
      return item
    })
      ? 1
      : 0
  } catch (err) {
    record.write(`the case could not run: ${err.stack}`)
  }
  for (const item of started.reverse()) await item.close()
  record.write(['the rule held', 'the rule was broken', 'not run'][status])
  process.exit(status)
}
