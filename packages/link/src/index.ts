/** Authenticated TCP connections (links) between the processes of the system. */
export * from './handshake.js';
export * from './link-client.js';
export * from './link-error.js';
export * from './link-server.js';
export * from './messages.js';
