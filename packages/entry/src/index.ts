/** The entry host: relays callers' requests and sends orders to model hosts. */
export * from './configuration/configuration-holder.js';
export * from './configuration/route-table.js';
export * from './configuration/serving-configuration.js';
export * from './entry-host.js';
export * from './entry-host-options.js';
export * from './groups/host-orders.js';
export * from './hosts/host-entry.js';
export * from './hosts/host-registry.js';
export type { ProcessState } from './hosts/process-checks.js';
export * from './requests/prompt-parts.js';
export * from './requests/relay-headers.js';
export * from './server/entry-settings.js';
export * from './server/log.js';
export * from './server/time.js';
export * from './store/object-store.js';
