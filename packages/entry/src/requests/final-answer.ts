/** Final answers of the entry host's own: refusals and failures, given without delay. */
import type { ServerResponse } from 'node:http';

import type { NoTargetReason } from './wait-for-target.js';

/** Why a request gets an answer of the entry host's own. */
export type AnswerReason =
  | 'no-configuration'
  | 'no-route'
  | 'no-key'
  | 'unknown-key'
  | 'configuration-unconfirmed'
  | 'body-too-large'
  | 'no-service'
  | NoTargetReason
  | 'not-run'
  | 'overloaded'
  | 'keys-lapsed'
  | 'upstream-lost'
  | 'upstream-invalid'
  | 'deadline-passed';

/** A final answer. */
export type FinalAnswer = {
  readonly status: number;
  readonly reason: AnswerReason;
  /** When the caller may come back; only where the request has not run. */
  readonly retryAfterMs?: number;
};

/**
 * The answer to a request that crashes the hosts that run it. Not one of the 4xx, which says that the request
 * is wrong: the verdict may be. And no time to come back, since it would be refused again.
 */
export function quarantinedAnswer(mayHaveRun: boolean): FinalAnswer {
  return { status: mayHaveRun ? 502 : 503, reason: 'quarantined' };
}

const MS_PER_S = 1_000;

/** Writes the answer, unless one has begun: then the connection is closed. */
export function giveFinalAnswer(response: ServerResponse, answer: FinalAnswer): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const body = JSON.stringify({ reason: answer.reason });
  response.statusCode = answer.status;
  response.setHeader('content-type', 'application/json');
  response.setHeader('content-length', Buffer.byteLength(body));
  if (answer.retryAfterMs !== undefined) {
    response.setHeader('retry-after', String(Math.round(answer.retryAfterMs) / MS_PER_S));
  }
  response.end(body);
}
