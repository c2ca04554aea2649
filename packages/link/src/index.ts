/** Links between the system's own processes. */
export * from './handshake.js';
export * from './link-client.js';
export * from './link-error.js';
export * from './link-server.js';
export * from './messages.js';
