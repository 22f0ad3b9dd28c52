/** Part of the console's script that generates forms from the JSON schema of the configuration document. */

/** Form functions, embedded in the console's script. */
export const SCRIPT_FORMS = String.raw`function resolve (schema) {
  if (schema.$ref !== undefined) return resolve(schema.$ref.split('/').slice(1).reduce((at, key) => at[key], app.schema))
  return schema
}

function toBlank (raw) {
  const schema = resolve(raw)
  if (schema.default !== undefined) return copy(schema.default)
  if (schema.const !== undefined) return schema.const
  const variants = schema.oneOf || schema.anyOf
  if (variants !== undefined) return toBlank(variants[0])
  switch (schema.type) {
    case 'object': return Object.fromEntries((schema.required || []).map(key => [key, toBlank(schema.properties[key])]))
    case 'array': return []
    case 'boolean': return false
    case 'number': case 'integer': return 1
    default: return schema.enum === undefined ? '' : schema.enum[0]
  }
}

/** Draws a value as its fields or as a single control. Controls write each change to the draft. */
function drawValue (value, raw, path, set) {
  const schema = resolve(raw)
  const variants = schema.oneOf || schema.anyOf
  if (variants !== undefined) return drawVariants(value, variants.map(resolve), path, set)
  if (schema.type === 'object' && schema.properties !== undefined) {
    return Object.entries(schema.properties).flatMap(([key, sub]) => drawField(key, value[key], sub, [...path, key], next => { value[key] = next }))
  }
  if (schema.type === 'object') return drawRecord(value, schema.additionalProperties, path)
  return [drawControl(value, schema, path, set)]
}

function drawVariants (value, variants, path, set) {
  const kinds = variants.map(variant => variant.properties.kind.const)
  const chosen = Math.max(0, kinds.indexOf(value.kind))
  const select = el('select', { id: toId([...path, 'kind']), onchange: event => { set(toBlank(variants[event.target.selectedIndex])); drawPart(path[0]); drawState() } }, ...kinds.map((kind, i) => el('option', { selected: i === chosen }, kind)))
  const fields = Object.entries(variants[chosen].properties).filter(([key]) => key !== 'kind')
  return [toField('kind', select, [...path, 'kind']), ...fields.flatMap(([key, sub]) => drawField(key, value[key], sub, [...path, key], next => { value[key] = next }))]
}

function drawField (key, value, raw, path, set) {
  const schema = resolve(raw)
  if (schema.type === 'object') {
    return [el('fieldset', {}, el('legend', {}, toWords(key)), ...drawValue(value === undefined ? {} : value, schema, path, set))]
  }
  return [toField(key, drawControl(value === undefined ? toBlank(schema) : value, schema, path, set), path, toHint(schema))]
}

function drawRecord (value, raw, path) {
  const schema = resolve(raw)
  const fieldsets = Object.keys(value).map(key => el('fieldset', {}, el('legend', {}, key), ...drawValue(value[key], schema, [...path, key], next => { value[key] = next }), el('button', { type: 'button', onclick: () => { delete value[key]; drawPart(path[0]); drawState() } }, 'Remove ' + key)))
  const name = el('input', { 'aria-label': 'Name of the new entry', placeholder: 'name of the new entry' })
  const add = el('button', { type: 'button', onclick: () => { if (name.value !== '') { value[name.value] = toBlank(schema); drawPart(path[0]); drawState() } } }, 'Add')
  return [...fieldsets, el('div', { class: 'field' }, name, add)]
}

function drawControl (value, schema, path, set) {
  const id = toId(path)
  const write = next => { set(next); drawState() }
  const isFaulty = app.faults.some(fault => fault.path === path.join('.') || fault.path.startsWith(path.join('.') + '.'))
  const common = { id, 'aria-invalid': isFaulty ? 'true' : undefined, 'aria-describedby': isFaulty ? id + '-fault' : undefined }
  if (schema.enum !== undefined) return el('select', { ...common, onchange: event => write(event.target.value) }, ...schema.enum.map(item => el('option', { selected: item === value }, item)))
  switch (schema.type) {
    case 'boolean': return el('input', { ...common, type: 'checkbox', checked: value, onchange: event => write(event.target.checked) })
    case 'number': case 'integer': return el('input', { ...common, type: 'text', inputmode: 'decimal', value: String(value), oninput: event => write(event.target.value.trim() === '' ? '' : Number(event.target.value)) })
    case 'array': {
      const area = el('textarea', { ...common, rows: '2', spellcheck: 'false', oninput: event => write(event.target.value.split(/[\s,]+/).filter(item => item !== '')) })
      area.value = value.join('\n')
      return area
    }
    default: return el('input', { ...common, type: 'text', value: String(value), oninput: event => write(event.target.value) })
  }
}

function toField (key, control, path, hint) {
  const fault = app.faults.filter(item => item.path === path.join('.') || item.path.startsWith(path.join('.') + '.')).map(item => item.message).join('; ')
  return el('div', { class: 'field' }, el('label', { for: toId(path) }, toWords(key)), control,
    hint === undefined ? undefined : el('span', { class: 'hint' }, hint),
    fault === '' ? undefined : el('span', { class: 'fault', id: toId(path) + '-fault', role: 'alert' }, fault))
}

function toHint (schema) {
  const low = schema.minimum === undefined ? schema.exclusiveMinimum : schema.minimum
  if (low !== undefined && schema.maximum !== undefined && schema.maximum < 1e9) return 'from ' + low + ' to ' + schema.maximum
  if (schema.type === 'array') return 'one per line'
  return undefined
}

const toId = path => 'f-' + path.join('-')
const toWords = key => key.replace(/([A-Z])/g, ' $1').toLowerCase()
`
