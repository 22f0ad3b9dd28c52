/** Public entry point: the console pages and the JSON schema that its forms are generated from. */
export * from './pages.js'
