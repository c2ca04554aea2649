/** Authenticates operators by their keys. The settings hold only the hashes of the keys. */
import { timingSafeEqual } from 'node:crypto';

import { ProblemError } from '@hingescale/core';
import { sha256 } from '@hingescale/runtime';
import type { Request } from 'express';

const BEARER_PREFIX = 'Bearer ';

/**
 * Returns the name of the operator whose key a request carries, from entries of the form `name:sha256`. Throws a
 * problem with status 401 when there is no key and 403 when the key is wrong.
 */
export function authenticateOperator(request: Request, operators: readonly string[]): string {
  const header = request.headers.authorization ?? '';
  if (!header.startsWith(BEARER_PREFIX)) {
    const detail = 'an operator key is required: Authorization: Bearer KEY';
    throw new ProblemError({ status: 401, code: 'missing-key', detail });
  }
  const givenHash = new TextEncoder().encode(sha256(header.slice(BEARER_PREFIX.length)));
  let operator: string | undefined;
  // The loop goes through all entries and each comparison takes constant time, so that the response time does not
  // reveal which entry came close.
  for (const entry of operators) {
    const colon = entry.lastIndexOf(':');
    const operatorHash = new TextEncoder().encode(entry.slice(colon + 1));
    if (operatorHash.length === givenHash.length && timingSafeEqual(operatorHash, givenHash)) {
      operator = entry.slice(0, colon);
    }
  }
  if (operator === undefined) {
    throw new ProblemError({
      status: 403,
      code: 'wrong-key',
      detail: 'no operator has this key',
    });
  }
  return operator;
}
