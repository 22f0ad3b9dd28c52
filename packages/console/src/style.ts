/** Stylesheet of the console: one column on narrow screens, no external resources. */
export const STYLE = `
:root { color-scheme: light; --ink: #1d2327; --line: #c9ccd1; --bad: #a1121f; --accent: #14507a; --soft: #f3f5f7; }
* { box-sizing: border-box; }
body { margin: 0; font: 16px/1.45 system-ui, sans-serif; color: var(--ink); }
header { padding: .6rem 1rem; border-bottom: 1px solid var(--line); display: flex; flex-wrap: wrap; gap: .5rem 1.5rem; align-items: center; }
h1 { font-size: 1.1rem; margin: 0; }
h2 { font-size: 1.15rem; margin: 1rem 0 .5rem; }
nav { display: flex; flex-wrap: wrap; gap: .25rem; }
nav button { border: 0; background: none; padding: .4rem .6rem; border-radius: .3rem; color: var(--accent); }
nav button[aria-selected=true] { background: var(--accent); color: #fff; }
main { max-width: 60rem; margin: 0 auto; padding: 0 1rem 5rem; }
button { font: inherit; padding: .45rem .9rem; border: 1px solid var(--accent); border-radius: .3rem; background: #fff; color: var(--accent); cursor: pointer; }
button:focus-visible, input:focus-visible, select:focus-visible, summary:focus-visible { outline: 3px solid #f0b429; outline-offset: 1px; }
#send, #check, #login button { background: var(--accent); color: #fff; }
details { border: 1px solid var(--line); border-radius: .4rem; margin: .4rem 0; padding: .3rem .8rem; }
details[open] { padding-bottom: .8rem; }
summary { padding: .35rem 0; cursor: pointer; font-weight: 600; }
.field { display: grid; grid-template-columns: 14rem 1fr; gap: .2rem .8rem; margin: .5rem 0; align-items: start; }
.field .hint, .field .fault { grid-column: 2; font-size: .85rem; }
.hint { color: #59636b; }
.fault { color: var(--bad); margin: 0; }
input, select, textarea { font: inherit; width: 100%; padding: .35rem .5rem; border: 1px solid #8a9097; border-radius: .3rem; background: #fff; }
input[type=checkbox] { width: auto; justify-self: start; }
input[aria-invalid=true], select[aria-invalid=true], textarea[aria-invalid=true] { border-color: var(--bad); border-width: 2px; }
fieldset { border: 1px solid var(--line); border-radius: .3rem; margin: .5rem 0; min-width: 0; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .3rem .5rem; border-bottom: 1px solid var(--line); vertical-align: top; }
.scroll { overflow-x: auto; }
.bar { background: var(--soft); height: .6rem; border-radius: .3rem; min-width: 6rem; }
.bar span { display: block; height: 100%; background: var(--accent); border-radius: .3rem; }
.sides { display: grid; grid-template-columns: 1fr 1fr; gap: 1rem; }
pre { background: var(--soft); padding: .5rem; white-space: pre-wrap; overflow-wrap: anywhere; margin: .2rem 0; font-size: .85rem; }
footer { position: fixed; left: 0; right: 0; bottom: 0; padding: .6rem 1rem; background: #fff; border-top: 1px solid var(--line); text-align: right; }
@media (max-width: 40rem) {
  .field, .sides { grid-template-columns: 1fr; }
  .field .hint, .field .fault { grid-column: 1; }
}
`
