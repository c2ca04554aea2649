/** The operators' command line, as parts. */
export * from './admin-client.js';
export * from './burn-output.js';
export * from './files.js';
export * from './output.js';
export * from './wait-in-force.js';
