/** Helpers of tests that several packages share. */
export * from './cut-proxy.js';
export * from './endless-server.js';
export * from './process-watch.js';
export * from './unframed-server.js';
