/** Benchmarks: commands that measure. Timings are never checked by tests. */
export * from './groups/fleet-meter.js';
export * from './groups/fleet.js';
export * from './groups/naive.js';
export * from './groups/scenario.js';
export * from './groups/trace.js';
