/** Proofs of the system's guarantees, and the loopback deployments that they run on. */
export * from './deployment/caller.js';
export * from './deployment/deployment.js';
export * from './deployment/profile.js';
export * from './sessions/golden.js';
export { LINK_KEY } from './deployment/settings-text.js';
