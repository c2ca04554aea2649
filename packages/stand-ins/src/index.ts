/** Small stand-ins for the external systems, used by tests, benchmarks and the quickstart. */
export * from './engine/app.js';
export * from './engine/host-app.js';
export * from './engine/host-faults.js';
export * from './engine/run-record.js';
export * from './platform/app.js';
export type { StoreCopy } from './platform/object-store.js';
export * from './service/app.js';
