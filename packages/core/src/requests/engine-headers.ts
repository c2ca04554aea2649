/** Names of the HTTP headers between callers, gateways and upstreams. */

/** Id of the request, chosen by the caller or the gateway and echoed by every upstream. */
export const REQUEST_ID_HEADER = 'hingescale-request-id';
/** Group that a request is meant for. */
export const GROUP_HEADER = 'hingescale-group';
/** Epoch of the group that a request is meant for; echoed by the engine. */
export const EPOCH_HEADER = 'hingescale-epoch';
/** Milliseconds that the caller still waits. */
export const DEADLINE_HEADER = 'hingescale-deadline-ms';
/** Priority of a request at the engine; higher goes first. */
export const PRIORITY_HEADER = 'hingescale-priority';
/** `false` marks a request that must not run twice. */
export const REPEATABLE_HEADER = 'hingescale-repeatable';
/** Key under which deliveries of one request are recognised. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
/** Group and host where a request ran, told to the caller. */
export const RAN_ON_HEADER = 'hingescale-ran-on';
/** Execution state that an upstream declares when it refuses. */
export const EXECUTION_HEADER = 'hingescale-execution';
/** Salt of the engine's prefix cache: the workspace. */
export const CACHE_SALT_HEADER = 'hingescale-cache-salt';
