/** The gateway: accepts requests of callers and routes them to replica groups and plain services. */
export * from './gateway.js';
export * from './gateway-settings.js';
export * from './keys/key-messages.js';
export * from './keys/parsed-key.js';
export * from './keys/key-ownership.js';
export * from './keys/key-records.js';
export * from './limits/admission.js';
export * from './requests/request-lifecycle.js';
export * from './routing/router.js';
