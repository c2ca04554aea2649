/** Authentication of operators by keys of their own; only hashes are in the settings. */
import { timingSafeEqual } from 'node:crypto';

import { ProblemError } from '@hingescale/core';
import { sha256 } from '@hingescale/runtime';
import type { Request } from 'express';

const BEARER = 'Bearer ';

/** Finds the operator of a request among `name:sha256` entries, or throws a problem. */
export function authenticateOperator(request: Request, operators: readonly string[]): string {
  const header = request.headers.authorization ?? '';
  if (!header.startsWith(BEARER)) {
    const detail = 'an operator key is needed: Authorization: Bearer KEY';
    throw new ProblemError({ status: 401, code: 'missing-key', detail });
  }
  const given = new TextEncoder().encode(sha256(header.slice(BEARER.length)));
  let found: string | undefined;
  // All entries are compared, so that the time does not tell which one came close.
  for (const entry of operators) {
    const colon = entry.lastIndexOf(':');
    const known = new TextEncoder().encode(entry.slice(colon + 1));
    if (known.length === given.length && timingSafeEqual(known, given)) {
      found = entry.slice(0, colon);
    }
  }
  if (found === undefined) {
    throw new ProblemError({
      status: 403,
      code: 'wrong-key',
      detail: 'no operator has this key',
    });
  }
  return found;
}
