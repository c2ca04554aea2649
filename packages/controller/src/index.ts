/** The controller of a failure domain. */
export * from './admin/burn-report.js';
export * from './admin/status.js';
export * from './controller.js';
export * from './controller-settings.js';
export * from './groups/order-history.js';
