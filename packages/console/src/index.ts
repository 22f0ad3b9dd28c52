/** Public face of the console: its pages, and the schema that its forms are made from. */
export * from './pages.js'
