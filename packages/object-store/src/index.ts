/** Client of the platform's object API, with watches, configurations and evacuations on top of it. */
export * from './configuration-holder.js';
export * from './configuration-store.js';
export * from './configuration-watch.js';
export * from './evacuation-store.js';
export * from './platform-client.js';
export * from './platform-error.js';
export * from './restore.js';
export * from './watcher.js';
