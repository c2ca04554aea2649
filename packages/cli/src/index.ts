/** Modules of the operators' command line, for use by other packages. */
export * from './admin-client.js';
export * from './burn-output.js';
export * from './files.js';
export * from './output.js';
export * from './wait-in-force.js';
