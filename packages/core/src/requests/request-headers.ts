/** Names of the HTTP headers that callers, gateways and upstreams exchange. */

/** Id of the request, chosen by the caller or the gateway and echoed by every upstream. */
export const REQUEST_ID_HEADER = 'hingescale-request-id';
/** Replica group to which a request is addressed. */
export const GROUP_HEADER = 'hingescale-group';
/** Epoch of the replica group to which a request is addressed; echoed by the engine. */
export const EPOCH_HEADER = 'hingescale-epoch';
/** Time that the caller will still wait, in milliseconds. */
export const DEADLINE_HEADER = 'hingescale-deadline-ms';
/** Priority of a request at the engine; higher values run first. */
export const PRIORITY_HEADER = 'hingescale-priority';
/** `false` marks a request that must not run twice. */
export const REPEATABLE_HEADER = 'hingescale-repeatable';
/** Key by which repeated deliveries of one request are recognised. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
/** Replica group and host that ran a request, reported to the caller. */
export const RAN_ON_HEADER = 'hingescale-ran-on';
/** Execution state that an upstream reports when it refuses a request. */
export const EXECUTION_HEADER = 'hingescale-execution';
/** Salt for the engine's prefix cache: the name of the workspace. */
export const CACHE_SALT_HEADER = 'hingescale-cache-salt';
