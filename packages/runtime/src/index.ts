/** Common parts of all processes: settings, logs, metrics, HTTP servers, tasks and clocks. */
export * from './address.js';
export * from './binary.js';
export * from './clock.js';
export * from './event-loop-watch.js';
export * from './http-server.js';
export * from './identity.js';
export * from './log.js';
export * from './metrics.js';
export * from './settings.js';
export * from './task.js';
export * from './tls.js';
