/** A verdict on a request that crashes hosts, for tests of the quarantine. */

/** Three hosts have ended under the request `f`. */
export const REQUEST_VERDICT = {
  fingerprint: 'f',
  cause: 'request',
  route: 'chat',
  workspace: 'north',
  anyWorkspace: false,
  hosts: ['h1', 'h2', 'h3'],
} as const;
