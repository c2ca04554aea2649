/** Authentication of callers by the API keys of a workspace. The configuration holds only hashes of the keys. */
import { timingSafeEqual } from 'node:crypto';

import type { Configuration } from '@hingescale/core';
import { ProblemError } from '@hingescale/core';
import { sha256 } from '@hingescale/runtime';

const BEARER = 'Bearer ';

/** Returns the name of the workspace that a request's API key belongs to; throws a problem when there is none. */
export function authenticateCaller(
  authorization: string | undefined,
  configuration: Configuration,
): string {
  if (authorization === undefined || !authorization.startsWith(BEARER)) {
    const detail = 'a key is needed: Authorization: Bearer KEY';
    throw new ProblemError({ status: 401, code: 'missing-key', detail });
  }
  const givenHash = new TextEncoder().encode(sha256(authorization.slice(BEARER.length)));
  let matched: string | undefined;
  // Every key is compared, so that the response time does not reveal which key matched.
  for (const [name, workspace] of configuration.workspaces) {
    for (const hash of workspace['key-sha256']) {
      if (timingSafeEqual(new TextEncoder().encode(hash), givenHash)) {
        matched = name;
      }
    }
  }
  if (matched === undefined) {
    throw new ProblemError({
      status: 403,
      code: 'wrong-key',
      detail: 'no workspace has this key',
    });
  }
  return matched;
}

/** True when a list in the configuration contains a name or the wildcard `*`. */
export function allows(list: readonly string[], name: string): boolean {
  return list.includes('*') || list.includes(name);
}
