/** Client and prober for upstream hosts. */
export * from './host-client.js';
export * from './member-prober.js';
