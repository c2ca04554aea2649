/** Reads the headers of a caller's request: identity, deadline and idempotency key. */
import type { Configuration } from '@hingescale/core';
import {
  DEADLINE_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  ProblemError,
  REPEATABLE_HEADER,
  REQUEST_ID_HEADER,
} from '@hingescale/core';
import { monotonicMs, newUuid } from '@hingescale/runtime';
import type { Request, Response } from 'express';

import type { ParsedKey } from '../keys/parsed-key.js';
import { parseKey } from '../keys/parsed-key.js';
import { authenticateCaller } from './authenticate.js';

/** Properties of a request whose caller has been authenticated. */
export type RequestContext = {
  readonly requestId: string;
  readonly workspace: string;
  readonly configuration: Configuration;
  /** False when the request must not run twice, by the caller's header or by a rule of the service. */
  readonly repeatable: boolean;
  /** Idempotency key by which repeated deliveries of the request are recognised; undefined without one. */
  readonly key: ParsedKey | undefined;
  /** Monotonic time, in milliseconds, at which the caller stops waiting. */
  readonly deadline: number;
};

const REQUEST_ID = /^[\w.:-]{1,128}$/;

/** Reads the headers and authenticates the caller. The request id is echoed even when the request is refused. */
export function readContext(
  request: Request,
  response: Response,
  configuration: Configuration | undefined,
  defaultDeadlineMs: number,
  clockSkewMs: number,
): RequestContext {
  const given = String(request.headers[REQUEST_ID_HEADER] ?? '');
  const requestId = REQUEST_ID.test(given) ? given : newUuid();
  response.setHeader(REQUEST_ID_HEADER, requestId);
  if (configuration === undefined) {
    const detail = 'no configuration has been applied yet';
    throw new ProblemError({
      status: 503,
      code: 'not-ready',
      detail,
      retryAfter: 1,
    });
  }
  const workspace = authenticateCaller(request.headers.authorization, configuration);
  return {
    requestId,
    workspace,
    configuration,
    repeatable: request.headers[REPEATABLE_HEADER] !== 'false',
    key: readKey(request, clockSkewMs),
    deadline: monotonicMs() + readDeadline(request, defaultDeadlineMs),
  };
}

function readKey(request: Request, clockSkewMs: number): ParsedKey | undefined {
  const text = request.headers[IDEMPOTENCY_KEY_HEADER];
  if (text === undefined) {
    return undefined;
  }
  const key = parseKey(String(text));
  if (key === undefined) {
    throw invalidKey('Idempotency-Key must be a UUIDv7 or a key issued by /v1/idempotency-keys');
  }
  if (key.time > Date.now() + clockSkewMs) {
    throw invalidKey('Idempotency-Key has a time in the future; check the clock that generated it');
  }
  return key;
}

function readDeadline(request: Request, defaultMs: number): number {
  const given = Number(request.headers[DEADLINE_HEADER]);
  return given > 0 ? Math.min(given, defaultMs) : defaultMs;
}

function invalidKey(detail: string): ProblemError {
  return new ProblemError({
    status: 400,
    code: 'invalid-idempotency-key',
    detail,
  });
}
