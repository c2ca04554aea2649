/** Public interface of the package: the controller of a failure domain, its settings and the types of its reports. */
export * from './admin/burn-report.js';
export * from './admin/status.js';
export * from './controller.js';
export * from './controller-settings.js';
export * from './groups/order-history.js';
