/** Access to upstream hosts. */
export * from './host-client.js';
export * from './member-prober.js';
