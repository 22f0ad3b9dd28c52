/** Public API of the links package: frames, authenticated links, streams, and HTTP connections to endpoints. */
export * from './connect.js'
export * from './endpointClient.js'
export * from './frames.js'
export * from './handshake.js'
export * from './link.js'
export * from './peerLinks.js'
export * from './peerDialer.js'
export * from './streams.js'
