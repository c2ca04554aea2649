/** Authentication of callers: keys per workspace, of which only hashes are known here. */
import { timingSafeEqual } from 'node:crypto';

import type { Configuration } from '@hingescale/core';
import { ProblemError } from '@hingescale/core';
import { sha256 } from '@hingescale/runtime';

const BEARER = 'Bearer ';

/** The workspace of a request by its key, or a problem. */
export function authenticateCaller(
  authorization: string | undefined,
  configuration: Configuration,
): string {
  if (authorization === undefined || !authorization.startsWith(BEARER)) {
    const detail = 'a key is needed: Authorization: Bearer KEY';
    throw new ProblemError({ status: 401, code: 'missing-key', detail });
  }
  const given = new TextEncoder().encode(sha256(authorization.slice(BEARER.length)));
  let found: string | undefined;
  // All keys are compared, so that the time does not tell which one came close.
  for (const [name, workspace] of configuration.workspaces) {
    for (const hash of workspace['key-sha256']) {
      if (timingSafeEqual(new TextEncoder().encode(hash), given)) {
        found = name;
      }
    }
  }
  if (found === undefined) {
    throw new ProblemError({
      status: 403,
      code: 'wrong-key',
      detail: 'no workspace has this key',
    });
  }
  return found;
}

/** True when a list in the configuration names something or everything. */
export function allows(list: readonly string[], name: string): boolean {
  return list.includes('*') || list.includes(name);
}
